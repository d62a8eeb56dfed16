package proof

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestGenerationsAndServiceCallsSucceedThroughEveryVM(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, engines: 3, services: 2})
	for _, proc := range f.vms {
		got := proc.post("/v1/completions", "newcomers", completionBody("guide_1", 8))
		if got.status != http.StatusOK || !bytes.Contains(got.body, []byte("adapter_1@1/")) {
			t.Fatalf("completion through %s: status %d, body %s, error %v", proc.vm.ID, got.status, got.body, got.err)
		}
		got = proc.post("/v1/chat/completions", "hosts", `{"model":"guide_2","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		if got.status != http.StatusOK || !strings.HasSuffix(string(got.body), "data: [DONE]\n\n") {
			t.Fatalf("streamed chat completion through %s: status %d, body %s, error %v", proc.vm.ID, got.status, got.body, got.err)
		}
	}
	key := f.issueIdempotencyKey(f.vms[0], "newcomers")
	for _, proc := range f.vms {
		got := proc.post("/v1/services/booking/fees", "newcomers", `{"seat":1}`, "Idempotency-Key", key)
		if got.status != http.StatusOK {
			t.Fatalf("payment through %s: status %d, body %s, error %v", proc.vm.ID, got.status, got.body, got.err)
		}
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Fatalf("the payment ran %d times under one idempotency key, want 1", len(runs))
	}
	f.checkNoPlatformWriteAndNoLeakedKey()
}

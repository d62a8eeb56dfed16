package proof

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestWholePath(t *testing.T) {
	f := newFleet(t, shape{vms: 3, engines: 3, services: 2})
	for _, m := range f.vms {
		got := m.post("/v1/completions", "newcomers", completion("guide_1", 8))
		if got.status != http.StatusOK || !bytes.Contains(got.body, []byte("adapter_1@1/")) {
			t.Fatalf("%s answered %d %s %v", m.vm.ID, got.status, got.body, got.err)
		}
		got = m.post("/v1/chat/completions", "hosts", `{"model":"guide_2","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		if got.status != http.StatusOK || !strings.HasSuffix(string(got.body), "data: [DONE]\n\n") {
			t.Fatalf("%s streamed %d %s %v", m.vm.ID, got.status, got.body, got.err)
		}
	}
	key := f.issue(f.vms[0], "newcomers")
	for _, m := range f.vms {
		got := m.post("/v1/services/booking/fees", "newcomers", `{"seat":1}`, "Idempotency-Key", key)
		if got.status != http.StatusOK {
			t.Fatalf("%s answered %d %s %v", m.vm.ID, got.status, got.body, got.err)
		}
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Fatalf("the fee ran %d times", len(runs))
	}
	f.checkNoWriteAndNoKey()
}

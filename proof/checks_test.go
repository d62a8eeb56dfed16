package proof

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// issueIdempotencyKey requests an idempotency key from the VM and fails the test if none is issued.
func (f *fleet) issueIdempotencyKey(proc *vmProcess, account string) string {
	f.t.Helper()
	got := proc.post("/v1/idempotency_keys", account, "")
	key := parseIdempotencyKey(got.body)
	if key == "" {
		f.t.Fatalf("%s issued no idempotency key: status %d, body %s, error %v", proc.vm.ID, got.status, got.body, got.err)
	}
	return key
}

func parseIdempotencyKey(data []byte) string {
	var body struct {
		IdempotencyKey string `json:"idempotency_key"`
	}
	_ = json.Unmarshal(data, &body)
	return body.IdempotencyKey
}

// runs returns the records of the requests that the plain services ran.
func (f *fleet) runs() []record.Record {
	var runs []record.Record
	for _, s := range f.standIns.Services {
		for _, r := range s.Records() {
			if r.Kind == "run" {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// checkNoPlatformWriteAndNoLeakedKey asserts that the platform received only reads and that no upstream received a caller's key.
func (f *fleet) checkNoPlatformWriteAndNoLeakedKey() {
	f.t.Helper()
	for _, r := range f.standIns.Platform.Records() {
		if r.Kind == "write" {
			f.t.Errorf("the platform received a write: %s %s", r.Method, r.Path)
		}
	}
	var upstreamRecords []record.Record
	for _, e := range f.standIns.Engines {
		upstreamRecords = append(upstreamRecords, e.Records()...)
	}
	for _, r := range append(upstreamRecords, f.runs()...) {
		if strings.Contains(fmt.Sprintf("%+v", r), "key-of-") {
			f.t.Errorf("an upstream received a caller's key: %+v", r)
		}
	}
}

// checkNoEngineViolation asserts that no engine recorded a violation, such as an adapter evicted in use.
func (f *fleet) checkNoEngineViolation() {
	f.t.Helper()
	for i, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			if r.Kind == "violation" {
				f.t.Errorf("engine %d recorded a violation: %s", i, r.Detail)
			}
		}
	}
}

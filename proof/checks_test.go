package proof

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// issue asks the VM for an idempotency key.
func (f *fleet) issue(m *machine, account string) string {
	f.t.Helper()
	got := m.post("/v1/idempotency_keys", account, "")
	key := issuedKey(got.body)
	if key == "" {
		f.t.Fatalf("%s issued no key: %d %s %v", m.vm.ID, got.status, got.body, got.err)
	}
	return key
}

func issuedKey(answer []byte) string {
	var body struct {
		IdempotencyKey string `json:"idempotency_key"`
	}
	_ = json.Unmarshal(answer, &body)
	return body.IdempotencyKey
}

// runs returns what the plain services ran.
func (f *fleet) runs() []record.Record {
	var runs []record.Record
	for _, s := range f.world.Services {
		for _, r := range s.Records() {
			if r.Kind == "run" {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// checkNoWriteAndNoKey asserts that the platform saw reads alone, and that no upstream saw a caller's key.
func (f *fleet) checkNoWriteAndNoKey() {
	f.t.Helper()
	for _, r := range f.world.Platform.Records() {
		if r.Kind == "write" {
			f.t.Errorf("the platform saw a write: %s %s", r.Method, r.Path)
		}
	}
	var seen []record.Record
	for _, e := range f.world.Engines {
		seen = append(seen, e.Records()...)
	}
	for _, r := range append(seen, f.runs()...) {
		if strings.Contains(fmt.Sprintf("%+v", r), "key-of-") {
			f.t.Errorf("an upstream saw a caller's key: %+v", r)
		}
	}
}

// checkEngines asserts that no engine saw a violation, such as an adapter evicted in use.
func (f *fleet) checkEngines() {
	f.t.Helper()
	for i, e := range f.world.Engines {
		for _, r := range e.Records() {
			if r.Kind == "violation" {
				f.t.Errorf("engine %d: %s", i, r.Detail)
			}
		}
	}
}

package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
)

// newFuzzedEntry returns a VM that knows one other VM, one engine and one client account.
func newFuzzedEntry(tb testing.TB) *Entry {
	tb.Helper()
	e := &Entry{
		VM: fuchsiaspoke.VM{ID: "10.0.0.1"}, HeartbeatAddress: "10.0.0.1:7600", Log: func(string, ...any) {}, CountEvent: func(string) {},
	}
	if err := e.initialize(); err != nil {
		tb.Fatal(err)
	}
	e.refresher.Pull = func(context.Context, fuchsiaspoke.VM, fuchsiaspoke.PublicationQuery) (fuchsiaspoke.PublicationRelay, error) {
		return fuchsiaspoke.PublicationRelay{}, errors.New("there are no links")
	}
	engine := fuchsiaspoke.Replica{ID: "i-1", Service: "s", Address: "10.0.1.1:80", State: fuchsiaspoke.ReplicaReady}
	c := &fuchsiaspoke.Contract{
		Version:  1,
		Services: map[string]fuchsiaspoke.Service{"s": {Name: "s", Engine: &fuchsiaspoke.EngineLimits{BatchSize: 8, AdapterSlots: 4}}},
		Accounts: map[string]fuchsiaspoke.AccountContract{"a": {Name: "a", TokensPerSecond: 100, BurstTokens: 100}},
	}
	e.watcher.ApplyRelay(c, fuchsiaspoke.PublicationRelay{
		ContractVersion: 1, Whole: true, Replicas: map[string]fuchsiaspoke.Replica{"i-1": engine}, Revision: fuchsiaspoke.Revision{Number: 1},
	}, "10.0.0.2")
	return e
}

// Guards against a heartbeat that ends the process, or whose content ends it when it is used later.
func FuzzHeartbeat(f *testing.F) {
	state := fuchsiaspoke.VMState{
		VM: fuchsiaspoke.VM{ID: "10.0.0.2", LinkAddress: "10.0.0.2:7601"}, Incarnation: "a", HeartbeatNumber: 3, Ready: true, Hub: true,
		WantsAnswer: true, ContractVersion: 1, AdmittedTokens: map[string]float64{"a": 5}, BucketLevels: map[string]float64{"a": 7},
		Engines: []fuchsiaspoke.EngineView{{Engine: fuchsiaspoke.ReplicaIncarnation{ID: "i-1"}, Fence: 3, Accepting: true}},
		Peers:   []fuchsiaspoke.ReportedPeer{{VM: fuchsiaspoke.VM{ID: "10.0.0.3"}, Incarnation: "b", Age: time.Second}},
		Limits:  []fuchsiaspoke.LimitReport{{Process: 5, PerSecond: 2, AgeMs: 4}},
		Reading: &fuchsiaspoke.Reading{Reader: 4, Number: 2, AgeMs: 5}, Evidence: &fuchsiaspoke.CrashEvidence{},
	}
	raw, err := cbor.Marshal(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s fuchsiaspoke.VMState
		if err := cbor.Unmarshal(raw, &s); err != nil || s.VM.ID == "" {
			return
		}
		e := newFuzzedEntry(t)
		for range 2 {
			e.receiveHeartbeat(s)
			e.composeHeartbeats()
			e.updateOwnership(t.Context())
			e.CallerAddresses(fuchsiaspoke.DirectoryQuery{Zone: "zone_a"})
			_ = e.rateLimiter.Admit(e.timer.Now(), e.watcher.Published().Contract.Accounts["a"], 1)
			e.finder.Find(t.Context(), "s", "a", fuchsiaspoke.Demand{Model: "m", Adapter: "a1"}, nil, nil)
			s.HeartbeatNumber++
		}
	})
}

// Guards against a call of another VM that ends the process.
func FuzzLinkRequest(f *testing.F) {
	for n, request := range []any{
		fuchsiaspoke.AdmissionRequest{ID: "r", Engine: "i-1"},
		fuchsiaspoke.AdmissionProgress{ID: "r", Engine: "i-1"},
		fuchsiaspoke.PublicationQuery{Revision: fuchsiaspoke.Revision{Number: 1}},
		fuchsiaspoke.RankQuery{Service: "s", Demand: fuchsiaspoke.Demand{Model: "m", Adapter: "a"}},
		fuchsiaspoke.LimitTokenRequest{Limit: fuchsiaspoke.LimitReport{Process: 5, PerSecond: 2}},
	} {
		raw, err := cbor.Marshal(request)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(n), raw)
	}
	f.Fuzz(func(t *testing.T, n byte, body []byte) {
		e := newFuzzedEntry(t)
		handlers := []func(context.Context, string, frame.Frame, func(any) error) error{
			e.requester.Serve, e.requester.ServeProgress, e.servePublished, e.finder.Serve, e.pacer.Serve, e.registrar.ServeRecord,
			e.registrar.ServeOrigin,
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = handlers[int(n)%len(handlers)](ctx, "10.0.0.2", frame.Frame{Body: body}, func(any) error { return nil })
	})
}

package sender_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
)

// versionProtocol records the adapter version that a request expects.
type versionProtocol struct {
	plainProtocol
	expected *int64
}

func (p versionProtocol) PrepareMessage(m fuchsiaspoke.Message, req fuchsiaspoke.AdmittedRequest, s fuchsiaspoke.SendOptions) fuchsiaspoke.Message {
	*p.expected = s.Version
	return p.plainProtocol.PrepareMessage(m, req, s)
}

// review/4: an engine without an owner was sent requests that began on an outdated version of their adapter.
func TestEngineWithoutOwnerIsExpectedToHoldLatestAdapterVersion(t *testing.T) {
	f := newTakeover(t, 2, soundEngine)
	f.Published().Versions = map[string]map[string]int64{"m": {"a": 2}}
	var expected int64
	f.Protocol = versionProtocol{expected: &expected}
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + requestTimeout, Route: f.route,
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: "a", PromptTokens: 100, OutputTokens: 10},
	}
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	if err := f.Serve(context.Background(), req, m, &streamWriter{}); err != nil || expected != 2 {
		t.Errorf("error %v, version %d expected, want 2", err, expected)
	}
}

// As above, where the engine's last state shows the outdated version: another engine is chosen.
func TestOutdatedAdapterIsNotResident(t *testing.T) {
	view := func(version int64) *fuchsiaspoke.EngineView {
		return &fuchsiaspoke.EngineView{Resident: []fuchsiaspoke.Adapter{{Name: "a", Version: version}}}
	}
	d := fuchsiaspoke.Demand{Model: "m", Adapter: "a", PromptTokens: 100}
	for _, c := range []struct {
		latest, held int64
		resident     bool
	}{{0, 1, true}, {1, 1, true}, {2, 1, false}, {2, 2, true}, {2, 3, true}, {2, 0, true}} {
		choices := selector.Selector{Slots: 8, LatestVersion: c.latest}.Select(d, []selector.Candidate{
			{Replica: fuchsiaspoke.Replica{ID: "e"}, View: view(c.held)},
		})
		if choices[0].Resident != c.resident {
			t.Errorf("version %d held, %d is the latest: resident %t", c.held, c.latest, choices[0].Resident)
		}
	}
}

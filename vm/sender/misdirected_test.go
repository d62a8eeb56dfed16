package sender_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// drainingProtocol reads from the head of a refusal that its replica drains.
type drainingProtocol struct{ plainProtocol }

func (drainingProtocol) InterpretHead(_ fuchsiaspoke.AdmittedRequest, status int, h http.Header) fuchsiaspoke.ResponseInfo {
	misdirected := status == http.StatusMisdirectedRequest
	return fuchsiaspoke.ResponseInfo{
		NotRun: misdirected, Misdirected: misdirected, Forwardable: !misdirected,
		Notice: fuchsiaspoke.ReplicaNotice{Draining: h.Get("X-Draining") == "1"},
	}
}

// An engine that lacks an adapter says in its refusal that it drains.
func TestRefusalOfMisdirectedRequestTellsThatEngineDrains(t *testing.T) {
	lacksAdapter := func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("X-Draining", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	f := newTakeover(t, 2, lacksAdapter, func(w http.ResponseWriter, _ *http.Request, from int) { sendEvents(w, from, streamEvents) })
	f.Protocol = drainingProtocol{}
	var draining []string
	f.Permitter.MarkDraining = func(i fuchsiaspoke.ReplicaIncarnation) { draining = append(draining, i.ID) }
	f.expectWhole(t, &streamWriter{})
	if !slices.Equal(draining, []string{"engine_0"}) {
		t.Errorf("draining engines %v, want engine_0", draining)
	}
}

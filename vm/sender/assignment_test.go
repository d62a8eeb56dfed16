package sender_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/versionassigner"
	"github.com/pkg/errors"
)

// review/5: after a restart of all VMs nobody knew at which software version streams had begun. A stream that begins at another version than the
// one to which it is assigned would be joined with a second one then.
func TestResumableStreamBeginsAtItsAssignedSoftwareVersion(t *testing.T) {
	var lastServedBy atomic.Value
	serving := func(version string) engine {
		return func(w http.ResponseWriter, q *http.Request, from int) {
			lastServedBy.Store(version)
			soundEngine(w, q, from)
		}
	}
	f := newTakeover(t, 2, serving("v1"), serving("v2"), refusingEngine)
	for i, version := range []string{"v1", "v2", "v3"} {
		f.replicas[i].SoftwareVersion = version
		f.Published().Replicas[f.replicas[i].ID] = f.replicas[i]
	}
	var a versionassigner.VersionAssigner
	begun := map[string]int{}
	for i := range 30 {
		req := fuchsiaspoke.AdmittedRequest{
			ID: fmt.Sprint("r", i), Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + requestTimeout, Route: f.route,
			Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
		}
		lastServedBy.Store("")
		m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
		err := f.Serve(context.Background(), req, m, &streamWriter{})
		want, _ := a.Assign(a.Key(req.Demand, req.ID), f.replicas)
		servedBy := lastServedBy.Load().(string)
		var refusal *fuchsiaspoke.Refusal
		switch {
		case want == "v3" && (!errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || servedBy != ""):
			t.Errorf("stream %d: error %v, begun at %q, want a refusal as its version takes none", i, err, servedBy)
		case want != "v3" && servedBy != want:
			t.Errorf("stream %d: begun at %q, assigned to %s, error %v", i, servedBy, want, err)
		}
		begun[servedBy]++
	}
	if len(begun) != 3 {
		t.Errorf("begun at %v, want some at each version", begun)
	}
}

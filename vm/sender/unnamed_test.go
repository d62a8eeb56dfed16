package sender_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/platform/replicaclient"
)

// Guards against a caller without ids by whose refused requests sound replicas are avoided, and refusals become failures.
func TestRefusedRequestWithoutIDDoesNotTakeReplicaOut(t *testing.T) {
	f := newPlainFleet(t, 1, func(w http.ResponseWriter, q *http.Request, _ int) {
		if id := q.Header.Get("X-Attempt-Id"); id != "" {
			w.Header().Set("X-Attempt-Id", id)
			w.Header().Set("X-Server-Seal", "s")
			return
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	})
	f.Protocol = &replicaclient.Client{}
	serve := func(id string) error {
		req := fuchsiaspoke.AdmittedRequest{
			ID: id, Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + time.Second,
			Route: fuchsiaspoke.ServiceRoute{Timeout: time.Second, Objective: time.Second, MaxAttempts: 1},
		}
		h := http.Header{}
		if id != "" {
			h.Set("X-Attempt-Id", id)
		}
		return f.Serve(t.Context(), req, fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: h}, &streamWriter{})
	}
	if err := serve("a"); err != nil {
		t.Fatal(err)
	}
	var refusal *fuchsiaspoke.Refusal
	if err := serve(""); !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		t.Errorf("error %v, want a refusal that says that the request did not run", err)
	}
	if f.Tracker.Failing(f.Clock(), f.replicas[0].ID) {
		t.Error("the sound replica is avoided")
	}
}

package sender_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fxamacker/cbor/v2"
)

// A stream that has begun needs no time for a final response.
func TestStreamThatHasBegunIsNotCutBeforeItsDeadline(t *testing.T) {
	f := newTakeover(t, 1, hangingAfter(3))
	f.route.Resumable = false
	began := time.Now()
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + time.Second, Route: f.route,
		Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
	}
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	err := f.Serve(t.Context(), req, m, &streamWriter{})
	if took := time.Since(began); !errors.Is(err, sender.ErrResponseInterrupted) || took < time.Second {
		t.Errorf("cut with %v after %v, before the deadline of 1 s", err, took)
	}
}

// ownedEngines are engines of another VM.
type ownedEngines struct{ *takeover }

func (o ownedEngines) Find(
	ctx context.Context, service, account string, d fuchsiaspoke.Demand, tried map[string]bool, regions []fuchsiaspoke.Region,
) []selector.Choice {
	choices := o.takeover.Find(ctx, service, account, d, tried, regions)
	for i := range choices {
		choices[i].Accepting, choices[i].Owner = true, fuchsiaspoke.VM{ID: "owner"}
	}
	return choices
}

// owner grants what may wait for 100 ms at least, as an engine with a predicted wait does.
type owner struct{ t *testing.T }

func (o owner) Call(ctx context.Context, _ fuchsiaspoke.VM, _ string, request any, receive func(cbor.RawMessage) error) error {
	req, ok := request.(fuchsiaspoke.AdmissionRequest)
	if !ok {
		return nil
	}
	o.t.Logf("admission requested with %v", req.DeadlineIn)
	if req.DeadlineIn < 100*time.Millisecond {
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable}
	}
	raw, err := cbor.Marshal(fuchsiaspoke.AdmissionReply{Granted: true})
	if err != nil {
		return err
	}
	if err := receive(raw); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// A stream that has begun goes on at another engine as long as it may run, also once new requests may no longer wait.
func TestStreamOfStoppingVMGoesOnAtEngineOfAnotherVM(t *testing.T) {
	for name, first := range map[string]engine{"broke off": breakingAfter(3), "silent": hangingAfter(3)} {
		t.Run(name, func(t *testing.T) {
			var stopping drainer.Drainer
			late := func(w http.ResponseWriter, q *http.Request, from int) {
				stopping.Begin(fuchsiaspoke.StopPhases{Accepts: 1, Waits: 30 * time.Millisecond, Runs: 5 * time.Second, End: 5100 * time.Millisecond})
				first(w, q, from)
			}
			f := newTakeover(t, 2, late, soundEngine)
			f.Drainer = &stopping
			f.Finder = ownedEngines{f}
			f.Requester = &requester.Requester{Peers: unknownPeers{}, Clock: f.Clock, Dialer: owner{t}}
			f.expectWhole(t, &streamWriter{})
		})
	}
}

// A stream that could last a little longer than a VM that stops was taken, and cut within the last 40 ms before its deadline.
func TestStreamThatCouldOutlastStoppingVMByItsMarginIsRefused(t *testing.T) {
	var stopping drainer.Drainer
	stopping.Begin(fuchsiaspoke.StopPhases{Accepts: 1, Waits: 800 * time.Millisecond, Runs: time.Second, End: 1100 * time.Millisecond})
	time.Sleep(time.Millisecond)
	f := newTakeover(t, 1, hangingAfter(3))
	f.route.Resumable = false
	f.Drainer = &stopping
	began := time.Now()
	left := stopping.RunLeft(time.Hour) + 30*time.Millisecond
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + left, Route: f.route,
		Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
	}
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	err := f.Serve(t.Context(), req, m, &streamWriter{})
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeDraining || refusal.Run != fuchsiaspoke.NotRun {
		t.Errorf("%v after %v, %v before its deadline, want a refusal", err, time.Since(began), left-time.Since(began))
	}
}

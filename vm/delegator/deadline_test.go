package delegator_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
)

// endlessLinks answer with a stream that goes on until the call ends.
type endlessLinks struct{ fakeLinks }

func (l *endlessLinks) Call(ctx context.Context, _ fuchsiaspoke.VM, _ string, _ any, receive func(cbor.RawMessage) error) error {
	raw, _ := cbor.Marshal(fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: 200, Length: -1}})
	if err := receive(raw); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// A stream that another VM relays was cut 20 ms before its deadline, the time reserved for a final response.
func TestDelegatedStreamThatHasBegunReachesItsDeadline(t *testing.T) {
	began := time.Now()
	d := newDelegator(&fakeLinks{}, peerIn("a", "peer"))
	d.Dialer = &endlessLinks{}
	d.Clock = func() time.Duration { return time.Since(began) }
	req := request()
	req.Arrived, req.Deadline = 0, 300*time.Millisecond
	err := d.Serve(t.Context(), req, fuchsiaspoke.Message{}, &recordedResponse{})
	if took := time.Since(began); took < req.Deadline {
		t.Errorf("cut with %v after %v, %v before its deadline", err, took, req.Deadline-took)
	}
}

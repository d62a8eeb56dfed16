package sender

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

// attempt is one send of a request to one replica.
type attempt struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	replica fuchsiaspoke.Replica
	// admission is nil for plain services.
	admission *requester.Admission
	// response is nil until its head was read.
	response *transport.Response
	// workFactor is how many times the usual time work takes, as the head of the response states; 0 is not stated.
	workFactor float64
	// body is the body of the response.
	body io.Reader
	// reply is the complete response of a plain service that took over.
	reply   *reply
	started time.Duration
	// stopSearch ends the context of the search that found the attempt; nil if there was none.
	stopSearch context.CancelCauseFunc
}

func newAttempt(ctx context.Context, r fuchsiaspoke.Replica, admission *requester.Admission) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	return &attempt{ctx: ctx, cancel: cancel, replica: r, admission: admission}
}

// end ends the attempt and releases its admission.
func (a *attempt) end(cause error) {
	if a == nil {
		return
	}
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(cause)
	if a.admission != nil {
		a.admission.Release()
	}
	if a.stopSearch != nil {
		a.stopSearch(cause)
	}
}

// discard ends an attempt that is not needed. If nothing was sent, its retry goes back to the budget.
func (t *requestTask) discard(a *attempt) {
	switch {
	case a == nil:
		return
	case a.started == 0:
		t.RetryBudget.Return(t.request.Service)
	case a.response != nil:
		t.Tracker.RecordEnd(a.replica.ID)
	}
	a.end(errNotNeeded)
}

// awaitData waits for the first data of the response, or its end.
func (a *attempt) awaitData() error {
	first := make([]byte, readBufferBytes)
	n, err := a.response.Read(first)
	if n == 0 && err != nil && err != io.EOF {
		return err
	}
	a.body = io.MultiReader(bytes.NewReader(first[:n]), a.response)
	return nil
}

package sender

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/pkg/errors"
)

// drainRetryAfter bounds the random Retry-After of requests that this VM refuses as it stops: others take them at once, and callers don't
// return all at the same moment.
const drainRetryAfter = 200 * time.Millisecond

// mayNotWait reports whether the VM's stop has ended the wait of the request.
func (t *requestTask) mayNotWait() bool {
	return t.callerCtx.Err() == nil && errors.Is(context.Cause(t.waits), drainer.ErrDraining)
}

// refuseAsDraining returns the refusal of a request that this VM can't serve before it ends; state says what the request did until then. If
// an earlier attempt may have run the request, it says so.
func (t *requestTask) refuseAsDraining(state string) error {
	t.Count("request_refused_draining")
	if t.outcomeUnknown || t.executed {
		return t.refuse(http.StatusBadGateway, "the VM is stopping; the request "+state)
	}
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeDraining, Message: "the VM is stopping; the request " + state, Run: fuchsiaspoke.NotRun,
		Status: http.StatusServiceUnavailable,
	}.WithRetryAfter(time.Duration(rand.Int64N(int64(drainRetryAfter))))
}

package sender

import (
	"context"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/pkg/errors"
)

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
	return drainer.Refusal("the VM is stopping; the request " + state)
}

package dispatcher

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func withRun(refusal fuchsiaspoke.Refusal, run fuchsiaspoke.RunStatus) error {
	refusal.Run = run
	return &refusal
}

func unavailableRefusal(code fuchsiaspoke.RefusalCode, text string) fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{Code: code, Message: text, RetryAfter: retryAfter, Status: http.StatusServiceUnavailable}
}

func leaseLostRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeLeaseLost, "this VM does not hold the lease of the upstream")
}

func drainingRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeDraining, "the upstream is draining and accepts no new requests")
}

func deadlineRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeDeadline, "the request could not be sent to the upstream before its deadline")
}

func loadFailedRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeAdapterLoadFailed, "the upstream could not load the adapter")
}

func adapterMissingRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeAdapterLoadFailed, "the upstream still lacked the adapter after several sends")
}

func overloadedRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeOverloaded, "the queue of the upstream is full")
}

func duplicateRefusal() fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeInvalidRequest,
		Message: "a request with this id is already queued or running",
		Status:  http.StatusConflict,
	}
}

func keyWithdrawnRefusal() fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeKeyWithdrawn, Message: errKeyWithdrawn.Error(), Status: http.StatusUnauthorized}
}

func callerCanceledRefusal() fuchsiaspoke.Refusal {
	return unavailableRefusal(fuchsiaspoke.CodeDeadline, errCallerCanceled.Error())
}

// checkRefusal returns the refusal that the error of Check wraps, or an overloaded refusal if it wraps none.
func checkRefusal(err error) fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return *refusal
	}
	return unavailableRefusal(fuchsiaspoke.CodeOverloaded, err.Error())
}

// streamFailedRefusal returns the refusal for a stream that ended before its last chunk was delivered. The first known cause
// decides: a chunk of another request (502), a withdrawn key, the caller, or a missing finish reason (503). An engine's refusal is
// returned as it is; any other error, such as errStalled, gives 503.
func streamFailedRefusal(ctx context.Context, s *streamState, err error) fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	switch {
	case errors.Is(s.sinkErr, errMismatch):
		return fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeAnswerMismatch, Message: errMismatch.Error(), Status: http.StatusBadGateway}
	case errors.Is(context.Cause(ctx), errKeyWithdrawn):
		return keyWithdrawnRefusal()
	case ctx.Err() != nil || s.sinkErr != nil:
		return callerCanceledRefusal()
	case err == nil:
		return unavailableRefusal(fuchsiaspoke.CodeUpstreamFailed, "the upstream's stream ended without a finish reason")
	case errors.As(err, &refusal):
		return *refusal
	default:
		return unavailableRefusal(fuchsiaspoke.CodeUpstreamFailed, err.Error())
	}
}

func adapterDetail(a fuchsiaspoke.Adapter) string {
	return fmt.Sprintf("%s@%d", a.Name, a.Version)
}

func claimDetail(fence int64, report fuchsiaspoke.EngineReport) string {
	return fmt.Sprintf("fence %d, %d adapters resident, engine %s", fence, len(report.Resident), report.Incarnation)
}

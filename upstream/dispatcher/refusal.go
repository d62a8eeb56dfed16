package dispatcher

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func refusalOf(refusal fuchsiaspoke.Refusal, run fuchsiaspoke.Run) error {
	refusal.Run = run
	return &refusal
}

func unavailable(code fuchsiaspoke.Code, text string) fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{Code: code, Message: text, RetryAfter: retryAfter, Status: http.StatusServiceUnavailable}
}

func leaseRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeLeaseLost, "another VM now serves this upstream")
}

func drainingRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeDraining, "the upstream takes no new work")
}

func deadlineRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeDeadline, "the request could not be sent within its patience")
}

func loadRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeAdapterLoadFailed, "the adapter could not be loaded")
}

func missingRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeAdapterLoadFailed, "the upstream keeps losing the adapter")
}

func overloadedRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeOverloaded, "too many requests wait for the upstream")
}

func duplicateRefusal() fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeInvalidRequest,
		Message: "a request with this id is queued or running",
		Status:  http.StatusConflict,
	}
}

func withdrawnRefusal() fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeKeyWithdrawn, Message: errWithdrawn.Error(), Status: http.StatusUnauthorized}
}

func goneRefusal() fuchsiaspoke.Refusal {
	return unavailable(fuchsiaspoke.CodeDeadline, errCallerGone.Error())
}

// checkRefusal is the refusal that a check returned, or a general one.
func checkRefusal(err error) fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return *refusal
	}
	return unavailable(fuchsiaspoke.CodeOverloaded, err.Error())
}

// brokenRefusal tells why an answer broke off.
func brokenRefusal(ctx context.Context, s *stream, err error) fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	switch {
	case errors.Is(s.sinkErr, errMismatch):
		return fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeAnswerMismatch, Message: errMismatch.Error(), Status: http.StatusBadGateway}
	case errors.Is(context.Cause(ctx), errWithdrawn):
		return withdrawnRefusal()
	case ctx.Err() != nil || s.sinkErr != nil:
		return goneRefusal()
	case err == nil:
		return unavailable(fuchsiaspoke.CodeUpstreamFailed, "the answer ended before its last part")
	case errors.As(err, &refusal):
		return *refusal
	default:
		return unavailable(fuchsiaspoke.CodeUpstreamFailed, err.Error())
	}
}

func adapterDetail(a fuchsiaspoke.Adapter) string {
	return fmt.Sprintf("%s@%d", a.Name, a.Version)
}

func claimDetail(fence int64, report fuchsiaspoke.EngineReport) string {
	return fmt.Sprintf("fence %d, %d adapters resident, engine %s", fence, len(report.Resident), report.Incarnation)
}

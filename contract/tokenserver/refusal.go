package tokenserver

import (
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// rateExceeded returns the refusal of tokens that will not be available within the maximum wait.
func rateExceeded(account string, retryAfter time.Duration) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeRateExceeded, Message: "client account " + account + " has reached its token rate",
		Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests, RetryAfter: retryAfter,
	}
}

// exceedsBurst returns the refusal of an announcement whose likely cost is larger than the burst.
func exceedsBurst(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeTooLarge, Message: "the request is likely to cost more tokens than the burst of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusRequestEntityTooLarge,
	}
}

// leaseNotHeld returns the refusal of a VM that does not hold the lease or has no open bucket for it.
func leaseNotHeld(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
	}
}

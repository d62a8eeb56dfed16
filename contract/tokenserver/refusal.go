package tokenserver

import (
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func rateExceeded(account string, retryAfter time.Duration) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeRateExceeded, Message: "client account " + account + " has reached its token rate",
		Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests, RetryAfter: retryAfter,
	}
}

func exceedsBurst(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeTooLarge, Message: "the request is likely to cost more tokens than the burst of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusRequestEntityTooLarge,
	}
}

func leaseNotHeld(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
	}
}

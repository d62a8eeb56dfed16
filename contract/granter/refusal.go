package granter

import (
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func rateExceeded(account string, wait time.Duration) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeRateExceeded, Message: "client account " + account + " is at its rate",
		Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests, RetryAfter: wait,
	}
}

func neverGranted(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeTooLarge, Message: "the request takes more than the burst of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusRequestEntityTooLarge,
	}
}

func notHeld(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
	}
}

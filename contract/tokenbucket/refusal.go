package tokenbucket

import (
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// exceedsBurst returns the refusal of a reservation that is larger than the burst.
func (b *TokenBucket) exceedsBurst(tokens int64) error {
	refusal := &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeTooLarge,
		Message: "the request may cost more tokens than the burst of client account " + b.account.Name,
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusRequestEntityTooLarge,
	}
	return errors.Wrapf(refusal, "reserve %d tokens", tokens)
}

// rateExceeded returns the refusal of a reservation that cannot be granted in time or finds the queue full.
func (b *TokenBucket) rateExceeded() *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeRateExceeded,
		Message: "client account " + b.account.Name + " has reached its token rate",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusTooManyRequests,
	}
}

// notOpen returns the refusal of a bucket that was closed or never opened.
func notOpen() *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeLeaseLost,
		Message: "this VM does not hold the client account's lease",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusServiceUnavailable,
	}
}

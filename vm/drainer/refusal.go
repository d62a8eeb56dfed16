package drainer

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// maxRetryAfter bounds the random Retry-After of requests that a VM refuses as it stops: others take them at once, and callers don't return
// all at the same moment.
const maxRetryAfter = 200 * time.Millisecond

// Refusal returns the refusal of a request that did not run and that this VM can't serve or pass on before it ends.
func Refusal(reason string) *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeDraining, Message: reason, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
	}.WithRetryAfter(time.Duration(rand.Int64N(int64(maxRetryAfter))))
}

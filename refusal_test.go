package fuchsiaspoke_test

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleRefusal_WithRetryAfter() {
	full := fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Message: "tier is full", Run: fuchsiaspoke.NotRun, Status: 429}
	later := full.WithRetryAfter(2 * time.Second)
	fmt.Println(full.RetryAfter, later.RetryAfter, later)
	// Output: 0s 2s rate_exceeded: tier is full
}

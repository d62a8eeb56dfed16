package fuchsiaspoke_test

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleRefusal_WithRetryAfter() {
	refusal := fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Message: "token rate exceeded", Run: fuchsiaspoke.NotRun, Status: 429}
	later := refusal.WithRetryAfter(2 * time.Second)
	fmt.Println(refusal.RetryAfter, later.RetryAfter, later)
	// Output: 0s 2s rate_exceeded: token rate exceeded
}

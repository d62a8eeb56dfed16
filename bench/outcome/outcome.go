// Package outcome holds what became of one request of a bench's load.
package outcome

import "time"

// Outcome is one request as its caller saw it; times count from the intended start.
type Outcome struct {
	Account string
	// Kind is "generation", "payment" or "status".
	Kind string
	// Mark is the SHA-256 of the prompt or the body, or the path of a status, by which stand-ins' records are found.
	Mark     string
	Intended time.Time
	// FirstToken, Gaps and Took are zero where the answer had none.
	FirstToken time.Duration
	Gaps       []time.Duration
	Took       time.Duration
	// Whole reports a whole answer of the request's own; Cut one that began and did not end; Wrong a foreign one.
	Whole, Cut, Wrong bool
	// Code and Run are a refusal's; Code is "transport" where no answer came at all.
	Code, Run string
	// CostTokens is the most that the request can take from its client account's rate.
	CostTokens int64
}

package fuchsiaspoke

// UseOutcome is how a request of a client account ended, or that it arrived.
type UseOutcome string

// The values of UseOutcome.
const (
	// UseRequested counts each request of a known route and account on arrival; the other values count its end.
	UseRequested UseOutcome = "requested"
	// UseOnTime and UseLate are complete responses within and after the latency objective of the route.
	UseOnTime UseOutcome = "answered_on_time"
	UseLate   UseOutcome = "answered_late"
	// UseFailed is a complete response with a status of 500 or above from a replica.
	UseFailed      UseOutcome = "failed"
	UseRefused     UseOutcome = "refused"
	UseInterrupted UseOutcome = "interrupted"
	UseCallerLeft  UseOutcome = "caller_left"
)

// AccountUse is one request to count for a client account.
type AccountUse struct {
	// Account is empty if the request has none.
	Account string
	Outcome UseOutcome
	// Cause is the code of a refusal; empty for all other outcomes.
	Cause RefusalCode
	// Tokens is the number of tokens charged for the request.
	Tokens float64
}

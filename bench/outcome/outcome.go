// Package outcome holds the result of one request of a bench run.
package outcome

import "time"

// Outcome is the result of one request as observed by its caller.
type Outcome struct {
	Account string
	// Kind is "generation", "payment" or "status".
	Kind string
	// RecordKey identifies the request in the stand-ins' records: the hex SHA-256 of a generation's prompt or a payment's
	// body, or the path of a status check.
	RecordKey string
	// Intended is the scheduled send time.
	Intended time.Time
	// TimeToFirstToken counts from Intended; it is zero if no chunk arrived. InterTokenTimes are the times between
	// successive chunks of a streamed answer.
	TimeToFirstToken time.Duration
	InterTokenTimes  []time.Duration
	// Latency is the time from Intended until the request ended, successfully or not.
	Latency time.Duration
	// Complete marks a complete and correct answer, Truncated one that started but did not end normally, and Wrong one
	// whose content does not belong to the request or can't be decoded.
	Complete, Truncated, Wrong bool
	// ErrorCode and Run are the code and run fields of an error answer. ErrorCode is "transport" if the request got no
	// response or an idempotency key could not be read.
	ErrorCode, Run string
	// CostTokens is the maximum number of tokens that the request can use of its client account's rate.
	CostTokens int64
}

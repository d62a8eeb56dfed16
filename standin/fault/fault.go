// Package fault defines the faults that tests and operators can inject into a stand-in.
package fault

// Fault is a set of injected faults; each stand-in applies the fields that its package comment lists.
type Fault struct {
	// Down makes calls to the stand-in's API return 503, but not those to /fault and /records.
	Down bool `json:"down,omitempty"`
	// LateMillis delays each response, and each chunk of an engine's stream, in milliseconds.
	LateMillis int64 `json:"late_ms,omitempty"`

	// StaleAt hides revisions above it from the platform's readers; zero hides none.
	StaleAt int64 `json:"stale_at,omitempty"`
	// ListLagMillis is how long the platform hides each new revision of the list of VMs, in milliseconds.
	ListLagMillis int64 `json:"list_lag_ms,omitempty"`
	// Backwards makes every second read from the platform return the previous revision of the value.
	Backwards bool `json:"backwards,omitempty"`

	// FailLoads is the number of next loads that fail in an engine.
	FailLoads int `json:"fail_loads,omitempty"`
	// IgnoreFence makes an engine accept old fencing tokens.
	IgnoreFence bool `json:"ignore_fence,omitempty"`
	// Cross makes an engine send, in place of each chunk, the chunk with the same index of another running request.
	Cross bool `json:"cross,omitempty"`
	// Duplicate makes an engine send each chunk twice.
	Duplicate bool `json:"duplicate,omitempty"`

	// TruncateAfter ends an engine's stream before the chunk with this index, or a service's body after this many bytes;
	// zero truncates nothing.
	TruncateAfter int64 `json:"truncate_after,omitempty"`

	// CloseBefore makes a service close the connection without executing the call.
	CloseBefore bool `json:"close_before,omitempty"`
	// CloseAfter makes a service execute the call and close the connection without a response.
	CloseAfter bool `json:"close_after,omitempty"`

	// Silence stalls the connections that are open now: they stay open but transfer no more data. It takes effect once and
	// is not kept.
	Silence bool `json:"silence,omitempty"`
	// Restart makes an engine start cold with a new incarnation. It takes effect once and is not kept.
	Restart bool `json:"restart,omitempty"`
}

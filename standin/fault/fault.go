// Package fault holds the misbehaviour that a test or an operator asks of a stand-in.
package fault

// Fault says how a stand-in misbehaves; each stand-in heeds the fields that its package names.
type Fault struct {
	// Down answers every call with 503.
	Down bool `json:"down,omitempty"`
	// LateMillis delays each answer.
	LateMillis int64 `json:"late_ms,omitempty"`

	// StaleAt makes the platform answer as of this revision when it is above zero.
	StaleAt int64 `json:"stale_at,omitempty"`
	// ListLagMillis makes the platform's list of VMs lag.
	ListLagMillis int64 `json:"list_lag_ms,omitempty"`
	// Backwards makes every second read of the platform go back by one revision of the value.
	Backwards bool `json:"backwards,omitempty"`

	// FailLoads makes an engine refuse this many loads.
	FailLoads int `json:"fail_loads,omitempty"`
	// IgnoreFence makes an engine accept old fencing numbers.
	IgnoreFence bool `json:"ignore_fence,omitempty"`
	// Cross makes an engine swap the chunks of two running answers.
	Cross bool `json:"cross,omitempty"`
	// Duplicate makes an engine send each chunk twice.
	Duplicate bool `json:"duplicate,omitempty"`

	// TruncateAfter ends an engine's stream after this many chunks, or a service's body after this many bytes.
	TruncateAfter int64 `json:"truncate_after,omitempty"`

	// CloseBefore makes a service close the connection before it reads the call.
	CloseBefore bool `json:"close_before,omitempty"`
	// CloseAfter makes a service run the call and close the connection without an answer.
	CloseAfter bool `json:"close_after,omitempty"`

	// Silence makes the connections that are open now silent for good; it is done once, and not kept.
	Silence bool `json:"silence,omitempty"`
	// Restart makes an engine start cold with a new incarnation; it is done once, and not kept.
	Restart bool `json:"restart,omitempty"`
}

// Package fault defines the faults that tests and operators can inject into a stand-in.
package fault

// Fault is a set of injected faults; each stand-in applies the fields that its package comment lists.
type Fault struct {
	// Down makes calls to the stand-in's API return 503, but not those to /fault and /records.
	Down bool `json:"down,omitempty"`
	// DelayMillis is the delay of each response, and of each chunk of an engine's stream, in milliseconds.
	DelayMillis int64 `json:"late_ms,omitempty"`

	// MaxVisibleRevision is the highest revision that the platform returns to readers; zero sets no limit.
	MaxVisibleRevision int64 `json:"stale_at,omitempty"`
	// ListLagMillis is how long the platform hides each new revision of the list of VMs, in milliseconds.
	ListLagMillis int64 `json:"list_lag_ms,omitempty"`
	// AlternateOldRevisions makes every second read from the platform return the revision of the value before the latest one.
	AlternateOldRevisions bool `json:"backwards,omitempty"`

	// FailLoads is how many of the next adapter loads of an engine fail.
	FailLoads int `json:"fail_loads,omitempty"`
	// IgnoreFence makes an engine accept old fencing tokens.
	IgnoreFence bool `json:"ignore_fence,omitempty"`
	// SendOtherRunsChunks makes an engine replace each chunk by the chunk with the same index of another running request.
	SendOtherRunsChunks bool `json:"cross,omitempty"`
	// Duplicate makes an engine send each chunk twice.
	Duplicate bool `json:"duplicate,omitempty"`

	// TruncateAfter ends an engine's stream before the chunk with this index, or a service's body after this many bytes;
	// zero truncates nothing.
	TruncateAfter int64 `json:"truncate_after,omitempty"`

	// CloseBefore makes a service close the connection without executing the call.
	CloseBefore bool `json:"close_before,omitempty"`
	// CloseAfter makes a service execute the call and close the connection without a response.
	CloseAfter bool `json:"close_after,omitempty"`

	// StallConnections makes the connections that are open now transfer no more data, without closing them. It takes effect
	// once and is not kept.
	StallConnections bool `json:"silence,omitempty"`
	// Restart makes an engine start as a new incarnation, without adapters or cached prompts. It takes effect once and is not kept.
	Restart bool `json:"restart,omitempty"`
}

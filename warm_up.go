package fuchsiaspoke

import "time"

// WarmUp is the time after its start in which a replica of a service sustains few requests.
type WarmUp struct {
	// Length is how long it takes.
	Length time.Duration
	// PerSecond is the number of requests a second that a replica sustains in it; 0 means no limit.
	PerSecond float64
}

// Limits reports whether replicas in warm-up are limited.
func (w WarmUp) Limits() bool { return w.Length > 0 && w.PerSecond > 0 }

// ReplicaWarmUp is what is known of one replica's warm-up from its published entry. It must not be modified.
type ReplicaWarmUp struct {
	// Ms is the time in milliseconds that remained when the entry was written, or when it was relayed. If Assumed is set, it is the time
	// since the warm-up may have begun.
	Ms uint32 `cbor:"1,keyasint,omitempty"`
	// Assumed means that the replica may be in warm-up, as it is new or restarted and its entry does not say.
	Assumed bool `cbor:"2,keyasint,omitempty"`
	// At is the end of the warm-up on this VM's clock, or if Assumed is set its beginning. It is set when a VM learns of the entry.
	At time.Duration `cbor:"-"`
}

// Learned returns a copy for a VM that learns of the entry at a time on its clock.
func (w *ReplicaWarmUp) Learned(now time.Duration) *ReplicaWarmUp {
	out := *w
	out.At = now + time.Duration(w.Ms)*time.Millisecond
	if w.Assumed {
		out.At = now - time.Duration(w.Ms)*time.Millisecond
	}
	return &out
}

// Relayed returns a copy with the time that remains, or has passed, at a time on this VM's clock, for another VM.
func (w *ReplicaWarmUp) Relayed(now time.Duration) *ReplicaWarmUp {
	if w == nil {
		return nil
	}
	rest := w.At - now
	if w.Assumed {
		rest = now - w.At
	}
	return &ReplicaWarmUp{Ms: Milliseconds(max(rest, 0)), Assumed: w.Assumed}
}

// Ends returns the time on this VM's clock at which the warm-up ends, where warm-ups of the service take a time.
func (w *ReplicaWarmUp) Ends(length time.Duration) time.Duration {
	switch {
	case w == nil:
		return 0
	case w.Assumed:
		return w.At + length
	}
	return w.At
}

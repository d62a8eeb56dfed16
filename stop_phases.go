package fuchsiaspoke

import "time"

const (
	// maxLateStart is the longest time after SIGTERM at which a request may be sent that need not end within the grace period.
	maxLateStart = 3 * time.Second
	// signalDelay is how much later than it was sent a busy VM may handle SIGTERM.
	signalDelay = 500 * time.Millisecond
	// maxEndMargin is the time reserved at the end of the grace period, and endShare the share of a short grace period: what is cut in its last
	// sixth could not have been completed.
	maxEndMargin = 700 * time.Millisecond
	endShare     = 8
	// answerShare is the share of that time in which the last responses are written, and closeShare the share before whose end they have
	// arrived at other VMs.
	answerShare = 7
	closeShare  = 2
)

// StopPhases are the times from the beginning of a VM's stop after which it takes and does less.
type StopPhases struct {
	// Accepts is how long requests are accepted that may run for longer than Runs leaves them.
	Accepts time.Duration
	// Waits is how long requests may wait to be sent to a replica; later ones are refused at once.
	Waits time.Duration
	// Runs is how long requests that were sent may run.
	Runs time.Duration
	// End is when nothing is served any more, whatever runs; only links from other VMs may stay open until Closes.
	End time.Duration
	// Closes is when links from other VMs are closed, whether or not the last responses to them are acknowledged.
	Closes time.Duration
}

// NewStopPhases returns the phases of a VM whose process is killed after the grace period, and to which callers may come for the time known.
func NewStopPhases(grace, known time.Duration) StopPhases {
	waits := min(known, grace/2)
	margin := min(maxEndMargin, grace/endShare)
	return StopPhases{
		Accepts: min(maxLateStart-signalDelay, waits), Waits: waits, Runs: grace - margin, End: grace - margin + margin/answerShare,
		Closes: grace - margin/closeShare,
	}
}

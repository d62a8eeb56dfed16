package fuchsiaspoke

import "time"

// RunRecord is what callers, replicas and the sender of signals observed of a run of a fleet. All times are those of one clock, since the
// beginning of the run.
type RunRecord struct {
	Requests []ObservedRequest
	// Stops are the planned ends of VMs, Reloads the signals that settings have changed, and Publications the changes of the contract.
	Stops        []ObservedStop
	Reloads      []ObservedReload
	Publications []ObservedPublication
	// Disruptions are unplanned faults, such as a VM that is killed, suspended or cut off.
	Disruptions []ObservedDisruption
}

// ObservedRequest is a request as its caller observed it, and its runs as the replicas did.
type ObservedRequest struct {
	ID string
	// VM is the one that the caller sent the request to.
	VM string
	// FirstByte and LastByte are when its first and its last byte were sent, and End is when its connection ended or the response was whole.
	FirstByte, LastByte, End time.Duration
	// TimeLimit is the shorter one of the caller's timeout and the route's.
	TimeLimit time.Duration
	// Status is that of the response, or 0 if no head was received; Whole means that the response was complete.
	Status int
	Whole  bool
	// CallerLeft means that the caller ended the connection, and Unsent that it did not send the whole request.
	CallerLeft, Unsent bool
	Runs               []ObservedRun
}

// ObservedRun is the time in which a replica worked on a request.
type ObservedRun struct {
	Replica    string
	Begin, End time.Duration
	// BrokeOff means that the replica ended the connection before its response was complete.
	BrokeOff bool
}

// ObservedStop is a planned end of a VM's process.
type ObservedStop struct {
	VM string
	// Signal is when SIGTERM was sent.
	Signal time.Duration
}

// ObservedReload is a signal to a VM that its settings have changed.
type ObservedReload struct {
	VM     string
	Signal time.Duration
}

// ObservedPublication is a change of the contract.
type ObservedPublication struct {
	Sent, Acknowledged time.Duration
}

// ObservedDisruption is an unplanned fault of a VM; no VM stands for all of them.
type ObservedDisruption struct {
	VM         string
	Begin, End time.Duration
}

// BrokenPromise is a request for which a promise was broken.
type BrokenPromise struct {
	Request ObservedRequest
	// Reason names the promise and the planned work beside which it was broken.
	Reason string
}

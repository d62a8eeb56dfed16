package fuchsiaspoke

import "time"

// Send says where and how one request goes to a replica.
type Send struct {
	Replica Replica
	// Left is how long the replica may work.
	Left time.Duration
	// Version is the adapter's version that was fixed; 0 is none.
	Version int64
	// LastEvent is the event behind which a stream goes on; empty is the beginning.
	LastEvent string
}

// Reading is what the head of a replica's answer says.
type Reading struct {
	// NotRun says that the replica surely did not run the request.
	NotRun bool
	// Elsewhere says that another replica has the address, or that the replica lacks the adapter.
	Elsewhere bool
	// Usable answers are the replica's own and may be passed on.
	Usable bool
}

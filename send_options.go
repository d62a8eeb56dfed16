package fuchsiaspoke

import "time"

// SendOptions holds the parameters of one attempt to send a request to a replica.
type SendOptions struct {
	Replica Replica
	// TimeLeft is the time that the replica has to respond.
	TimeLeft time.Duration
	// Version is the adapter version that must serve the request; 0 requires none.
	Version int64
	// LastEvent is the id of the event after which the stream resumes; empty starts at the beginning.
	LastEvent string
}

// ResponseInfo is the interpretation of the status and headers of a replica's response.
type ResponseInfo struct {
	// NotRun reports that the replica certainly did not execute the request.
	NotRun bool
	// Misdirected reports status 421: another replica answers at the address, or the replica lacks the adapter.
	Misdirected bool
	// Forwardable reports that the response is the replica's own response to this request and may be forwarded to the caller.
	Forwardable bool
	// Notice is what the replica said of itself.
	Notice ReplicaNotice
}

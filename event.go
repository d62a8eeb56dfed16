package fuchsiaspoke

// EventKind is the type of an event on the timeline.
type EventKind string

// The kinds of events.
const (
	EventAdmitted     EventKind = "admitted"
	EventRefused      EventKind = "refused"
	EventQueued       EventKind = "queued"
	EventSent         EventKind = "sent"
	EventAnswered     EventKind = "answered"
	EventGranted      EventKind = "tokens_granted"
	EventReturned     EventKind = "tokens_returned"
	EventLeaseTaken   EventKind = "lease_taken"
	EventLeaseLost    EventKind = "lease_lost"
	EventLoaded       EventKind = "adapter_loaded"
	EventEvicted      EventKind = "adapter_evicted"
	EventLoadFailed   EventKind = "adapter_load_failed"
	EventRevision     EventKind = "revision_in_force"
	EventDocRefused   EventKind = "document_refused"
	EventPeerSeen     EventKind = "peer_seen"
	EventPeerLost     EventKind = "peer_lost"
	EventDraining     EventKind = "draining"
	EventStarted      EventKind = "started"
	EventPaused       EventKind = "pause_noticed"
	EventViolation    EventKind = "invariant_violated"
	EventKeyIssued    EventKind = "idempotency_key_issued"
	EventCallStarted  EventKind = "call_started"
	EventCallFinished EventKind = "call_finished"
)

// Event is one entry of the event timeline.
type Event struct {
	// WallNanos and Logical are the hybrid logical clock reading of the event.
	WallNanos int64     `json:"wall_nanos" cbor:"1,keyasint"`
	Logical   uint32    `json:"logical" cbor:"2,keyasint"`
	VM        string    `json:"vm" cbor:"3,keyasint"`
	Kind      EventKind `json:"kind" cbor:"4,keyasint"`
	RequestID string    `json:"request_id,omitempty" cbor:"5,keyasint,omitempty"`
	Account   string    `json:"client_account,omitempty" cbor:"6,keyasint,omitempty"`
	Upstream  string    `json:"upstream,omitempty" cbor:"7,keyasint,omitempty"`
	Detail    string    `json:"detail,omitempty" cbor:"8,keyasint,omitempty"`
	// Tokens is a number of tokens, the fencing token of a lease, the revision of a document, or the number of violations of an
	// invariant, depending on Kind.
	Tokens int64 `json:"tokens,omitempty" cbor:"9,keyasint,omitempty"`
}

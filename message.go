package fuchsiaspoke

import "net/http"

// Message is an HTTP/1.1 request to a replica.
type Message struct {
	// ID is repeated in the response, and no connection carries it twice; "" stands for none. VMs don't send it to each other.
	ID string `cbor:"-"`
	// Alone means that the message goes out on a connection of its own, as its response names nothing by which it could be told from others. VMs don't
	// send it to each other.
	Alone  bool `cbor:"-"`
	Method string
	// Target is the path and query; those of a caller's request are passed on unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// SendError is the error of a request to a replica that yielded no usable response.
type SendError struct {
	// Peer is the address of the replica.
	Peer string
	// Step is the operation that failed, such as connect or read stream.
	Step string
	// NotSent reports that no part of the request reached the replica.
	NotSent bool
	Cause   error
}

// Error returns the step, the replica's address and the cause.
func (e *SendError) Error() string {
	return e.Step + " at replica " + e.Peer + ": " + e.Cause.Error()
}

func (e *SendError) Unwrap() error { return e.Cause }

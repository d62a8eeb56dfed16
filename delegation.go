package fuchsiaspoke

import (
	"net/http"
	"time"
)

// Delegation is an admitted request that a VM which reaches no replica passes to another VM. Times of the request are relative to the moment
// at which it is sent, as VMs have no common clock.
type Delegation struct {
	// Request is the admitted request; its Arrived, Due and Deadline are zero.
	Request AdmittedRequest `cbor:"1,keyasint"`
	Message Message         `cbor:"2,keyasint"`
	// Waited is the time since the request arrived, UntilDue the time until it misses its latency objective, which may be below 0, and
	// TimeLeft that for which its caller still waits.
	Waited   time.Duration `cbor:"3,keyasint"`
	UntilDue time.Duration `cbor:"4,keyasint"`
	TimeLeft time.Duration `cbor:"5,keyasint"`
}

// DelegatedPart is a part of the response to a Delegation: its head, or some of its body.
type DelegatedPart struct {
	// Head is set on the first part alone.
	Head *DelegatedHead `cbor:"1,keyasint,omitempty"`
	Body []byte         `cbor:"2,keyasint,omitempty"`
}

// DelegatedHead is the status and the header of a response. Length is that of the body, -1 for streams.
type DelegatedHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Length int         `cbor:"3,keyasint"`
}

// NewDelegation returns the delegation of a request that is sent at now, by the clock of its times.
func NewDelegation(req AdmittedRequest, m Message, now time.Duration) Delegation {
	d := Delegation{Request: req, Message: m, Waited: now - req.Arrived, UntilDue: req.Due - now, TimeLeft: req.Deadline - now}
	d.Request.Arrived, d.Request.Due, d.Request.Deadline = 0, 0, 0
	return d
}

// ReceivedAt returns the request of a delegation that is received at now, by the receiver's clock.
func (d Delegation) ReceivedAt(now time.Duration) AdmittedRequest {
	req := d.Request
	req.Arrived, req.Due, req.Deadline = now-d.Waited, now+d.UntilDue, now+d.TimeLeft
	return req
}

package fuchsiaspoke

import "time"

// VMList is the platform's list of VMs at one revision; lists with equal revisions are equal.
type VMList struct {
	Revision int64 `cbor:"1,keyasint"`
	VMs      []VM  `cbor:"2,keyasint"`
}

// LeaseRequest is a VM's request to one grantor to acquire, renew or release leases; a lease needs the promises of a majority.
type LeaseRequest struct {
	From        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	To          string `cbor:"3,keyasint"`
	// ActiveRevisions holds the revisions of the VM lists in each of which the sender needs a majority, oldest first.
	ActiveRevisions []int64 `cbor:"4,keyasint"`
	// Lists holds the VM lists of ActiveRevisions that the grantor did not have according to its last response.
	Lists     []VMList `cbor:"5,keyasint,omitempty"`
	Resources []string `cbor:"6,keyasint"`
	// Release releases the promises on Resources instead of requesting them.
	Release bool `cbor:"7,keyasint,omitempty"`
	// Number is the sequence number of the round of requests, the same for all grantors; it is copied into the response.
	Number uint64 `cbor:"8,keyasint"`
	// RetiredRevision is the highest revision whose VM list the sender has retired: lists up to it need no majority any more.
	RetiredRevision int64 `cbor:"9,keyasint,omitempty"`
	// Fences holds the sender's fencing token for each of Resources; 0 means none yet.
	Fences []int64 `cbor:"10,keyasint,omitempty"`
	// Ready reports that the sender may itself grant promises; the response to a sender that may not yet grant includes
	// the fencing tokens of all known resources.
	Ready bool `cbor:"11,keyasint,omitempty"`
}

// LeasePromise is a grantor's decision on one resource.
type LeasePromise struct {
	Resource string `cbor:"1,keyasint"`
	Granted  bool   `cbor:"2,keyasint"`
	// Fence is the highest fencing token that the grantor knows for the resource.
	Fence int64 `cbor:"3,keyasint"`
	// Holder is the VM whose unexpired promise prevented the grant, if any.
	Holder string `cbor:"4,keyasint,omitempty"`
	// Idle is the time since the resource was last requested from the grantor; it is set only for resources that were not in the
	// request.
	Idle time.Duration `cbor:"5,keyasint,omitempty"`
}

// LeaseResponse is a grantor's response to a LeaseRequest.
type LeaseResponse struct {
	From            string   `cbor:"1,keyasint"`
	Incarnation     string   `cbor:"2,keyasint"`
	Number          uint64   `cbor:"3,keyasint"`
	ActiveRevisions []int64  `cbor:"4,keyasint"`
	Lists           []VMList `cbor:"5,keyasint,omitempty"`
	Ready           bool     `cbor:"6,keyasint"`
	// Promises holds one entry for each requested resource, followed by the fencing tokens of other resources if the sender may
	// need them.
	Promises []LeasePromise `cbor:"7,keyasint,omitempty"`
	// RetiredRevision is the highest revision whose VM list the grantor has retired.
	RetiredRevision int64 `cbor:"8,keyasint,omitempty"`
}

// Lease is the exclusive right to act for a resource until a time on the holder's clock.
type Lease struct {
	Resource string
	// Fence is the fencing token, which increases with each change of holder.
	Fence int64
	// Until is the expiry of the lease, as time since the process started.
	Until time.Duration
}

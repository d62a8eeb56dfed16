package fuchsiaspoke

import "time"

// VMList is the platform's list of VMs at one revision; two lists with one revision are equal.
type VMList struct {
	Revision int64 `cbor:"1,keyasint"`
	VMs      []VM  `cbor:"2,keyasint"`
}

// LeaseAsk is one VM's request to one grantor for promises on resources.
type LeaseAsk struct {
	From        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	To          string `cbor:"3,keyasint"`
	// Chain is the revisions of the lists that the asker counts majorities in, oldest first.
	Chain []int64 `cbor:"4,keyasint"`
	// Lists carries the content of lists that the grantor was last seen to lack.
	Lists     []VMList `cbor:"5,keyasint,omitempty"`
	Resources []string `cbor:"6,keyasint"`
	// Release takes the promises back instead of asking for them.
	Release bool `cbor:"7,keyasint,omitempty"`
	// Number matches an answer to its ask.
	Number uint64 `cbor:"8,keyasint"`
	// Floor is the revision up to which the asker has sealed all lists.
	Floor int64 `cbor:"9,keyasint,omitempty"`
	// Fences holds the asker's fencing number for each of Resources; zero stands for none yet.
	Fences []int64 `cbor:"10,keyasint,omitempty"`
	// Ready says that the asker may grant, so that it needs no more than the answer to this ask.
	Ready bool `cbor:"11,keyasint,omitempty"`
}

// LeasePromise is a grantor's word on one resource.
type LeasePromise struct {
	Resource string `cbor:"1,keyasint"`
	Granted  bool   `cbor:"2,keyasint"`
	// Fence is the highest fencing number that the grantor has seen for the resource.
	Fence int64 `cbor:"3,keyasint"`
	// Holder is the VM that the promise stands for when it was not granted.
	Holder string `cbor:"4,keyasint,omitempty"`
	// Idle is how long the grantor has not been asked for the resource.
	Idle time.Duration `cbor:"5,keyasint,omitempty"`
}

// LeaseAnswer is a grantor's answer to one ask.
type LeaseAnswer struct {
	From        string   `cbor:"1,keyasint"`
	Incarnation string   `cbor:"2,keyasint"`
	Number      uint64   `cbor:"3,keyasint"`
	Chain       []int64  `cbor:"4,keyasint"`
	Lists       []VMList `cbor:"5,keyasint,omitempty"`
	Ready       bool     `cbor:"6,keyasint"`
	// Promises answers for the resources asked for; others follow for their fences where the asker may need them.
	Promises []LeasePromise `cbor:"7,keyasint,omitempty"`
	// Floor is the revision up to which the grantor has sealed all lists.
	Floor int64 `cbor:"8,keyasint,omitempty"`
}

// Lease is the right to act for a resource, counted on the holder's own clock.
type Lease struct {
	Resource string
	// Fence rises with each change of holder.
	Fence int64
	// Until is the end of the lease as time since the process started.
	Until time.Duration
}

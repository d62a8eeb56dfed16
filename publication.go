package fuchsiaspoke

import "github.com/pkg/errors"

// Publication is an entry published by the platform, at one revision; one of Contract, Replica, Adapter and Evacuation is set.
type Publication struct {
	// Name is unique among all publications.
	Name     string
	Revision Revision
	// Withdrawn reports that the entry was removed; Contract, Replica and Adapter are then nil.
	Withdrawn bool
	Contract  *Contract
	Replica   *Replica
	Adapter   *AdapterVersion
	// Evacuation is the availability zone of an evacuation, also where it is withdrawn.
	Evacuation Zone
	// Fault is the decoding error of an invalid entry, which must not be used. An Evacuation counts nevertheless.
	Fault error
	// Raw is the encoded entry, which can be forwarded to other VMs.
	Raw []byte
}

// AdapterVersion announces a version of an adapter of a base model.
type AdapterVersion struct {
	Model   string  `cbor:"1,keyasint"`
	Adapter Adapter `cbor:"2,keyasint"`
}

// PublicationList holds all entries at a revision, or those that changed since an earlier revision.
type PublicationList struct {
	Revision Revision
	Items    []Publication
}

// ErrHistoryDiscarded is the cause of a failed watch whose start revision is older than the platform's change history; the
// caller must list all entries again.
var ErrHistoryDiscarded = errors.New("the watched revision is older than the platform's change history")

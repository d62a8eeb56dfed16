package fuchsiaspoke

import (
	"cmp"
	"strconv"
)

// Revision is the age of what a platform's store holds. Its zero value is older than every other one.
type Revision struct {
	// Epoch rises by one each time the store is restored from a backup, which may be some seconds old; numbers are then lower again.
	Epoch int64 `cbor:"1,keyasint,omitempty"`
	// Number rises with each change of the store within an epoch.
	Number int64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns a negative number if r is older than other, 0 if they are equal, and a positive number otherwise.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// NewerThan reports whether r is newer than other.
func (r Revision) NewerThan(other Revision) bool { return r.Compare(other) > 0 }

// String returns the epoch and the number, separated by a point.
func (r Revision) String() string {
	return strconv.FormatInt(r.Epoch, 10) + "." + strconv.FormatInt(r.Number, 10)
}

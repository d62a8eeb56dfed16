package fuchsiaspoke

import (
	"cmp"
	"strconv"
)

// Revision is the age of what a platform's store holds. Its zero value is older than every other one.
type Revision struct {
	// Era rises by one each time the store comes back from a copy, which may be some seconds old; numbers are then lower again.
	Era int64 `cbor:"1,keyasint,omitempty"`
	// Number rises with each change of the store within an era.
	Number int64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns a negative number if r is older than other, 0 if they are equal, and a positive number otherwise.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// NewerThan reports whether r is newer than other.
func (r Revision) NewerThan(other Revision) bool { return r.Compare(other) > 0 }

// String returns the era and the number, separated by a point.
func (r Revision) String() string {
	return strconv.FormatInt(r.Era, 10) + "." + strconv.FormatInt(r.Number, 10)
}

package fuchsiaspoke

// Digest summarizes the active document revisions; VMs with equal digests hold the same documents.
type Digest struct {
	// Hash combines the name and revision of every active document.
	Hash uint64 `json:"hash" cbor:"1,keyasint"`
	// Highest is the highest active revision.
	Highest int64 `json:"highest_revision" cbor:"2,keyasint"`
}

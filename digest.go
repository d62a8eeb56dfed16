package fuchsiaspoke

// Digest is a short summary of the revisions in force; VMs with equal digests hold the same documents.
type Digest struct {
	// Hash folds the name and the revision of each document in force.
	Hash uint64 `json:"hash" cbor:"1,keyasint"`
	// Highest is the highest revision in force.
	Highest int64 `json:"highest_revision" cbor:"2,keyasint"`
}

package fuchsiaspoke

import "time"

// TokenRequest requests a token reservation, or announces one, at the VM that holds the client account's lease.
type TokenRequest struct {
	Account string `cbor:"1,keyasint"`
	// ID identifies the reservation; repeated requests with the same ID return the same reservation.
	ID     string `cbor:"2,keyasint"`
	Tokens int64  `cbor:"3,keyasint"`
	// LikelyTokens is the expected number of tokens that the request will use; Tokens is the upper bound.
	LikelyTokens int64 `cbor:"5,keyasint,omitempty"`
	// Group identifies one of several groups that share the bucket; waiting groups receive equal shares of tokens by fair queueing.
	Group string `cbor:"6,keyasint,omitempty"`
	// MaxWait is the longest time that the request may wait for the reservation.
	MaxWait time.Duration `cbor:"4,keyasint"`
}

// TokenGrant is a token reservation made under one lease of the client account.
type TokenGrant struct {
	Account string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Tokens  int64  `cbor:"3,keyasint"`
	// Fence is the fencing token of the lease under which the reservation was made.
	Fence int64 `cbor:"4,keyasint"`
	// ValidFor is the remaining time of that lease when the reservation was made.
	ValidFor time.Duration `cbor:"5,keyasint"`
}

// TokenUpdate reports the use of a reservation to the VM that holds the client account's lease.
type TokenUpdate struct {
	Account string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Fence   int64  `cbor:"3,keyasint"`
	// Consumed is the total number of tokens used so far.
	Consumed int64 `cbor:"4,keyasint"`
	// Finished ends the reservation and releases its unused tokens.
	Finished bool `cbor:"5,keyasint,omitempty"`
	// CancelAnnouncement cancels an announcement whose tokens were never reserved.
	CancelAnnouncement bool `cbor:"6,keyasint,omitempty"`
}

// OpenReservation is an unfinished reservation; VMs report theirs when a new lease holder opens the bucket.
type OpenReservation struct {
	ID       string `cbor:"1,keyasint"`
	Tokens   int64  `cbor:"2,keyasint"`
	Consumed int64  `cbor:"3,keyasint"`
}

// TokenHandover transfers the level of a token bucket that its holder closed before releasing the lease.
type TokenHandover struct {
	Account string `cbor:"1,keyasint"`
	// Fence is the fencing token of the released lease; only the holder of the directly following lease is credited.
	Fence  int64 `cbor:"2,keyasint"`
	Tokens int64 `cbor:"3,keyasint"`
}

package fuchsiaspoke

import "time"

// TokenAsk asks the holder of a client account's lease to reserve tokens.
type TokenAsk struct {
	Account string `cbor:"1,keyasint"`
	// ID is the request's id; asking again with it returns the same reservation.
	ID     string `cbor:"2,keyasint"`
	Tokens int64  `cbor:"3,keyasint"`
	// Likely is what the request will likely cost; Tokens is the bound on it.
	Likely int64 `cbor:"5,keyasint,omitempty"`
	// Group names whom the tokens are for where several share the bucket; waiting groups are served in turn.
	Group string `cbor:"6,keyasint,omitempty"`
	// Patience is how long the asker is ready to wait.
	Patience time.Duration `cbor:"4,keyasint"`
}

// TokenGrant is a reservation made under one lease of the client account.
type TokenGrant struct {
	Account string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Tokens  int64  `cbor:"3,keyasint"`
	// Fence names the lease that the reservation was made under.
	Fence int64 `cbor:"4,keyasint"`
	// Valid is how long the lease still lasted when the grant was made.
	Valid time.Duration `cbor:"5,keyasint"`
}

// TokenUpdate tells the holder of a client account's lease how a reservation is used.
type TokenUpdate struct {
	Account string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Fence   int64  `cbor:"3,keyasint"`
	// Consumed is the tokens used so far.
	Consumed int64 `cbor:"4,keyasint"`
	// Finished returns what was not used.
	Finished bool `cbor:"5,keyasint,omitempty"`
	// Unsent takes back what was announced and never reserved.
	Unsent bool `cbor:"6,keyasint,omitempty"`
}

// TokenUse is a reservation that a VM made and has not finished.
type TokenUse struct {
	ID       string `cbor:"1,keyasint"`
	Tokens   int64  `cbor:"2,keyasint"`
	Consumed int64  `cbor:"3,keyasint"`
}

// TokenHandover is the level of a bucket that its holder closed before it gave the lease back.
type TokenHandover struct {
	Account string `cbor:"1,keyasint"`
	// Fence is the lease that ended; only the holder of the next one is credited.
	Fence  int64 `cbor:"2,keyasint"`
	Tokens int64 `cbor:"3,keyasint"`
}

package fuchsiaspoke

// Call is one admitted call to a plain service; it never carries the caller's key.
type Call struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Profile   string `cbor:"3,keyasint"`
	Service   string `cbor:"4,keyasint"`
	Method    string `cbor:"5,keyasint"`
	// Path is the escaped path with its query, without key material.
	Path        string `cbor:"6,keyasint"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Accept      string `cbor:"8,keyasint,omitempty"`
	Body        []byte `cbor:"9,keyasint,omitempty"`
	// IdempotencyKey is set on calls that may run at most once.
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	KeyHash        string `cbor:"11,keyasint,omitempty"`
	CostTokens     int64  `cbor:"12,keyasint"`
}

// Reply is a plain service's whole answer.
type Reply struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Replayed reports that the answer is a recorded one.
	Replayed bool `cbor:"4,keyasint,omitempty"`
}

package fuchsiaspoke

// Call is an admitted request to a service that is not an engine; it never carries the caller's API key.
type Call struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Profile   string `cbor:"3,keyasint"`
	Service   string `cbor:"4,keyasint"`
	Method    string `cbor:"5,keyasint"`
	// Path is the escaped path and query without API keys.
	Path        string `cbor:"6,keyasint"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Accept      string `cbor:"8,keyasint,omitempty"`
	Body        []byte `cbor:"9,keyasint,omitempty"`
	// IdempotencyKey is set on calls that must run at most once.
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	KeyHash        string `cbor:"11,keyasint,omitempty"`
	CostTokens     int64  `cbor:"12,keyasint"`
}

// Reply is the complete response to a Call.
type Reply struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Replayed reports that the response was recorded for an earlier call with the same idempotency key.
	Replayed bool `cbor:"4,keyasint,omitempty"`
}

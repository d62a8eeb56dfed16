package fuchsiaspoke

// Zone is the name of an availability zone.
type Zone string

// VM is an entry VM as listed by the platform.
type VM struct {
	ID            string `json:"id" cbor:"1,keyasint"`
	Zone          Zone   `json:"availability_zone" cbor:"2,keyasint"`
	CallerAddress string `json:"caller_address" cbor:"3,keyasint"`
	LinkAddress   string `json:"link_address" cbor:"4,keyasint"`
	Leaving       bool   `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"`
	// Capacity is the processor time that the VM may use, in cores; 0 stands for 1.
	Capacity float32 `json:"capacity,omitempty" cbor:"6,keyasint,omitempty"`
}

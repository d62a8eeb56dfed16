package fuchsiaspoke

// ServedReport is what an owner of engines tells the others of the cost that it served, for fair queueing between client accounts.
type ServedReport struct {
	// Contended reports that requests of two or more accounts wait at the sender's engines of one service.
	Contended bool `cbor:"1,keyasint,omitempty"`
	// Costs are some of the sender's accounts, others in each heartbeat.
	Costs []ServedCost `cbor:"2,keyasint,omitempty"`
}

// ServedCost is the cost that a VM has served of one client account at the engines of one service since its process started, in
// tokens.
type ServedCost struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Account string
	Cost    int64
}

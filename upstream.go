package fuchsiaspoke

// UpstreamKind distinguishes upstreams that run a model from others.
type UpstreamKind string

// The kinds of upstreams.
const (
	EngineUpstream  UpstreamKind = "engine"
	ServiceUpstream UpstreamKind = "service"
)

// Upstream is one published replica of an engine or of a service that runs no model.
type Upstream struct {
	ID      string       `json:"id"`
	Kind    UpstreamKind `json:"kind"`
	Address string       `json:"address"`
	Zone    Zone         `json:"availability_zone"`
	// Service is the name by which profiles refer to the service; it is empty for engines.
	Service string `json:"service,omitempty"`
	// BaseModel is the base model that the engine runs.
	BaseModel string `json:"base_model,omitempty"`
	// AdapterSlots is the maximum number of resident adapters of the engine.
	AdapterSlots int `json:"slots,omitempty"`
	// BatchSize is the maximum number of concurrently running requests of the engine.
	BatchSize int `json:"batch,omitempty"`
	// ChecksFence reports whether the upstream rejects requests with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving reports that the upstream must receive no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// UpstreamState is an engine with the load that its lease holder last advertised, which may be stale.
type UpstreamState struct {
	Upstream Upstream
	// QueuedTokens is the upper bound on the tokens of queued requests.
	QueuedTokens int64
	Running      int
	// Resident are the adapters that are ready for use.
	Resident []Adapter
}

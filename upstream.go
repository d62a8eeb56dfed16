package fuchsiaspoke

// UpstreamKind says what an upstream serves.
type UpstreamKind string

// The kinds of upstream.
const (
	EngineUpstream  UpstreamKind = "engine"
	ServiceUpstream UpstreamKind = "service"
)

// Upstream is one replica of a model engine or of a plain service.
type Upstream struct {
	ID      string       `json:"id"`
	Kind    UpstreamKind `json:"kind"`
	Address string       `json:"address"`
	Zone    Zone         `json:"availability_zone"`
	// Service is the name that profiles of a plain service use.
	Service string `json:"service,omitempty"`
	// BaseModel is the model that an engine runs.
	BaseModel string `json:"base_model,omitempty"`
	// Slots is the number of adapters that an engine holds at once.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of requests that an engine runs at once.
	Batch int `json:"batch,omitempty"`
	// ChecksFence reports whether the upstream refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
}

// UpstreamState is an upstream with the load that its lease holder advertises, which may be late.
type UpstreamState struct {
	Upstream Upstream
	// QueuedTokens is the bound on the tokens of waiting requests.
	QueuedTokens int64
	Running      int
	// Resident lists the adapters that are ready for use.
	Resident []Adapter
}

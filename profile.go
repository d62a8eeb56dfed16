package fuchsiaspoke

// Adapter is a LoRA adapter at one version.
type Adapter struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
}

// Route is one method and path prefix of a plain service.
type Route struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent reports whether a call may be sent again.
	Idempotent bool `json:"idempotent"`
	// CostTokens is what one call takes from the client account's rate.
	CostTokens int64 `json:"cost_tokens"`
}

// Profile fixes who may call and what answers: an adapter of a base model, or a plain service.
type Profile struct {
	Name string `json:"name"`
	// ClientAccounts may call this profile; it is empty where Open is set.
	ClientAccounts []string `json:"client_accounts,omitempty"`
	// Open lets callers without a key use the profile; they share the client account named by OpenAccount.
	Open        bool   `json:"open,omitempty"`
	OpenAccount string `json:"open_account,omitempty"`

	BaseModel       string  `json:"base_model,omitempty"`
	Adapter         Adapter `json:"adapter,omitzero"`
	MaxOutputTokens int64   `json:"max_output_tokens,omitempty"`

	Service string  `json:"service,omitempty"`
	Routes  []Route `json:"routes,omitempty"`
}

// Allows reports whether the client account may call the profile.
func (p Profile) Allows(account string) bool {
	for _, name := range p.ClientAccounts {
		if name == account {
			return true
		}
	}
	return false
}

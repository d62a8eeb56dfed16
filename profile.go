package fuchsiaspoke

// Adapter is a LoRA adapter at one version.
type Adapter struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
}

// ProfileRoute is a method and path prefix that callers may use at a service.
type ProfileRoute struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent reports whether a call may be retried.
	Idempotent bool `json:"idempotent"`
	// CostTokens is the number of tokens charged to the client account for one call.
	CostTokens int64 `json:"cost_tokens"`
}

// Profile defines which client accounts may use a name and what serves it: an adapter of a base model, or a service.
type Profile struct {
	Name string `json:"name"`
	// ClientAccounts lists the client accounts that may use the profile; it is empty if Open is set.
	ClientAccounts []string `json:"client_accounts,omitempty"`
	// Open allows callers without an API key; all of them are charged to the client account OpenAccount.
	Open        bool   `json:"open,omitempty"`
	OpenAccount string `json:"open_account,omitempty"`

	BaseModel       string  `json:"base_model,omitempty"`
	Adapter         Adapter `json:"adapter,omitzero"`
	MaxOutputTokens int64   `json:"max_output_tokens,omitempty"`

	Service string         `json:"service,omitempty"`
	Routes  []ProfileRoute `json:"routes,omitempty"`
}

// Allows reports whether ClientAccounts contains the client account.
func (p Profile) Allows(account string) bool {
	for _, name := range p.ClientAccounts {
		if name == account {
			return true
		}
	}
	return false
}

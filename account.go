package fuchsiaspoke

// ClientAccount is a tenant with its rate and burst over all VMs together.
type ClientAccount struct {
	Name                string  `json:"name"`
	RateTokensPerSecond float64 `json:"rate_tokens_per_second"`
	BurstTokens         float64 `json:"burst_tokens"`
}

// Key is a caller's key as published: its SHA-256 hash in hexadecimal, never the key.
type Key struct {
	Hash      string `json:"sha256"`
	Account   string `json:"client_account"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

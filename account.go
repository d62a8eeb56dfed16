package fuchsiaspoke

// ClientAccount is a client account with its token rate limit, which applies to all VMs together.
type ClientAccount struct {
	Name                string  `json:"name"`
	RateTokensPerSecond float64 `json:"rate_tokens_per_second"`
	BurstTokens         float64 `json:"burst_tokens"`
}

// Key is the published form of a caller's API key; it holds the key's SHA-256 hash in hexadecimal and never the key itself.
type Key struct {
	Hash      string `json:"sha256"`
	Account   string `json:"client_account"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

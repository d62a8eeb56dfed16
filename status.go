package fuchsiaspoke

// Status is the state of a VM as shown to operators.
type Status struct {
	Self PeerState `json:"self"`
	// Documents maps document names to their active revisions.
	Documents map[string]int64 `json:"documents"`
	// Refused lists revisions newer than the active ones that failed validation, with the errors.
	Refused  []RefusedDocument `json:"refused,omitempty"`
	Warnings []DocumentFault   `json:"warnings,omitempty"`
	// Peers holds the last received state of each live VM, including this VM.
	Peers []PeerState `json:"peers"`
	// Accounts holds the token buckets of the client accounts whose lease this VM holds.
	Accounts []AccountState `json:"client_accounts,omitempty"`
	// Violations is the number of detected violations of the dispatcher's invariants.
	Violations int64 `json:"invariant_violations"`
}

// AccountState is the state of a client account's token bucket.
type AccountState struct {
	Account string `json:"client_account"`
	// LevelTokens is the number of tokens available for reservation.
	LevelTokens int64 `json:"level_tokens"`
	// OutstandingTokens is the number of reserved tokens that have not been used yet.
	OutstandingTokens int64 `json:"outstanding_tokens"`
	// Waiting is the number of requests that are queued for tokens.
	Waiting int `json:"waiting"`
}

package fuchsiaspoke

// Status is what a VM tells operators of itself.
type Status struct {
	Self PeerState `json:"self"`
	// Documents gives the revision in force of each document.
	Documents map[string]int64 `json:"documents"`
	// Refused names the documents that are newer than the ones in force and were refused, with the reasons.
	Refused  []RefusedDocument `json:"refused,omitempty"`
	Warnings []DocumentFault   `json:"warnings,omitempty"`
	// Peers is what the live VMs last said, this VM among them.
	Peers []PeerState `json:"peers"`
	// Accounts is the state of the client accounts whose lease this VM holds.
	Accounts []AccountState `json:"client_accounts,omitempty"`
	// Violations counts broken invariants.
	Violations int64 `json:"invariant_violations"`
}

// AccountState is the bucket of one client account.
type AccountState struct {
	Account string `json:"client_account"`
	// LevelTokens is what can be reserved at once.
	LevelTokens int64 `json:"level_tokens"`
	// OutstandingTokens is reserved and not yet used.
	OutstandingTokens int64 `json:"outstanding_tokens"`
	// Waiting is the number of requests that wait for tokens.
	Waiting int `json:"waiting"`
}

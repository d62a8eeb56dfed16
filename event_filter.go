package fuchsiaspoke

import "strings"

// EventFilter selects events of the time line; an empty field selects all, and a request's id also what is named
// below it, as in req_1/0.
type EventFilter struct {
	RequestID string    `json:"request_id,omitempty"`
	Account   string    `json:"client_account,omitempty"`
	Kind      EventKind `json:"kind,omitempty"`
}

// Matches reports whether the event has every value that the filter sets.
func (f EventFilter) Matches(e Event) bool {
	return (f.RequestID == "" || f.RequestID == e.RequestID || strings.HasPrefix(e.RequestID, f.RequestID+"/")) &&
		(f.Account == "" || f.Account == e.Account) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

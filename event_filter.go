package fuchsiaspoke

import "strings"

// EventFilter selects events of the timeline. An empty field matches all events; RequestID also matches ids nested below it,
// such as req_1/0 for req_1.
type EventFilter struct {
	RequestID string    `json:"request_id,omitempty"`
	Account   string    `json:"client_account,omitempty"`
	Kind      EventKind `json:"kind,omitempty"`
}

// Matches reports whether the event matches every non-empty field of the filter.
func (f EventFilter) Matches(e Event) bool {
	return (f.RequestID == "" || f.RequestID == e.RequestID || strings.HasPrefix(e.RequestID, f.RequestID+"/")) &&
		(f.Account == "" || f.Account == e.Account) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

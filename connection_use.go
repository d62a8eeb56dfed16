package fuchsiaspoke

// ConnectionUse says which connection to a replica carried a request.
type ConnectionUse struct {
	// Number counts the connections of a transport from 1 on, and Before the requests that the connection had carried before this one.
	Number uint64
	Before int
	// Named means that the response names its request.
	Named bool
}

// LogFields returns the use as fields of a log line.
func (u ConnectionUse) LogFields() []any {
	return []any{"connection", u.Number, "connection_requests", u.Before, "named", u.Named}
}

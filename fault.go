package fuchsiaspoke

import "strings"

// DocumentFault is one reason for which a document is refused.
type DocumentFault struct {
	Document string `json:"document" cbor:"1,keyasint"`
	// Field is the place in the document, such as items[3].adapter.version.
	Field  string `json:"field" cbor:"2,keyasint"`
	Reason string `json:"reason" cbor:"3,keyasint"`
}

// String returns the document, the field and the reason on one line.
func (f DocumentFault) String() string {
	return f.Document + ": " + f.Field + ": " + f.Reason
}

// DocumentFaults is every fault of one document, as an error.
type DocumentFaults []DocumentFault

// Error returns one line for each fault.
func (f DocumentFaults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// RefusedDocument is a revision that was not put in force, with its faults.
type RefusedDocument struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Faults   []DocumentFault `json:"faults"`
}

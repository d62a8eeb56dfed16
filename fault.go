package fuchsiaspoke

import "strings"

// DocumentFault is one validation error of a document.
type DocumentFault struct {
	Document string `json:"document" cbor:"1,keyasint"`
	// Field is the path within the document, such as items[3].adapter.version.
	Field  string `json:"field" cbor:"2,keyasint"`
	Reason string `json:"reason" cbor:"3,keyasint"`
}

// String returns the document, the field and the reason on one line.
func (f DocumentFault) String() string {
	return f.Document + ": " + f.Field + ": " + f.Reason
}

// DocumentFaults are all validation errors of one document.
type DocumentFaults []DocumentFault

// Error returns one line for each validation error.
func (f DocumentFaults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// RefusedDocument is a document revision that failed validation and was not activated.
type RefusedDocument struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Faults   []DocumentFault `json:"faults"`
}

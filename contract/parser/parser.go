// Package parser validates published documents and decodes them into typed items.
package parser

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	maxBodyBytes = 1 << 20
	maxFaults    = 1000
	// maxFaultBytes limits the field path and the reason of a fault, either of which may quote the document.
	maxFaultBytes = 200
)

// Parser decodes and validates documents. Its zero value is ready to use, also from several goroutines.
type Parser struct{}

// Parse returns the items of a valid document. Otherwise it returns fuchsiaspoke.DocumentFaults with up to maxFaults
// faults, and one more that counts the omitted ones.
func (Parser) Parse(doc fuchsiaspoke.Document) (fuchsiaspoke.Content, error) {
	f := &faults{document: doc.Name}
	checkHeader(f, doc)
	if len(f.list) > 0 {
		return fuchsiaspoke.Content{}, f.err()
	}
	content := decodeBody(f, doc.Body)
	checkContent(f, doc.Name, content)
	if err := f.err(); err != nil {
		return fuchsiaspoke.Content{}, err
	}
	return content, nil
}

func checkHeader(f *faults, doc fuchsiaspoke.Document) {
	checkName(f, "", "name", doc.Name)
	if doc.Revision < 1 {
		f.add("revision", "must be at least 1, is %d", doc.Revision)
	}
	if len(doc.Body) > maxBodyBytes {
		f.add("body", "has %d bytes, at most %d are allowed", len(doc.Body), maxBodyBytes)
	}
	if !utf8.Valid(doc.Body) {
		f.add("body", "is not valid UTF-8")
	}
}

// faults collects the faults of one document.
type faults struct {
	document string
	list     fuchsiaspoke.DocumentFaults
	omitted  int
	// undecodable holds the fields that could not be decoded. Validation faults in them are suppressed, as they follow
	// from the decoding fault.
	undecodable map[string]bool
}

// recordUndecodable marks the fields with faults as undecodable. It is called between decoding and validation.
func (f *faults) recordUndecodable() {
	f.undecodable = make(map[string]bool, len(f.list))
	for _, fault := range f.list {
		f.undecodable[fault.Field] = true
	}
}

func (f *faults) has(field string) bool {
	return slices.ContainsFunc(f.list, func(fault fuchsiaspoke.DocumentFault) bool { return fault.Field == field })
}

// insideUndecodable reports whether the field or one that contains it could not be decoded.
func (f *faults) insideUndecodable(field string) bool {
	for len(f.undecodable) > 0 {
		if f.undecodable[field] {
			return true
		}
		end := strings.LastIndexAny(field, ".[")
		if end < 0 {
			return false
		}
		field = field[:end]
	}
	return false
}

func (f *faults) add(field, format string, args ...any) {
	if f.insideUndecodable(field) {
		return
	}
	if len(f.list) == maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, fuchsiaspoke.DocumentFault{
		Document: f.document, Field: truncate(field), Reason: truncate(fmt.Sprintf(format, args...)),
	})
}

func truncate(s string) string {
	if len(s) <= maxFaultBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFaultBytes], "") + "..."
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	if f.omitted > 0 {
		f.list = append(f.list, fuchsiaspoke.DocumentFault{
			Document: f.document, Field: "body", Reason: fmt.Sprintf("has %d more faults", f.omitted),
		})
	}
	return f.list
}

// Package parser turns published documents into typed items and refuses documents with faults.
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
	// maxFaultBytes bounds what one fault repeats of the document.
	maxFaultBytes = 200
)

// Parser checks documents strictly; its zero value is ready to use by several goroutines.
type Parser struct{}

// Parse returns the document's items, or fuchsiaspoke.DocumentFaults with every fault found, up to a thousand.
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

type faults struct {
	document string
	list     fuchsiaspoke.DocumentFaults
	more     int
	// broken are the fields that could not be decoded; checks of what is inside them would only repeat that.
	broken map[string]bool
}

// decoded tells that from now on faults come from checks.
func (f *faults) decoded() {
	f.broken = make(map[string]bool, len(f.list))
	for _, fault := range f.list {
		f.broken[fault.Field] = true
	}
}

func (f *faults) has(field string) bool {
	return slices.ContainsFunc(f.list, func(fault fuchsiaspoke.DocumentFault) bool { return fault.Field == field })
}

func (f *faults) repeats(field string) bool {
	for len(f.broken) > 0 {
		if f.broken[field] {
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
	if f.repeats(field) {
		return
	}
	if len(f.list) == maxFaults {
		f.more++
		return
	}
	f.list = append(f.list, fuchsiaspoke.DocumentFault{
		Document: f.document, Field: shorten(field), Reason: shorten(fmt.Sprintf(format, args...)),
	})
}

func shorten(s string) string {
	if len(s) <= maxFaultBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFaultBytes], "") + "..."
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	if f.more > 0 {
		f.list = append(f.list, fuchsiaspoke.DocumentFault{
			Document: f.document, Field: "body", Reason: fmt.Sprintf("has %d faults more", f.more),
		})
	}
	return f.list
}

// Package checker tells operators before publishing whether documents would be accepted.
package checker

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/parser"
	"github.com/pkg/errors"
)

const (
	accepted   = 0
	faulty     = 1
	unreadable = 2

	maxFileBytes = 64 << 20
	// draft stands for the revision that the platform will give.
	draft = 1
)

// Checker reads files as documents that are named after them; its zero value reads from the file system.
type Checker struct {
	// Open opens the file at a path; nil means os.Open.
	Open func(path string) (io.ReadCloser, error)
}

// Check writes one line for each file, fault and warning, and returns the exit code: 0 if every document would be
// accepted, 1 if any has faults, 2 if there is no path or a file can't be read. Warnings don't change it.
func (c Checker) Check(w io.Writer, paths ...string) int {
	if len(paths) == 0 {
		say(w, "check: no file given")
		return unreadable
	}
	code := accepted
	var in catalog.Catalog
	from := map[string]string{}
	for _, path := range paths {
		doc, err := c.read(path)
		if err != nil {
			say(w, "%v", err)
			code = unreadable
			continue
		}
		next, err := add(in, from, doc, path)
		in = next
		if err != nil {
			report(w, path, err)
			code = max(code, faulty)
			continue
		}
		say(w, "%s: accepted", path)
	}
	for _, warning := range in.Warnings() {
		say(w, "%s: warning: %s: %s", from[warning.Document], warning.Field, warning.Reason)
	}
	return code
}

func (c Checker) read(path string) (fuchsiaspoke.Document, error) {
	file, err := c.open(path)
	if err != nil {
		return fuchsiaspoke.Document{}, errors.Wrap(err, "open file")
	}
	defer file.Close()
	body, err := io.ReadAll(io.LimitReader(file, maxFileBytes))
	if err != nil {
		return fuchsiaspoke.Document{}, errors.Wrapf(err, "read file %s", path)
	}
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return fuchsiaspoke.Document{Name: name, Revision: draft, Body: body}, nil
}

func (c Checker) open(path string) (io.ReadCloser, error) {
	if c.Open != nil {
		return c.Open(path)
	}
	return os.Open(path)
}

// add refuses a second file for one document, which a catalog would take for an old revision.
func add(in catalog.Catalog, from map[string]string, doc fuchsiaspoke.Document, path string) (catalog.Catalog, error) {
	if first, ok := from[doc.Name]; ok {
		_, err := parser.Parser{}.Parse(doc)
		var faults fuchsiaspoke.DocumentFaults
		errors.As(err, &faults)
		return in, append(faults, fuchsiaspoke.DocumentFault{
			Document: doc.Name, Field: "name", Reason: "is the name of " + first + " too",
		})
	}
	from[doc.Name] = path
	return in.With(doc)
}

func report(w io.Writer, path string, err error) {
	var faults fuchsiaspoke.DocumentFaults
	errors.As(err, &faults)
	for _, fault := range faults {
		say(w, "%s: %s: %s", path, fault.Field, fault.Reason)
	}
}

// say leaves out a line that can't be written; the exit code still tells.
func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

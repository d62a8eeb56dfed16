// Package checker validates documents from files before an operator publishes them.
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
	exitAccepted   = 0
	exitFaulty     = 1
	exitUnreadable = 2

	maxFileBytes = 64 << 20
	// draftRevision takes the place of the revision that the platform assigns on publication.
	draftRevision = 1
)

// Checker reads each file as a document with the name of the file, without its extension. Its zero value reads from the
// file system.
type Checker struct {
	// Open opens the file at a path; nil means os.Open.
	Open func(path string) (io.ReadCloser, error)
}

// Check writes one line for each file, fault and warning, and returns the exit code: 0 if every document would be
// accepted, 1 if any has faults, 2 if there is no path or a file cannot be read. Warnings do not change it.
func (c Checker) Check(w io.Writer, paths ...string) int {
	if len(paths) == 0 {
		printLine(w, "check: no file given")
		return exitUnreadable
	}
	code := exitAccepted
	var current catalog.Catalog
	pathByName := map[string]string{}
	for _, path := range paths {
		doc, err := c.read(path)
		if err != nil {
			printLine(w, "%v", err)
			code = exitUnreadable
			continue
		}
		next, err := addDocument(current, pathByName, doc, path)
		current = next
		if err != nil {
			printFaults(w, path, err)
			code = max(code, exitFaulty)
			continue
		}
		printLine(w, "%s: accepted", path)
	}
	for _, warning := range current.Warnings() {
		printLine(w, "%s: warning: %s: %s", pathByName[warning.Document], warning.Field, warning.Reason)
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
	return fuchsiaspoke.Document{Name: name, Revision: draftRevision, Body: body}, nil
}

func (c Checker) open(path string) (io.ReadCloser, error) {
	if c.Open != nil {
		return c.Open(path)
	}
	return os.Open(path)
}

// addDocument refuses a second file with the same document name. The catalog would treat it as a repetition of the same
// revision, since both have draftRevision.
func addDocument(current catalog.Catalog, pathByName map[string]string, doc fuchsiaspoke.Document, path string) (catalog.Catalog, error) {
	if firstPath, ok := pathByName[doc.Name]; ok {
		_, err := parser.Parser{}.Parse(doc)
		var faults fuchsiaspoke.DocumentFaults
		errors.As(err, &faults)
		return current, append(faults, fuchsiaspoke.DocumentFault{
			Document: doc.Name, Field: "name", Reason: "is already used by " + firstPath + "; document names must be unique",
		})
	}
	pathByName[doc.Name] = path
	return current.With(doc)
}

func printFaults(w io.Writer, path string, err error) {
	var faults fuchsiaspoke.DocumentFaults
	errors.As(err, &faults)
	for _, fault := range faults {
		printLine(w, "%s: %s: %s", path, fault.Field, fault.Reason)
	}
}

// printLine ignores write errors, since the exit code gives the result as well.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

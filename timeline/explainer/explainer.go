// Package explainer extracts the log lines of one request, and the VM events around it, from the logs of all VMs.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Explainer collects the log lines that concern one request.
type Explainer struct {
	// ID is the id of the request.
	ID string

	lines      []logLine
	requestVMs map[string]bool
}

type logLine struct {
	timestamp time.Time
	vm        string
	message   string
	fields    []string
	matchesID bool
}

// contextEvents are log messages without a request id that often explain a request's outcome.
var contextEvents = []string{
	"started", "stopping", "platform lost", "platform is back", "VM silence changed", "engine taken", "engine given up",
	"contract in force", "replica gone",
}

// Read collects the lines of the request and context events. It skips lines without a valid JSON object or time, and ignores
// text before the object, such as a prefix added by a log collector.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		e.addLine(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (e *Explainer) addLine(raw []byte) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return
	}
	var record map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw[start:]))
	decoder.UseNumber()
	if decoder.Decode(&record) != nil {
		return
	}
	l := logLine{vm: formatValue(record["vm"]), message: formatValue(record["msg"]), matchesID: formatValue(record["request"]) == e.ID}
	if !l.matchesID && !slices.Contains(contextEvents, l.message) {
		return
	}
	timestamp, err := time.Parse(time.RFC3339Nano, formatValue(record["time"]))
	if err != nil {
		return
	}
	l.timestamp = timestamp
	for key, value := range record {
		if !slices.Contains([]string{"time", "level", "msg", "vm", "request"}, key) {
			l.fields = append(l.fields, key+"="+formatValue(value))
		}
	}
	slices.Sort(l.fields)
	if l.matchesID {
		if e.requestVMs == nil {
			e.requestVMs = make(map[string]bool)
		}
		e.requestVMs[l.vm] = true
	}
	e.lines = append(e.lines, l)
}

func formatValue(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// contextWindow is the time before a request's first line from which context events are included.
const contextWindow = 20 * time.Second

// Write prints the collected lines ordered by time and reports whether the request was found. Times are relative to the
// request's first line; the request's own lines are marked with *. Context events are printed up to the request's last
// line, and only those of VMs that logged the request.
func (e *Explainer) Write(w io.Writer) (bool, error) {
	slices.SortStableFunc(e.lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	first := slices.IndexFunc(e.lines, func(l logLine) bool { return l.matchesID })
	if first < 0 {
		return false, nil
	}
	last := len(e.lines) - 1
	for !e.lines[last].matchesID {
		last--
	}
	start := e.lines[first].timestamp
	for n, l := range e.lines {
		if !l.matchesID && (n > last || l.timestamp.Before(start.Add(-contextWindow)) || !e.requestVMs[l.vm]) {
			continue
		}
		marker := cmp.Or(map[bool]string{true: "*"}[l.matchesID], " ")
		_, err := fmt.Fprintf(w, "%s %10.3f s  %-15s %s  %s\n", marker, l.timestamp.Sub(start).Seconds(), l.vm, l.message, strings.Join(l.fields, " "))
		if err != nil {
			return true, errors.Wrap(err, "write explanation")
		}
	}
	return true, nil
}

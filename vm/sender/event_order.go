package sender

import (
	"bytes"
	"iter"
	"strconv"

	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
	"github.com/pkg/errors"
)

// errIDNotRising is the error of a stream whose events repeat or go back. Such events may come without end.
var errIDNotRising = errors.New("stream event's id does not rise")

// eventOrder checks that the ids of one response's events rise. Its zero value is the beginning of a response.
type eventOrder struct {
	lastID string
}

// accept returns the first of the events that are in order. Its error is that of the event after them.
func (o *eventOrder) accept(events []byte) ([]byte, error) {
	for offset, id := range eventIDs(events) {
		if !follows(o.lastID, id) {
			var s eventsplitter.Splitter
			return s.Add(events[:offset]), errIDNotRising
		}
		o.lastID = id
	}
	return events, nil
}

// follows reports whether an event may come after the last one that had an id. Ids that are no numbers have no order, but differ.
func follows(last, id string) bool {
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	if lastErr == nil && err == nil {
		return number > lastNumber
	}
	return id != last
}

// eventIDs yields the ids of events that have one, and where their lines begin.
func eventIDs(events []byte) iter.Seq2[int, string] {
	return func(yield func(int, string) bool) {
		offset := 0
		for line := range bytes.SplitAfterSeq(bytes.ReplaceAll(events, []byte("\r"), []byte("\n")), []byte("\n")) {
			value, _ := bytes.CutPrefix(line, []byte("id:"))
			if id := bytes.TrimSpace(value); len(value) < len(line) && len(id) > 0 && !yield(offset, string(id)) {
				return
			}
			offset += len(line)
		}
	}
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	last := ""
	for _, id := range eventIDs(events) {
		last = id
	}
	return last
}

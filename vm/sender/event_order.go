package sender

import (
	"bytes"
	"iter"
	"strconv"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
	"github.com/pkg/errors"
)

// errIDNotRising is the error of a stream whose events repeat or go back. Such events may come without end.
var errIDNotRising = errors.New("stream event's id does not rise")

// errTooManyEvents is the error of a stream with more events than its request allows. No other engine can go on with it.
var errTooManyEvents = errors.New("stream has more events than its tokens allow")

const (
	// maxEventsPerToken and spareEvents limit the events of a request: one event has one token or more, and a few may have none.
	maxEventsPerToken = 2
	spareEvents       = 16
	// maxTokens is the number of tokens from which the limit rises no more.
	maxTokens = 1 << 18
)

// maxEvents returns how many events with an id a request may receive; 0 means any number, where its number of tokens is unknown.
func maxEvents(d fuchsiaspoke.Demand) int64 {
	if d.OutputTokens <= 0 {
		return 0
	}
	return spareEvents + maxEventsPerToken*min(d.OutputTokens, maxTokens)
}

// eventOrder checks that the ids of one response's events rise, and that there are not more than max (0: any number).
type eventOrder struct {
	lastID     string
	count, max int64
}

// restart prepares for the response that continues the stream.
func (o *eventOrder) restart() { o.lastID = "" }

// accept returns the first of the events that are in order. Its error is that of the event after them.
func (o *eventOrder) accept(events []byte) ([]byte, error) {
	for offset, id := range eventIDs(events) {
		if err := o.add(id); err != nil {
			var s eventsplitter.Splitter
			return s.Add(events[:offset]), err
		}
	}
	return events, nil
}

// add counts the event with an id, if it is in order.
func (o *eventOrder) add(id string) error {
	if !follows(o.lastID, id) {
		return errIDNotRising
	}
	if o.max > 0 && o.count >= o.max {
		return errTooManyEvents
	}
	o.lastID = id
	o.count++
	return nil
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

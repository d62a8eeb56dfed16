// Package merger merges the events of several processes into one timeline.
package merger

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	tableHeader   = "time\tlogical\tvm\tkind\trequest_id\tclient_account\tupstream\ttokens\tdetail\n"
	timeLayout    = "2006-01-02T15:04:05.000000000Z"
	columnPadding = 2
)

// Merger merges the events that match its filter; its zero value merges all events.
type Merger struct {
	Filter fuchsiaspoke.EventFilter
}

// Merge returns the matching events ordered by clock reading and then by VM, without duplicates.
func (m Merger) Merge(processes ...[]fuchsiaspoke.Event) []fuchsiaspoke.Event {
	var merged []fuchsiaspoke.Event
	for _, events := range processes {
		for _, e := range events {
			if m.Filter.Matches(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, compareEvents)
	return slices.Compact(merged)
}

// Write writes the events as a text table with a header and one row for each event.
func (m Merger) Write(w io.Writer, events []fuchsiaspoke.Event) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	_, _ = io.WriteString(table, tableHeader)
	for _, e := range events {
		writeRow(table, e)
	}
	return errors.Wrap(table.Flush(), "write timeline")
}

// writeRow ignores write errors, which the tabwriter's Flush returns.
func writeRow(w io.Writer, e fuchsiaspoke.Event) {
	cells := []string{
		time.Unix(0, e.WallNanos).UTC().Format(timeLayout), fmt.Sprint(e.Logical), e.VM, string(e.Kind),
		e.RequestID, e.Account, e.Upstream, formatTokens(e.Tokens), e.Detail,
	}
	for i, cell := range cells {
		cells[i] = sanitizeCell(cell)
	}
	_, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n")
}

func formatTokens(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// sanitizeCell replaces control characters, which would end the cell or the row, with spaces, and an empty cell with a
// dash.
func sanitizeCell(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, cell)
}

func compareEvents(a, b fuchsiaspoke.Event) int {
	return cmp.Or(
		cmp.Compare(a.WallNanos, b.WallNanos),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.RequestID, b.RequestID),
	)
}

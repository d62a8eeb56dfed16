// Package merger joins the events of several processes into one time line.
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
	columns     = "time\tlogical\tvm\tkind\trequest_id\tclient_account\tupstream\ttokens\tdetail\n"
	timeLayout  = "2006-01-02T15:04:05.000000000Z"
	columnSpace = 2
)

// Merger joins and writes the events that its filter selects; its zero value selects all.
type Merger struct {
	Filter fuchsiaspoke.EventFilter
}

// Merge returns the selected events in the order of the clock, and of VMs where that is equal; an event that was
// read twice stands once.
func (m Merger) Merge(processes ...[]fuchsiaspoke.Event) []fuchsiaspoke.Event {
	var merged []fuchsiaspoke.Event
	for _, events := range processes {
		for _, e := range events {
			if m.Filter.Matches(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, compare)
	return slices.Compact(merged)
}

// Write writes the events as a text table with one line each.
func (m Merger) Write(w io.Writer, events []fuchsiaspoke.Event) error {
	table := tabwriter.NewWriter(w, 0, 0, columnSpace, ' ', 0)
	_, _ = io.WriteString(table, columns)
	for _, e := range events {
		writeRow(table, e)
	}
	return errors.Wrap(table.Flush(), "write time line")
}

// writeRow leaves errors to the table's Flush.
func writeRow(w io.Writer, e fuchsiaspoke.Event) {
	cells := []string{
		time.Unix(0, e.WallNanos).UTC().Format(timeLayout), fmt.Sprint(e.Logical), e.VM, string(e.Kind),
		e.RequestID, e.Account, e.Upstream, tokens(e.Tokens), e.Detail,
	}
	for i, cell := range cells {
		cells[i] = oneLine(cell)
	}
	_, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n")
}

func tokens(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// oneLine keeps a cell from ending its row or column, and shows an empty one as a dash.
func oneLine(cell string) string {
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

func compare(a, b fuchsiaspoke.Event) int {
	return cmp.Or(
		cmp.Compare(a.WallNanos, b.WallNanos),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.RequestID, b.RequestID),
	)
}

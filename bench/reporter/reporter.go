// Package reporter writes the results of bench runs as a table, as JSON and as plots.
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

const (
	plotWidth  = 1000
	plotHeight = 500
	barWidth   = 50
)

// Reporter writes the results of one or more runs.
type Reporter struct {
	Runs []summary.Summary
}

// JSON writes the complete results as a JSON array.
func (r Reporter) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r.Runs), "write the JSON report")
}

// Table writes a text table with one column for each run.
func (r Reporter) Table(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range r.rows() {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(tw, "\t") //nolint:errcheck // Flush returns the first error.
			}
			fmt.Fprint(tw, cell) //nolint:errcheck // Flush returns the first error.
		}
		fmt.Fprintln(tw) //nolint:errcheck // Flush returns the first error.
	}
	return errors.Wrap(tw.Flush(), "write the table")
}

func (r Reporter) rows() [][]string {
	var rows [][]string
	row := func(name string, value func(summary.Summary) string) {
		cells := []string{name}
		for _, s := range r.Runs {
			cells = append(cells, value(s))
		}
		rows = append(rows, cells)
	}
	countRow := func(name string, value func(summary.Summary) int) {
		row(name, func(s summary.Summary) string { return fmt.Sprint(value(s)) })
	}
	percentileRow := func(name string, value func(summary.Summary) percentile.Percentile) {
		row(name, func(s summary.Summary) string { return formatMillis(value(s)) })
	}
	row("scenario", func(s summary.Summary) string { return s.Scenario })
	row("variant", func(s summary.Summary) string { return s.Variant })
	row("requests, completed, refused", func(s summary.Summary) string {
		return fmt.Sprintf("%d, %d, %d", s.Requests, s.Completed, s.Refused)
	})
	percentileRow("time to first token within rate, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.TimeToFirstToken })
	percentileRow("time between tokens, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.InterTokenTime })
	row("generations delayed by an adapter load", func(s summary.Summary) string {
		return fmt.Sprintf("%d of %d", s.LoadStalls, s.Generations)
	})
	percentileRow("adapter load delay, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.LoadStallTime })
	row("adapter loads, failed loads", func(s summary.Summary) string { return fmt.Sprintf("%d, %d", s.Loads, s.LoadsFailed) })
	row("mean batch: requests, adapters, occupancy", func(s summary.Summary) string {
		return fmt.Sprintf("%.2f, %.2f, %.1f%%", s.RequestsInBatch, s.AdaptersInBatch, 100*s.BatchOccupancy)
	})
	row("output tokens per second", func(s summary.Summary) string { return fmt.Sprintf("%.0f", s.TokensPerSecond) })
	row("prompt tokens from prefix cache", func(s summary.Summary) string { return fmt.Sprintf("%.1f%%", 100*s.PrefixCachedShare) })
	row("worst client account within rate, p99 wait ms", func(s summary.Summary) string {
		return fmt.Sprintf("%s, %.0f", s.WorstAccount, s.WorstAccountWaitP99Ms)
	})
	countRow("refused, client accounts within rate", func(s summary.Summary) int { return s.RefusedOfAccountsWithinRate })
	row("refused within rate: by actual use, by reservation", func(s summary.Summary) string {
		return fmt.Sprintf("%d, %d", s.RefusedWithinRate, s.RefusedWithinReserved)
	})
	row("largest rate overshoot, tokens", func(s summary.Summary) string { return fmt.Sprintf("%.0f", s.OvershootTokens) })
	countRow("payments run more than once", func(s summary.Summary) int { return s.DuplicatePayments })
	countRow("generations run more than once", func(s summary.Summary) int { return s.DuplicateRuns })
	countRow("reported as not run but ran", func(s summary.Summary) int { return s.FalseNotRun })
	countRow("unknown outcomes", func(s summary.Summary) int { return s.UnknownOutcomes })
	countRow("truncated answers", func(s summary.Summary) int { return s.Truncated })
	countRow("wrong answers", func(s summary.Summary) int { return s.WrongAnswers })
	countRow("adapters evicted in use", func(s summary.Summary) int { return s.EvictedInUse })
	row("refusals", func(s summary.Summary) string { return fmt.Sprint(s.RefusalCodes) })
	return append(rows, r.accountRows()...)
}

func (r Reporter) accountRows() [][]string {
	var rows [][]string
	if len(r.Runs) == 0 {
		return nil
	}
	for i := range r.Runs[0].Accounts {
		cells := []string{r.Runs[0].Accounts[i].Account + ": completed, refused (within rate by use, by reservation), p99 wait ms"}
		for _, s := range r.Runs {
			a := s.Accounts[i]
			cells = append(cells, fmt.Sprintf("%d, %d (%d, %d), %.0f", a.Completed, a.Refused, a.RefusedWithinRate, a.RefusedWithinReserved, a.Wait.P99))
		}
		rows = append(rows, cells)
	}
	return rows
}

// formatMillis formats p50, p95 and p99 in milliseconds.
func formatMillis(p percentile.Percentile) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
}

// FirstTokenSVG plots the time to first token by percentile, with one line for each run.
func (r Reporter) FirstTokenSVG(w io.Writer) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "percentile of generations", ValueFormatter: formatInteger},
		YAxis:      chart.YAxis{Name: "time to first token from the intended start, ms", ValueFormatter: formatInteger, Range: &chart.LogarithmicRange{}},
	}
	for _, s := range r.Runs {
		series := chart.ContinuousSeries{Name: runLabel(s), YValues: s.TimeToFirstToken.Curve}
		for i := range s.TimeToFirstToken.Curve {
			series.XValues = append(series.XValues, float64(i))
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return errors.Wrap(graph.Render(chart.SVG, w), "plot the times to first token")
}

// WaitSVG plots the p99 wait of each client account's generations until an engine started them.
func (r Reporter) WaitSVG(w io.Writer) error {
	graph := chart.BarChart{
		Title: "p99 wait until the engine started the generation, ms", Height: plotHeight, BarWidth: barWidth,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 60}},
	}
	highest := 0.0
	for _, s := range r.Runs {
		for _, a := range s.Accounts {
			name := a.Account
			if a.Floods {
				name += " (over rate)"
			}
			graph.Bars = append(graph.Bars, chart.Value{Label: name + "\n" + runLabel(s), Value: a.Wait.P99})
			highest = max(highest, a.Wait.P99)
		}
	}
	graph.Width = max(plotWidth, 2*barWidth*len(graph.Bars))
	graph.YAxis.ValueFormatter = formatInteger
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: max(1, highest*1.1)}
	return errors.Wrap(graph.Render(chart.SVG, w), "plot the p99 waits")
}

// formatInteger formats the labels of an axis without decimals.
func formatInteger(v any) string {
	return fmt.Sprintf("%.0f", v)
}

func runLabel(s summary.Summary) string {
	if s.Variant == "" {
		return s.Scenario
	}
	return s.Scenario + " " + s.Variant
}

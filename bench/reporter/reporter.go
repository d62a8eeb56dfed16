// Package reporter writes the figures of bench runs as a table, as JSON and as plots.
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

// Reporter writes the figures of one or more runs.
type Reporter struct {
	Runs []summary.Summary
}

// JSON writes every figure, in snake_case.
func (r Reporter) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r.Runs), "write the JSON report")
}

// Table writes one column a run.
func (r Reporter) Table(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range r.lines() {
		for i, cell := range line {
			if i > 0 {
				fmt.Fprint(tw, "\t") //nolint:errcheck // Flush returns the first error.
			}
			fmt.Fprint(tw, cell) //nolint:errcheck // Flush returns the first error.
		}
		fmt.Fprintln(tw) //nolint:errcheck // Flush returns the first error.
	}
	return errors.Wrap(tw.Flush(), "write the table")
}

func (r Reporter) lines() [][]string {
	var lines [][]string
	row := func(name string, value func(summary.Summary) string) {
		line := []string{name}
		for _, s := range r.Runs {
			line = append(line, value(s))
		}
		lines = append(lines, line)
	}
	count := func(name string, value func(summary.Summary) int) {
		row(name, func(s summary.Summary) string { return fmt.Sprint(value(s)) })
	}
	times := func(name string, value func(summary.Summary) percentile.Percentile) {
		row(name, func(s summary.Summary) string { return millis(value(s)) })
	}
	row("scenario", func(s summary.Summary) string { return s.Scenario })
	row("variant", func(s summary.Summary) string { return s.Variant })
	row("requests, whole, refused", func(s summary.Summary) string {
		return fmt.Sprintf("%d, %d, %d", s.Requests, s.Whole, s.Refused)
	})
	times("first token within rate, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.FirstToken })
	times("between tokens, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.BetweenTokens })
	row("load stalls of generations", func(s summary.Summary) string {
		return fmt.Sprintf("%d of %d", s.LoadStalls, s.Generations)
	})
	times("load stall, ms p50/p95/p99", func(s summary.Summary) percentile.Percentile { return s.LoadStall })
	row("loads, failed", func(s summary.Summary) string { return fmt.Sprintf("%d, %d", s.Loads, s.LoadsFailed) })
	row("batch: requests, adapters, filled", func(s summary.Summary) string {
		return fmt.Sprintf("%.2f, %.2f, %.1f%%", s.RequestsInBatch, s.AdaptersInBatch, 100*s.BatchOccupancy)
	})
	row("tokens a second", func(s summary.Summary) string { return fmt.Sprintf("%.0f", s.TokensPerSecond) })
	row("prompt tokens in prefix cache", func(s summary.Summary) string { return fmt.Sprintf("%.1f%%", 100*s.PrefixCached) })
	row("worst client account, wait ms p99", func(s summary.Summary) string {
		return fmt.Sprintf("%s, %.0f", s.WorstAccount, s.WorstAccountWaitP99)
	})
	count("refused of accounts within their rate", func(s summary.Summary) int { return s.WellBehavedRefused })
	row("refused inside the rate: by use, by reservation", func(s summary.Summary) string {
		return fmt.Sprintf("%d, %d", s.RefusedInsideRate, s.RefusedInsideReserved)
	})
	row("overshoot, tokens", func(s summary.Summary) string { return fmt.Sprintf("%.0f", s.OvershootTokens) })
	count("payments run twice", func(s summary.Summary) int { return s.DuplicatePayment })
	count("generations run twice", func(s summary.Summary) int { return s.DuplicateRuns })
	count("false not run", func(s summary.Summary) int { return s.FalseNotRun })
	count("unknown outcomes", func(s summary.Summary) int { return s.UnknownOutcomes })
	count("requests cut", func(s summary.Summary) int { return s.Cut })
	count("wrong answers", func(s summary.Summary) int { return s.Wrong })
	count("evicted in use", func(s summary.Summary) int { return s.EvictedInUse })
	row("refusals", func(s summary.Summary) string { return fmt.Sprint(s.Codes) })
	return append(lines, r.accountLines()...)
}

func (r Reporter) accountLines() [][]string {
	var lines [][]string
	if len(r.Runs) == 0 {
		return nil
	}
	for i := range r.Runs[0].Accounts {
		line := []string{r.Runs[0].Accounts[i].Account + ": whole, refused (inside by use, by reservation), wait ms p99"}
		for _, s := range r.Runs {
			a := s.Accounts[i]
			line = append(line, fmt.Sprintf("%d, %d (%d, %d), %.0f", a.Whole, a.Refused, a.RefusedInsideRate, a.RefusedInsideReserved, a.Wait.P99))
		}
		lines = append(lines, line)
	}
	return lines
}

func millis(p percentile.Percentile) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
}

// FirstTokenSVG plots the first-token time by percentile, one line a run.
func (r Reporter) FirstTokenSVG(w io.Writer) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "percent of generations", ValueFormatter: whole},
		YAxis:      chart.YAxis{Name: "first token, ms from the intended start", ValueFormatter: whole, Range: &chart.LogarithmicRange{}},
	}
	for _, s := range r.Runs {
		series := chart.ContinuousSeries{Name: label(s), YValues: s.FirstToken.Curve}
		for i := range s.FirstToken.Curve {
			series.XValues = append(series.XValues, float64(i))
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return errors.Wrap(graph.Render(chart.SVG, w), "plot the first-token times")
}

// WaitSVG plots each client account's p99 wait until its run began.
func (r Reporter) WaitSVG(w io.Writer) error {
	graph := chart.BarChart{
		Title: "Wait until the run began, p99 in milliseconds", Height: plotHeight, BarWidth: barWidth,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 60}},
	}
	highest := 0.0
	for _, s := range r.Runs {
		for _, a := range s.Accounts {
			name := a.Account
			if a.Floods {
				name += " (floods)"
			}
			graph.Bars = append(graph.Bars, chart.Value{Label: name + "\n" + label(s), Value: a.Wait.P99})
			highest = max(highest, a.Wait.P99)
		}
	}
	graph.Width = max(plotWidth, 2*barWidth*len(graph.Bars))
	graph.YAxis.ValueFormatter = whole
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: max(1, highest*1.1)}
	return errors.Wrap(graph.Render(chart.SVG, w), "plot the waits")
}

// whole formats the numbers of an axis.
func whole(v any) string {
	return fmt.Sprintf("%.0f", v)
}

func label(s summary.Summary) string {
	if s.Variant == "" {
		return s.Scenario
	}
	return s.Scenario + " " + s.Variant
}

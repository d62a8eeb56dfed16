package summarizer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// edge is the beginning or the end of a run on an engine.
type edge struct {
	at      time.Time
	adapter fuchsiaspoke.Adapter
	change  int
}

// countEngines counts loads and violations over the whole run, and the batches' filling after the warm-up.
func (s Summarizer) countEngines(sum *summary.Summary) {
	var busy, requests, adapters float64
	var prompt, cached, output int64
	for _, records := range s.Engines {
		var edges []edge
		for _, r := range records {
			switch r.Kind {
			case "load":
				sum.Loads++
			case "load_failed":
				sum.LoadsFailed++
			case "violation":
				sum.EvictedInUse++
			case "run":
				if !s.measured(r.Start) {
					continue
				}
				prompt += r.PromptTokens
				cached += r.CachedTokens
				output += r.OutputTokens
				edges = append(edges, edge{r.Start, r.Adapter, 1}, edge{r.End, r.Adapter, -1})
			}
		}
		b, q, a := fill(edges)
		busy, requests, adapters = busy+b, requests+q, adapters+a
	}
	if busy > 0 {
		sum.RequestsInBatch = requests / busy
		sum.AdaptersInBatch = adapters / busy
		sum.BatchOccupancy = sum.RequestsInBatch / float64(s.Scenario.Batch)
	}
	if prompt > 0 {
		sum.PrefixCached = float64(cached) / float64(prompt)
	}
	sum.TokensPerSecond = float64(output) / s.Scenario.Duration.Seconds()
}

// fill returns the seconds in which anything ran, and the integrals of running requests and distinct adapters.
func fill(edges []edge) (busy, requests, adapters float64) {
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.change, a.change))
	})
	running := make(map[fuchsiaspoke.Adapter]int)
	n := 0
	for i, e := range edges {
		if n > 0 {
			seconds := e.at.Sub(edges[i-1].at).Seconds()
			busy += seconds
			requests += float64(n) * seconds
			adapters += float64(len(running)) * seconds
		}
		n += e.change
		running[e.adapter] += e.change
		if running[e.adapter] == 0 {
			delete(running, e.adapter)
		}
	}
	return busy, requests, adapters
}

// countPromises holds what callers were told against what ran, over the whole run.
func (s Summarizer) countPromises(sum *summary.Summary, runs map[string][]record.Record) {
	for _, o := range s.Outcomes {
		ran := len(runs[o.Mark])
		if o.Run == string(fuchsiaspoke.NotRun) && ran > 0 {
			sum.FalseNotRun++
		}
		if o.Run == string(fuchsiaspoke.RunUnknown) || o.Code == "transport" && o.Run == "" {
			sum.UnknownOutcomes++
		}
		if o.Cut {
			sum.Cut++
		}
		if o.Wrong {
			sum.Wrong++
		}
		if ran > 1 && o.Kind == "payment" {
			sum.DuplicatePayment++
		}
		if ran > 1 && o.Kind == "generation" {
			sum.DuplicateRuns++
		}
	}
}

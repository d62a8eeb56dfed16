package summarizer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// runEdge is the start (delta 1) or the end (delta -1) of a run on an engine.
type runEdge struct {
	at      time.Time
	adapter fuchsiaspoke.Adapter
	delta   int
}

// countEngines counts adapter loads and evictions in use over the entire run, and computes batch sizes, prefix cache
// use and throughput from the runs that started after the warm-up.
func (s Summarizer) countEngines(sum *summary.Summary) {
	var busy, requests, adapters float64
	var prompt, cached, output int64
	for _, records := range s.Engines {
		var edges []runEdge
		for _, r := range records {
			switch r.Kind {
			case "load":
				sum.Loads++
			case "load_failed":
				sum.LoadsFailed++
			case "violation":
				sum.EvictedInUse++
			case "run":
				if !s.isMeasured(r.Start) {
					continue
				}
				prompt += r.PromptTokens
				cached += r.CachedTokens
				output += r.OutputTokens
				edges = append(edges, runEdge{r.Start, r.Adapter, 1}, runEdge{r.End, r.Adapter, -1})
			}
		}
		batchBusy, batchRequests, batchAdapters := integrateBatches(edges)
		busy, requests, adapters = busy+batchBusy, requests+batchRequests, adapters+batchAdapters
	}
	if busy > 0 {
		sum.RequestsInBatch = requests / busy
		sum.AdaptersInBatch = adapters / busy
		sum.BatchOccupancy = sum.RequestsInBatch / float64(s.Scenario.BatchSize)
	}
	if prompt > 0 {
		sum.PrefixCachedShare = float64(cached) / float64(prompt)
	}
	sum.TokensPerSecond = float64(output) / s.Scenario.Duration.Seconds()
}

// integrateBatches returns the seconds in which an engine ran at least one request, and the integrals over time of the
// numbers of running requests and of their distinct adapters.
func integrateBatches(edges []runEdge) (busy, requests, adapters float64) {
	slices.SortFunc(edges, func(a, b runEdge) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.delta, a.delta))
	})
	running := make(map[fuchsiaspoke.Adapter]int)
	runCount := 0
	for i, e := range edges {
		if runCount > 0 {
			seconds := e.at.Sub(edges[i-1].at).Seconds()
			busy += seconds
			requests += float64(runCount) * seconds
			adapters += float64(len(running)) * seconds
		}
		runCount += e.delta
		running[e.adapter] += e.delta
		if running[e.adapter] == 0 {
			delete(running, e.adapter)
		}
	}
	return busy, requests, adapters
}

// countIncorrectOutcomes compares the outcomes that callers received with the upstreams' records, over the entire run,
// and counts contradictions, duplicate runs, unknown outcomes and faulty answers.
func (s Summarizer) countIncorrectOutcomes(sum *summary.Summary, runs map[string][]record.Record) {
	for _, o := range s.Outcomes {
		ran := len(runs[o.RecordKey])
		if o.Run == string(fuchsiaspoke.NotRun) && ran > 0 {
			sum.FalseNotRun++
		}
		if o.Run == string(fuchsiaspoke.RunUnknown) || o.ErrorCode == "transport" && o.Run == "" {
			sum.UnknownOutcomes++
		}
		if o.Truncated {
			sum.Truncated++
		}
		if o.Wrong {
			sum.WrongAnswers++
		}
		if ran > 1 && o.Kind == "payment" {
			sum.DuplicatePayments++
		}
		if ran > 1 && o.Kind == "generation" {
			sum.DuplicateRuns++
		}
	}
}

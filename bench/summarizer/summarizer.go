// Package summarizer computes the results of a bench run from the callers' outcomes and the stand-ins' records.
package summarizer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/portion"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/summary"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

const (
	// maxRecordedMicros is the largest value of the histograms: two minutes.
	maxRecordedMicros = 120_000_000
	significantDigits = 3
)

// Summarizer holds the recorded data of one run.
type Summarizer struct {
	Scenario scenario.Scenario
	// LoadStart is the time at which the load started, warm-up included. Durations, numbers of requests and batch sizes
	// are measured after the warm-up; adapter loads, token use and correctness cover the entire run.
	LoadStart time.Time
	Outcomes  []outcome.Outcome
	// Engines and Services are the stand-ins' records, with one slice for each stand-in.
	Engines, Services [][]record.Record
}

// accountFigures collects the results of one client account.
type accountFigures struct {
	figures          portion.Portion
	wait, firstToken *hdrhistogram.Histogram
}

// newHistogram returns a histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Durations outside the histogram's range count as its bounds, 1 µs and two minutes.
	_ = h.RecordValue(min(maxRecordedMicros, max(1, d.Microseconds())))
}

// Summary computes the results.
func (s Summarizer) Summary() summary.Summary {
	sum := summary.Summary{
		Scenario: s.Scenario.Name, Seconds: s.Scenario.Duration.Seconds(), RefusalCodes: map[string]int{},
	}
	runs := s.runsByRecordKey()
	accounts := s.accounts()
	s.countOutcomes(&sum, runs, accounts)
	s.countLoadStalls(&sum, runs)
	s.countEngines(&sum)
	s.countIncorrectOutcomes(&sum, runs)
	s.checkRates(&sum, runs, accounts)
	for _, load := range s.Scenario.AccountLoads {
		a := accounts[load.Account.Name]
		a.figures.Wait = percentile.FromHistogram(a.wait)
		a.figures.TimeToFirstToken = percentile.FromHistogram(a.firstToken)
		sum.Accounts = append(sum.Accounts, a.figures)
		if !load.Floods() && a.figures.Wait.P99 > sum.WorstAccountWaitP99Ms {
			sum.WorstAccount, sum.WorstAccountWaitP99Ms = load.Account.Name, a.figures.Wait.P99
		}
	}
	return sum
}

// runsByRecordKey groups the upstreams' runs by outcome.Outcome.RecordKey: runs on engines by the prompt's hash, calls
// to services by the body's hash or, for GET, by path.
func (s Summarizer) runsByRecordKey() map[string][]record.Record {
	runs := make(map[string][]record.Record)
	for _, records := range s.Engines {
		for _, r := range records {
			if r.Kind == "run" {
				runs[r.PromptHash] = append(runs[r.PromptHash], r)
			}
		}
	}
	for _, records := range s.Services {
		for _, r := range records {
			key := r.BodyHash
			if r.Method == "GET" {
				key = r.Path
			}
			runs[key] = append(runs[key], r)
		}
	}
	return runs
}

// accounts returns empty results for each client account of the scenario, by name.
func (s Summarizer) accounts() map[string]*accountFigures {
	all := make(map[string]*accountFigures)
	for _, load := range s.Scenario.AccountLoads {
		all[load.Account.Name] = &accountFigures{
			figures: portion.Portion{Account: load.Account.Name, Floods: load.Floods()}, wait: newHistogram(), firstToken: newHistogram(),
		}
	}
	return all
}

// isMeasured reports whether a time is after the warm-up.
func (s Summarizer) isMeasured(at time.Time) bool {
	return !at.Before(s.LoadStart.Add(s.Scenario.Warmup))
}

// countOutcomes counts the requests after the warm-up by outcome and code, in total and by client account, and records
// the times of generations.
func (s Summarizer) countOutcomes(sum *summary.Summary, runs map[string][]record.Record, accounts map[string]*accountFigures) {
	firstToken, interToken := newHistogram(), newHistogram()
	for _, o := range s.Outcomes {
		if !s.isMeasured(o.Intended) {
			continue
		}
		a := accounts[o.Account]
		sum.Requests++
		a.figures.Requests++
		if o.Complete {
			sum.Completed++
			a.figures.Completed++
		}
		if o.ErrorCode != "" {
			sum.Refused++
			a.figures.Refused++
			sum.RefusalCodes[o.ErrorCode]++
			if !a.figures.Floods {
				sum.RefusedOfAccountsWithinRate++
			}
		}
		if o.Kind != "generation" {
			continue
		}
		sum.Generations++
		if o.TimeToFirstToken > 0 {
			recordDuration(a.firstToken, o.TimeToFirstToken)
			if !a.figures.Floods {
				recordDuration(firstToken, o.TimeToFirstToken)
			}
		}
		for _, gap := range o.InterTokenTimes {
			recordDuration(interToken, gap)
		}
		if ran := runs[o.RecordKey]; len(ran) > 0 {
			recordDuration(a.wait, ran[0].Start.Sub(o.Intended))
		}
	}
	sum.TimeToFirstToken = percentile.FromHistogram(firstToken).WithCurve(firstToken)
	sum.InterTokenTime = percentile.FromHistogram(interToken)
}

// countLoadStalls counts the generations whose adapter finished loading on their engine between their intended start and
// the start of their run, and records the delay until the load finished.
func (s Summarizer) countLoadStalls(sum *summary.Summary, runs map[string][]record.Record) {
	stall := newHistogram()
	intended := make(map[string]time.Time)
	for _, o := range s.Outcomes {
		if o.Kind == "generation" && s.isMeasured(o.Intended) && len(runs[o.RecordKey]) > 0 {
			intended[o.RecordKey] = o.Intended
		}
	}
	for _, records := range s.Engines {
		loads := make(map[string][]record.Record)
		for _, r := range records {
			if r.Kind == "load" {
				loads[r.Adapter.Name] = append(loads[r.Adapter.Name], r)
			}
		}
		for _, r := range records {
			intendedStart, ok := intended[r.PromptHash]
			if r.Kind != "run" || !ok {
				continue
			}
			for _, load := range loads[r.Adapter.Name] {
				if load.End.After(intendedStart) && !load.End.After(r.Start) {
					sum.LoadStalls++
					recordDuration(stall, load.End.Sub(intendedStart))
					break
				}
			}
		}
	}
	sum.LoadStallTime = percentile.FromHistogram(stall)
}

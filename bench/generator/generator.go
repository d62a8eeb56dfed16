// Package generator sends the open-loop load of a scenario to the VMs.
package generator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
)

// Generator sends Poisson arrivals at their intended times, independent of the progress of earlier requests, so that
// stalls show in the measured times (Schroeder, Wierman and Harchol-Balter, "Open Versus Closed: A Cautionary Tale",
// NSDI 2006).
type Generator struct {
	Scenario scenario.Scenario
	// EntryAddresses are the caller addresses of the VMs to query for the preferred VMs of a client account.
	EntryAddresses []string
	// APIKeys maps the names of client accounts to their API keys.
	APIKeys map[string]string
	Seed    int64

	client        *http.Client
	mu            sync.Mutex
	cachedEntries map[string]entryResponse
}

// arrival is one scheduled request.
type arrival struct {
	// at is the time since the start of the load.
	at            time.Duration
	account       string
	kind          string // as in outcome.Outcome
	adapter       int    // number of the adapter
	requestNumber int
}

// Run sends the load, beginning at start, and returns the outcomes in order of their intended start. It stops sending
// when ctx ends.
func (g *Generator) Run(ctx context.Context, start time.Time) []outcome.Outcome {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	g.client = &http.Client{Transport: transport}
	arrivals := g.arrivals()
	// The buffer holds every outcome, so that no sending goroutine blocks.
	outcomes := make(chan outcome.Outcome, len(arrivals))
	sent := 0
	for _, a := range arrivals {
		timer := time.NewTimer(time.Until(start.Add(a.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		if ctx.Err() != nil {
			break
		}
		sent++
		go func() { outcomes <- g.send(ctx, a, start.Add(a.at)) }()
	}
	var all []outcome.Outcome
	for range sent {
		all = append(all, <-outcomes)
	}
	slices.SortFunc(all, func(a, b outcome.Outcome) int { return a.Intended.Compare(b.Intended) })
	return all
}

// arrivals generates every request of the run; the result depends only on the scenario and the seed.
func (g *Generator) arrivals() []arrival {
	rnd := rand.New(rand.NewSource(g.Seed))
	zipf := rand.NewZipf(rnd, g.Scenario.ZipfExponent, 1, uint64(g.Scenario.Adapters-1))
	end := g.Scenario.Warmup + g.Scenario.Duration
	var all []arrival
	addArrivals := func(account, kind string, perSecond float64, from, to time.Duration) {
		if perSecond <= 0 {
			return
		}
		for at := from + interarrivalTime(rnd, perSecond); at < to; at += interarrivalTime(rnd, perSecond) {
			rank := int(zipf.Uint64())
			if g.Scenario.PopularityShiftAt > 0 && at >= g.Scenario.PopularityShiftAt {
				rank = (rank + g.Scenario.Adapters/2) % g.Scenario.Adapters
			}
			all = append(all, arrival{at: at, account: account, kind: kind, adapter: rank})
		}
	}
	for _, load := range g.Scenario.AccountLoads {
		name := load.Account.Name
		addArrivals(name, "generation", load.GenerationsPerSecond, 0, end)
		addArrivals(name, "generation", load.GenerationsPerSecond*(load.FloodFactor-1), g.Scenario.Warmup, end)
		addArrivals(name, "payment", load.PaymentsPerSecond, 0, end)
		addArrivals(name, "status", load.StatusChecksPerSecond, 0, end)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].requestNumber = i
	}
	return all
}

// interarrivalTime returns an exponentially distributed time with a mean of 1/perSecond seconds.
func interarrivalTime(rnd *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
}

// send sends one request and returns its outcome, with times counted from the intended start.
func (g *Generator) send(ctx context.Context, a arrival, intended time.Time) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	out := outcome.Outcome{Account: a.account, Kind: a.kind, Intended: intended}
	switch a.kind {
	case "generation":
		g.sendGeneration(ctx, a, &out)
	case "payment":
		g.sendPayment(ctx, a, &out)
	default:
		g.sendStatusCheck(ctx, a, &out)
	}
	out.Latency = time.Since(intended)
	return out
}

// prompt returns a prompt with a prefix that all requests for an adapter share, as prompts of one product do, and a
// suffix that is unique to the request.
func (g *Generator) prompt(a arrival) string {
	text := fmt.Sprintf("a guide of adapter %d, in the order of what a newcomer needs first; ", a.adapter)
	for len(text) < g.Scenario.PromptBytes {
		text += "and more of it; "
	}
	tail := fmt.Sprintf(" request %d of %s", a.requestNumber, a.account)
	return text[:max(0, g.Scenario.PromptBytes-len(tail))] + tail
}

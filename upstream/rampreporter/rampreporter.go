// Package rampreporter keeps what this VM saw of replicas whose rate is being found, until its next request for a token takes it along.
package rampreporter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxOutcomes bounds the outcomes in one report, which takes up to 400 bytes.
	maxOutcomes = 16
	// maxReplicas bounds the replicas of which outcomes are kept: as many as a zone that returns at once has.
	maxReplicas = 256
	// maxAge is the age from which on an outcome tells nothing of the present rate.
	maxAge = 10 * time.Second
)

// RampReporter keeps outcomes by the hash of the replica's incarnation. Its zero value is ready to use.
type RampReporter struct {
	mu    sync.Mutex
	known map[uint64]*pending
}

type pending struct {
	outcomes []fuchsiaspoke.RampOutcome
	omitted  uint32
}

// Record keeps the outcome of a request. If there are too many, failures and refusals replace the oldest responses.
func (r *RampReporter) Record(process uint64, o fuchsiaspoke.RampOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.known[process]
	if p == nil {
		if len(r.known) >= maxReplicas {
			return
		}
		if r.known == nil {
			r.known = make(map[uint64]*pending)
		}
		p = &pending{}
		r.known[process] = p
	}
	p.outcomes = append(p.outcomes, o)
	if len(p.outcomes) <= maxOutcomes {
		return
	}
	p.omitted++
	oldest := max(slices.IndexFunc(p.outcomes, func(o fuchsiaspoke.RampOutcome) bool { return !o.Failed && !o.Refused }), 0)
	p.outcomes = slices.Delete(p.outcomes, oldest, oldest+1)
}

// Report returns what was recorded of a replica since the last report.
func (r *RampReporter) Report(now time.Duration, process uint64) fuchsiaspoke.RampReport {
	r.mu.Lock()
	p := r.known[process]
	delete(r.known, process)
	r.mu.Unlock()
	if p == nil {
		return fuchsiaspoke.RampReport{}
	}
	out := fuchsiaspoke.RampReport{Omitted: p.omitted}
	for _, o := range p.outcomes {
		if now-o.SentAt > maxAge {
			out.Omitted++
			continue
		}
		out.Outcomes = append(out.Outcomes, fuchsiaspoke.RampOutcomeReport{
			AgeMs: fuchsiaspoke.Milliseconds(now - o.SentAt), TookUs: bounded(o.Took.Microseconds()), Refused: o.Refused, Failed: o.Failed,
			Waiting: bounded(int64(o.Waiting)), Slots: bounded(int64(o.Slots)),
		})
	}
	return out
}

func bounded(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

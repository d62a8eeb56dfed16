// Package assessor keeps how each replica has answered this VM lately, and picks replicas of plain services by it.
//
// It answers replicas that fail though their health check is good, that turn slow, and that fall silent.
package assessor

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// weight is the part that the newest answer has in an average.
	weight = 0.15
	// firstBackoff and maxBackoff bound how long a replica is avoided after it failed to answer at all.
	firstBackoff = 400 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// errorCost is how many running requests an error rate of 1 is worth.
	errorCost = 8.0
	// usualTime is the answer time at which a replica is neither slow nor fast.
	usualTime = 100 * time.Millisecond
	// backoffCost puts replicas behind all others while they are avoided.
	backoffCost = 1000.0
)

// Assessor keeps one record for each replica; its zero value is ready, and several goroutines may use it.
type Assessor struct {
	mu      sync.Mutex
	records map[string]*record
}

type record struct {
	inFlight int
	errors   float64
	took     float64
	backoff  time.Duration
	until    time.Duration
	used     time.Duration
}

// Begin counts a request that is sent to the replica.
func (a *Assessor) Begin(now time.Duration, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(id)
	r.inFlight++
	r.used = now
}

// Answered counts an answer, which may be the replica's own failure.
func (a *Assessor) Answered(now time.Duration, id string, took time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(id)
	r.inFlight = max(r.inFlight-1, 0)
	r.used = now
	if failed {
		r.errors += weight * (1 - r.errors)
		return
	}
	r.errors -= weight * r.errors
	r.took += weight * (took.Seconds() - r.took)
	r.backoff = 0
}

// Silent counts a request without any answer; the replica is avoided for a while.
func (a *Assessor) Silent(now time.Duration, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(id)
	r.inFlight = max(r.inFlight-1, 0)
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.until = now + r.backoff
}

// Left counts a request that its caller gave up.
func (a *Assessor) Left(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(id)
	r.inFlight = max(r.inFlight-1, 0)
}

// Failing reports whether the replica is avoided or fails more than half of its requests.
func (a *Assessor) Failing(now time.Duration, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	return r != nil && (now < r.until || r.errors > 0.5)
}

// Pick returns the replicas with the best first, by running requests for each slot, failures and answer time.
func (a *Assessor) Pick(now time.Duration, replicas []fuchsiaspoke.Replica) []fuchsiaspoke.Replica {
	a.mu.Lock()
	defer a.mu.Unlock()
	type scored struct {
		replica fuchsiaspoke.Replica
		cost    float64
	}
	all := make([]scored, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, scored{r, a.cost(now, r) + 0.2*rand.Float64()})
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(x.cost, y.cost) })
	out := make([]fuchsiaspoke.Replica, 0, len(all))
	for _, s := range all {
		out = append(out, s.replica)
	}
	return out
}

func (a *Assessor) cost(now time.Duration, replica fuchsiaspoke.Replica) float64 {
	r := a.records[replica.ID]
	if r == nil {
		return 0
	}
	cost := float64(r.inFlight)
	cost += errorCost * r.errors
	cost += max(r.took/usualTime.Seconds()-1, 0)
	if now < r.until {
		cost += backoffCost
	}
	return cost
}

func (a *Assessor) record(id string) *record {
	if a.records == nil {
		a.records = make(map[string]*record)
	}
	r := a.records[id]
	if r == nil {
		r = &record{}
		a.records[id] = r
	}
	return r
}

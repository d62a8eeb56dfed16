// Package tracker tracks the recent answers of each replica to this VM, and ranks replicas of services that run no model by them.
//
// It detects replicas that fail requests although they pass their health check, that become slow, or that stop answering.
package tracker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// smoothingFactor is the weight of the latest answer in a moving average.
	smoothingFactor = 0.15
	// initialBackoff and maxBackoff bound how long a replica is avoided after a request without an answer.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// errorCost is the number of requests in flight to which an error rate of 1 is equivalent.
	errorCost = 8.0
	// baselineLatency is the average answer time above which a replica's cost rises, by that of one request in flight for each
	// further baselineLatency.
	baselineLatency = 100 * time.Millisecond
	// recordRetention is how long the record of a replica without requests is kept.
	recordRetention = 10 * time.Minute
	// backoffCost ranks replicas in backoff after all others.
	backoffCost = 1000.0
)

// Tracker keeps one record for each replica. Its zero value is ready to use, and it is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	records    map[string]*record
	lastPruned time.Duration
}

type record struct {
	inFlight int
	// errorRate is the moving average of the share of failed answers, and latencySeconds that of the time to successful ones.
	errorRate      float64
	latencySeconds float64
	// backoff is the length of the latest backoff, or 0 after a successful answer.
	backoff      time.Duration
	backoffUntil time.Duration
	lastUsedAt   time.Duration
}

// RecordStart records a request in flight to the replica.
func (t *Tracker) RecordStart(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	r := t.record(id)
	r.inFlight++
	r.lastUsedAt = now
}

// prune removes, at most once in recordRetention, the records of replicas that were not used for so long.
func (t *Tracker) prune(now time.Duration) {
	if now-t.lastPruned < recordRetention {
		return
	}
	t.lastPruned = now
	maps.DeleteFunc(t.records, func(_ string, r *record) bool { return r.inFlight == 0 && now-r.lastUsedAt > recordRetention })
}

// Size returns the number of replicas with a record.
func (t *Tracker) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// RecordAnswer records the end of a request with an answer; failed means that the answer was a failure of the replica.
func (t *Tracker) RecordAnswer(now time.Duration, id string, latency time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.inFlight = max(r.inFlight-1, 0)
	r.lastUsedAt = now
	if failed {
		r.errorRate += smoothingFactor * (1 - r.errorRate)
		return
	}
	r.errorRate -= smoothingFactor * r.errorRate
	r.latencySeconds += smoothingFactor * (latency.Seconds() - r.latencySeconds)
	r.backoff = 0
}

// RecordNoAnswer records the end of a request without an answer. The replica is then avoided for its backoff, which doubles
// with each such request until one succeeds.
func (t *Tracker) RecordNoAnswer(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.inFlight = max(r.inFlight-1, 0)
	r.avoid(now)
}

// RecordStall records that a request in flight receives nothing. The replica is then avoided as after RecordNoAnswer; further stalls
// within its backoff are taken for the same silence.
func (t *Tracker) RecordStall(now time.Duration, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.record(id); now >= r.backoffUntil {
		r.avoid(now)
	}
}

// EndBackoffs ends the backoff of all replicas, as where their silence was that of this VM's own links.
func (t *Tracker) EndBackoffs() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		r.backoff, r.backoffUntil = 0, 0
	}
}

// RecordStallEnd records that a stalled request has received data, which ends the replica's backoff.
func (t *Tracker) RecordStallEnd(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.backoff, r.backoffUntil = 0, 0
}

// avoid starts the next backoff.
func (r *record) avoid(now time.Duration) {
	r.backoff = min(max(2*r.backoff, initialBackoff), maxBackoff)
	r.backoffUntil = now + r.backoff
}

// RecordEnd records the end of a request without judging the replica, as when its caller disconnects or a stream completes.
func (t *Tracker) RecordEnd(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.inFlight = max(r.inFlight-1, 0)
}

// Failing reports whether the replica is in backoff, or its average error rate is above one half.
func (t *Tracker) Failing(now time.Duration, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r != nil && (now < r.backoffUntil || r.errorRate > 0.5)
}

// ErrorRate returns the replica's moving average of the share of failed answers.
func (t *Tracker) ErrorRate(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		return r.errorRate
	}
	return 0
}

// Rank returns the replicas in ascending order of cost, by requests in flight, error rate, answer time and backoff. A random
// amount below 0.2 is added to each cost, to spread requests over replicas whose costs are equal.
func (t *Tracker) Rank(now time.Duration, replicas []fuchsiaspoke.Replica) []fuchsiaspoke.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	type scored struct {
		replica fuchsiaspoke.Replica
		cost    float64
	}
	all := make([]scored, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, scored{r, t.cost(now, r) + 0.2*rand.Float64()})
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(x.cost, y.cost) })
	out := make([]fuchsiaspoke.Replica, 0, len(all))
	for _, s := range all {
		out = append(out, s.replica)
	}
	return out
}

// cost returns the replica's cost, in equivalents of one request in flight; a replica without a record costs 0.
func (t *Tracker) cost(now time.Duration, replica fuchsiaspoke.Replica) float64 {
	r := t.records[replica.ID]
	if r == nil {
		return 0
	}
	cost := float64(r.inFlight)
	cost += errorCost * r.errorRate
	cost += max(r.latencySeconds/baselineLatency.Seconds()-1, 0)
	if now < r.backoffUntil {
		cost += backoffCost
	}
	return cost
}

func (t *Tracker) record(id string) *record {
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	return r
}

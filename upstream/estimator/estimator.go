// Package estimator ranks the replicas of a plain service by least expected finish time, where they state how long work takes there.
//
// Figures are those that came with this VM's own responses. A VM sends a few requests a second, while the speed of a replica changes many
// times a second, so a figure decays to the replica's mean within tenths of a second, and the mean to that of the other replicas within tens
// of seconds. It keeps up to 10,000 requests a second and some hundred replicas.
package estimator

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// figureDecay is the time constant with which a stated factor or queue decays to the replica's mean. It is of the order of the
	// duration of a slow phase.
	figureDecay = 60 * time.Millisecond
	// meanDecay is the time constant with which a replica's mean decays to that of all replicas, so that a replica that was slow is tried
	// again.
	meanDecay = 10 * time.Second
	// smoothingFactor is the weight of the latest figure in a mean, once there are 1/smoothingFactor of them. A larger one makes the
	// means noisy.
	smoothingFactor = 0.05
	// unsteadyWeight is the number of mean deviations that are added to the factor for requests that may not run twice.
	unsteadyWeight = 2.0
	// errorCost is by how much an error rate of 1 raises the expected finish time, as a multiple of it.
	errorCost = 8.0
	// jitter is the largest random part of an estimate.
	jitter = 0.05
	// maxOccupiedShare is the share of a replica's slots up to which a request is expected to start at once, as the occupancy is a mean.
	maxOccupiedShare = 0.85
	// recordRetention is for how long a replica counts as stating the factor after it last did.
	recordRetention = time.Minute
)

// Candidate is a replica to which the request may be sent.
type Candidate struct {
	Replica fuchsiaspoke.Replica
	// ErrorRate is the share of failed answers of the replica.
	ErrorRate float64
	// Failing replicas are ranked after all others.
	Failing bool
}

// Estimator keeps the figures of each replica. Its zero value is ready to use, and it is safe for concurrent use.
type Estimator struct {
	// Random returns a number from 0 up to 1; nil uses math/rand/v2.
	Random func() float64

	mu      sync.Mutex
	records map[fuchsiaspoke.ReplicaIncarnation]*record
}

// record is what is known of one process of a replica.
type record struct {
	// factor and occupancy are the figures stated last, at the time statedAt; occupancy counts running and waiting requests.
	factor, occupancy float64
	statedAt          time.Duration
	slots             int
	// figures is the number of figures stated.
	figures int
	// meanFactor, deviation and meanOccupancy are moving averages; deviation is that of the distance between factor and its mean.
	meanFactor, deviation, meanOccupancy float64
	// inFlight is the number of this VM's requests at the replica, and sentSince that of those sent after statedAt.
	inFlight, sentSince int
	lastUsedAt          time.Duration
}

// Observe records a load that a replica stated. Loads without a factor are ignored.
func (e *Estimator) Observe(now time.Duration, i fuchsiaspoke.ReplicaIncarnation, l fuchsiaspoke.ReplicaLoad) {
	if !l.HasWorkPercent {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	r := e.record(i)
	factor, occupancy := l.WorkFactor(), float64(l.Running+l.Waiting)
	r.figures++
	weight := max(smoothingFactor, 1/float64(r.figures))
	r.meanFactor += weight * (factor - r.meanFactor)
	r.meanOccupancy += weight * (occupancy - r.meanOccupancy)
	r.deviation += weight * (math.Abs(factor-r.meanFactor) - r.deviation)
	r.factor, r.occupancy, r.slots, r.statedAt, r.sentSince, r.lastUsedAt = factor, occupancy, max(l.Slots, 1), now, 0, now
}

// RecordStart records a request that this VM sends to a replica.
func (e *Estimator) RecordStart(now time.Duration, i fuchsiaspoke.ReplicaIncarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.records[i]; r != nil {
		r.inFlight++
		r.sentSince++
		r.lastUsedAt = now
	}
}

// RecordEnd records the end of a request, however it ended.
func (e *Estimator) RecordEnd(i fuchsiaspoke.ReplicaIncarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.records[i]; r != nil {
		r.inFlight = max(r.inFlight-1, 0)
		r.sentSince = min(r.sentSince, r.inFlight)
	}
}

// Rank returns the replicas in the order in which they are to be tried; false if none of them states how long work takes there.
//
// The first one is the better of two drawn at random (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), so that
// VMs with the same figures do not all choose the same replica. steady prefers replicas whose speed changes little.
func (e *Estimator) Rank(now time.Duration, candidates []Candidate, steady bool) ([]fuchsiaspoke.Replica, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, known := e.mean(now, candidates)
	if !known {
		return nil, false
	}
	type scored struct {
		Candidate
		finish float64
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		finish := e.finish(now, c, mean, steady) * (1 + jitter*e.random())
		all = append(all, scored{c, finish})
	}
	slices.SortFunc(all, func(x, y scored) int {
		if x.Failing != y.Failing {
			return map[bool]int{true: 1, false: -1}[x.Failing]
		}
		return cmp.Compare(x.finish, y.finish)
	})
	healthy := 0
	for healthy < len(all) && !all[healthy].Failing {
		healthy++
	}
	if healthy > 2 {
		// Of two drawn from the sorted ones the better one is that of the lower index.
		a := int(e.random() * float64(healthy))
		b := int(e.random() * float64(healthy-1))
		if b >= a {
			b++
		}
		first := all[min(a, b)]
		all = slices.Insert(slices.Delete(all, min(a, b), min(a, b)+1), 0, first)
	}
	ranked := make([]fuchsiaspoke.Replica, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.Replica)
	}
	return ranked, true
}

// States reports whether a replica states how long work takes there.
func (e *Estimator) States(now time.Duration, i fuchsiaspoke.ReplicaIncarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[i]
	return r != nil && now-r.statedAt <= recordRetention
}

// StartsAtOnce reports whether a request is expected to start without waiting at a replica that states how long work takes.
func (e *Estimator) StartsAtOnce(now time.Duration, i fuchsiaspoke.ReplicaIncarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[i]
	if r == nil || now-r.statedAt > recordRetention {
		return false
	}
	return r.expectedOccupancy(now, r.meanOccupancy)+1 <= maxOccupiedShare*float64(r.slots)
}

// expectedOccupancy returns the number of requests expected at the replica, of which the given number is the mean.
func (r *record) expectedOccupancy(now time.Duration, mean float64) float64 {
	stated := mean + decayed(now-r.statedAt, figureDecay)*(r.occupancy-mean)
	return max(stated+float64(r.sentSince), float64(r.inFlight))
}

// mean returns the means of the replicas that state the factor, as a record without figures of its own.
func (e *Estimator) mean(now time.Duration, candidates []Candidate) (mean record, known bool) {
	n := 0.0
	for _, c := range candidates {
		r := e.records[c.Replica.Incarnation()]
		if r == nil || now-r.statedAt > recordRetention {
			continue
		}
		n++
		mean.meanFactor += r.meanFactor
		mean.meanOccupancy += r.meanOccupancy
		mean.deviation += r.deviation
		mean.slots = max(mean.slots, r.slots)
	}
	if n == 0 {
		return record{}, false
	}
	mean.meanFactor, mean.meanOccupancy, mean.deviation = mean.meanFactor/n, mean.meanOccupancy/n, mean.deviation/n
	return mean, true
}

// finish returns the expected finish time of one request at a replica, as a multiple of the usual time of its work.
func (e *Estimator) finish(now time.Duration, c Candidate, mean record, steady bool) float64 {
	factor, occupancy, deviation, slots := mean.meanFactor, mean.meanOccupancy, mean.deviation, mean.slots
	if r := e.records[c.Replica.Incarnation()]; r != nil {
		age := now - r.statedAt
		meanWeight, figureWeight := decayed(age, meanDecay), decayed(age, figureDecay)
		factor += meanWeight * (r.meanFactor - factor)
		occupancy += meanWeight * (r.meanOccupancy - occupancy)
		deviation += meanWeight * (r.deviation - deviation)
		factor += figureWeight * (r.factor - factor)
		occupancy = r.expectedOccupancy(now, occupancy)
		slots = r.slots
	}
	if steady {
		factor += unsteadyWeight * deviation
	}
	waiting := max(occupancy+1-float64(slots), 0) / float64(slots)
	return factor * (1 + waiting) * (1 + errorCost*c.ErrorRate)
}

// decayed returns the weight, from 0 to 1, that a figure of the given age still has under a time constant.
func decayed(age, constant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / constant.Seconds())
}

func (e *Estimator) random() float64 {
	if e.Random == nil {
		return rand.Float64()
	}
	return e.Random()
}

// prune removes the records that have not been used for recordRetention.
func (e *Estimator) prune(now time.Duration) {
	maps.DeleteFunc(e.records, func(_ fuchsiaspoke.ReplicaIncarnation, r *record) bool {
		return r.inFlight == 0 && now-r.lastUsedAt > recordRetention
	})
}

func (e *Estimator) record(i fuchsiaspoke.ReplicaIncarnation) *record {
	if e.records == nil {
		e.records = make(map[fuchsiaspoke.ReplicaIncarnation]*record)
	}
	r := e.records[i]
	if r == nil {
		r = &record{}
		e.records[i] = r
	}
	return r
}

// Package ramper finds the rate that a replica sustains after it has started or recovered, from the way it responds.
//
// The rate grows by steps while responses show no queue, as in slow start (Jacobson, "Congestion Avoidance and Control", 1988). A queue is
// seen by the figures that responses state, or else by the median response time against its own least value (Brakmo and Peterson, "TCP
// Vegas", 1995). One VM runs it for a replica. It is made for replicas that sustain from 5 to some 1,000 requests per second, and for
// outcomes that arrive up to a second late.
package ramper

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// startPerSecond is the rate at which a replica of which nothing is known begins; the least rate in warm-up in the deployments is 7.1.
	startPerSecond = 7
	// minPerSecond keeps a few responses coming, without which nothing is learned.
	minPerSecond = 2
	maxPerSecond = 10_000
	// minRound and maxRound bound the time for which a rate is tried before it is judged, and minSamples is the number of its responses
	// that suffices after minRound.
	minRound   = 250 * time.Millisecond
	maxRound   = time.Second
	minSamples = 3
	// fewSends is the number of requests of a round up to which half of them must have been answered.
	fewSends = 12
	// growth is the factor of the rate after a round without a queue, and fastGrowth that after one with at least fastSamples responses.
	growth      = 1.5
	fastGrowth  = 2
	fastSamples = 8
	// probeGrowth is the factor once the replica has shown a queue, and cut that after a round with a queue.
	probeGrowth = 1.04
	cut         = 0.95
	// Below nearSeen times the rate that last showed a queue, a round without a queue brings the rate nearer to that by seekShare of the
	// distance (Xu et al., "Binary Increase Congestion Control", 2004).
	nearSeen  = 0.9
	seekShare = 0.3
	// failureCut is the factor after a response that broke off: a replica that is overloaded may crash next.
	failureCut = 0.5
	// freeLoad is the load below which the rate grows, and fullLoad the one above which it is cut; 1 is a replica without a queue. The
	// others hold for a load that is estimated from response times, as the medians of short rounds vary; those of less
	// than fastSamples vary so much that they only keep the rate as it is.
	freeLoad       = 1.35
	fullLoad       = 1.7
	freeTimeLoad   = 1.6
	fullTimeLoad   = 2
	fewSamplesLoad = 3
	// slowResponse is the response time from which on the rate grows by slowGrowth, as what a round tells is older then.
	slowResponse = 300 * time.Millisecond
	slowGrowth   = 1.25
	// typicalResponses is the number of responses over which response times are averaged.
	typicalResponses = 16
	// slowRound is the least length of its rounds, and deliveryTime the time over which its responses are counted, up to reportDelay ago.
	slowRound    = 1500 * time.Millisecond
	deliveryTime = 2 * time.Second
	reportDelay  = 300 * time.Millisecond
	// statedGrowth is the factor while responses state slots, which tell how far the rate may grow.
	statedGrowth = 3
	// headroom is how far the rate may exceed what slots and response times say that the replica sustains.
	headroom = 1.1
	// sustainedShare is the part of that to which a queue alone does not lower the rate: bursts make queues too.
	sustainedShare = 0.9
	// inheritedShare is the part of a rate that another VM had found with which this one continues.
	inheritedShare = 0.9
	// usedShare is the part of the rate that must be used for a round to say something of it.
	usedShare = 0.6
	// unusedFactor bounds the rate by a multiple of what is used, while responses arrive.
	unusedFactor = 4
	// spareSends is the number of requests that may be missing in a round without that its rate counts as unused.
	spareSends = 1.5
	// floorAge is how long the least median response time counts; a replica that stays slower has another one after that.
	floorAge = 5 * time.Second
	// idleTime is the time without responses after which the rate rises by itself, by idleGrowth each second.
	idleTime   = 2 * time.Second
	idleGrowth = 1.1
	// A replica needs no limit freeAge after its start if it showed no queue for calmTime.
	freeAge  = 30 * time.Second
	calmTime = 10 * time.Second
	// inFlightFactor is the number of requests in flight allowed as a multiple of rate times least response time.
	inFlightFactor = 2
	minInFlight    = 2
)

// Ramper decides the rate of one replica. Its zero value is that of a replica of which nothing is known.
type Ramper struct {
	started   bool
	startedAt time.Duration
	rate      float64
	// good is the highest rate that lately showed no queue, and probing means that the replica has shown none yet.
	good    float64
	probing bool
	// seen is the rate that last showed a queue.
	seen      float64
	fullAt    time.Duration
	everFull  bool
	changedAt time.Duration
	round     round
	floors    []floor
	// wasCut means that the rate was cut after the round before: its queue may still be there.
	wasCut bool
	// doubted means that the round before showed the first queue, by response times alone: a short slowdown looks the same.
	doubted bool
	// typical is the moving average of response times.
	typical time.Duration
	// finished holds when the last responses ended.
	finished []time.Duration
}

// round is the trial of one rate.
type round struct {
	startedAt time.Duration
	sent      int
	took      []time.Duration
	loads     []float64
	slots     int
	refused   bool
}

// floor is the median response time of a round.
type floor struct {
	at     time.Duration
	median time.Duration
}

// Resume continues at the rate that another VM has found.
func (r *Ramper) Resume(now time.Duration, perSecond float64) {
	*r = Ramper{}
	r.start(now)
	r.rate = max(perSecond*inheritedShare, minPerSecond)
	r.good, r.probing = r.rate, false
}

func (r *Ramper) start(now time.Duration) {
	if r.started {
		return
	}
	*r = Ramper{started: true, startedAt: now, rate: startPerSecond, probing: true, changedAt: now, round: round{startedAt: now}}
}

// Send records that a request is sent to the replica now.
func (r *Ramper) Send(now time.Duration) {
	r.start(now)
	r.round.sent++
}

// Observe records the outcome of a request. Responses count to requests that were sent in the present round, and failures and refusals to
// those that were sent since the rate was last lowered.
func (r *Ramper) Observe(now time.Duration, o fuchsiaspoke.RampOutcome) {
	r.start(now)
	if o.Failed || o.Refused {
		r.observeFailure(now, o)
		return
	}
	r.finished = append(r.finished, o.SentAt+o.Took)
	if r.typical == 0 {
		r.typical = o.Took
	}
	r.typical += (o.Took - r.typical) / typicalResponses
	if o.SentAt < r.round.startedAt {
		return
	}
	r.round.took = append(r.round.took, o.Took)
	if o.Slots > 0 {
		r.round.slots = o.Slots
		r.round.loads = append(r.round.loads, 1+float64(o.Waiting)/float64(o.Slots))
	}
	r.judge(now)
}

// observeFailure lowers the rate, unless it was lowered after the request had been sent.
func (r *Ramper) observeFailure(now time.Duration, o fuchsiaspoke.RampOutcome) {
	switch {
	case r.everFull && o.SentAt < r.fullAt:
	case o.Failed:
		r.reduce(now, failureCut)
	default:
		r.round.refused = true
		r.judge(now)
	}
}

// Limit returns what the replica may have now.
func (r *Ramper) Limit(now time.Duration) fuchsiaspoke.RampLimit {
	r.start(now)
	if idle := now - r.changedAt; idle > idleTime && len(r.round.took) == 0 {
		r.rate = min(r.rate*math.Pow(idleGrowth, (idle-idleTime).Seconds()), maxPerSecond)
		r.changedAt = now - idleTime
	}
	calm := !r.everFull || now-r.fullAt >= calmTime
	return fuchsiaspoke.RampLimit{
		PerSecond: r.rate, InFlight: r.inFlight(now), Free: now-r.startedAt >= freeAge && calm,
	}
}

func (r *Ramper) inFlight(now time.Duration) int {
	least := r.floor(now)
	if least == 0 {
		return max(minInFlight, int(math.Ceil(r.rate)))
	}
	return max(minInFlight, int(math.Ceil(r.rate*least.Seconds()*inFlightFactor)))
}

// judge ends the round if it has told enough.
func (r *Ramper) judge(now time.Duration) {
	elapsed, samples := now-r.round.startedAt, len(r.round.took)
	if r.typical > slowResponse && elapsed < slowRound && !r.round.refused {
		return
	}
	enough := elapsed >= minRound && samples >= minSamples || elapsed >= maxRound && samples > 0
	// The first responses of a slow replica are those of its shortest work.
	early := r.round.sent <= fewSends && samples*2 < r.round.sent
	if (!enough || early) && !r.round.refused {
		return
	}
	load, free, full := r.load(now)
	used := (float64(r.round.sent) + spareSends) / max(elapsed, minRound).Seconds()
	switch {
	case r.round.refused:
		r.reduce(now, cut)
		r.wasCut = true
		return
	case load > full && r.probing && r.round.slots == 0 && !r.doubted:
		r.restart(now, r.rate)
		r.doubted = true
		return
	case load > full && !r.wasCut:
		r.reduce(now, cut)
		r.wasCut = true
		return
	case load < free:
		r.grow(now, samples, used)
	default:
		r.restart(now, r.rate)
	}
	r.wasCut, r.doubted = false, false
}

// load returns how many requests there are for each that the replica can process, as far as the round tells, and between which loads the
// rate stays as it is.
func (r *Ramper) load(now time.Duration) (load, free, full float64) {
	if len(r.round.took) == 0 {
		return 1, freeLoad, fullLoad
	}
	median, samples := middle(r.round.took), len(r.round.took)
	if samples >= fastSamples {
		r.floors = slices.DeleteFunc(r.floors, func(f floor) bool { return now-f.at > floorAge || f.median >= median })
		r.floors = append(r.floors, floor{now, median})
	}
	switch {
	case 2*len(r.round.loads) > samples:
		return middle(r.round.loads), freeLoad, fullLoad
	case r.floor(now) == 0:
		return 1, freeLoad, fullLoad
	}
	load = median.Seconds() / max(r.floor(now).Seconds(), time.Microsecond.Seconds())
	if samples < fastSamples {
		return load, fewSamplesLoad, math.Inf(1)
	}
	return load, freeTimeLoad, fullTimeLoad
}

// ceiling returns the rate that the replica sustains by its slots and response times, or infinity if responses do not state slots.
func (r *Ramper) ceiling() float64 {
	if r.round.slots == 0 || len(r.round.loads) == 0 {
		return math.Inf(1)
	}
	total, loads := time.Duration(0), 0.0
	for _, t := range r.round.took {
		total += t
	}
	for _, l := range r.round.loads {
		loads += l
	}
	n := float64(len(r.round.took))
	return float64(r.round.slots) * loads / float64(len(r.round.loads)) / max(total.Seconds()/n, time.Microsecond.Seconds())
}

// delivered returns the number of responses per second over deliveryTime.
func (r *Ramper) delivered(now time.Duration) float64 {
	to := now - reportDelay
	from := max(to-deliveryTime, r.startedAt)
	r.finished = slices.DeleteFunc(r.finished, func(at time.Duration) bool { return at < from })
	n := 0
	for _, at := range r.finished {
		if at <= to {
			n++
		}
	}
	return float64(n) / max(to-from, minRound).Seconds()
}

// floor returns the least median response time of the last rounds, or 0.
func (r *Ramper) floor(now time.Duration) time.Duration {
	for _, f := range r.floors {
		if now-f.at <= floorAge {
			return f.median
		}
	}
	return 0
}

// grow raises the rate after a round without a queue, unless the rate was not used.
func (r *Ramper) grow(now time.Duration, samples int, used float64) {
	if used < usedShare*r.rate {
		r.restart(now, min(r.rate, max(used*unusedFactor, startPerSecond)))
		return
	}
	factor := float64(growth)
	switch {
	case !r.probing && r.rate >= r.good:
		factor = probeGrowth
	case r.typical > slowResponse:
		factor = slowGrowth
	case samples >= fastSamples && r.probing:
		factor = fastGrowth
	}
	if r.probing && r.round.slots > 0 && r.typical <= slowResponse {
		factor = statedGrowth
	}
	goal := r.rate * factor
	if !r.probing && r.typical <= slowResponse {
		goal = max(goal, r.rate+seekShare*(nearSeen*r.seen-r.rate))
	}
	next := max(min(goal, headroom*r.ceiling()), r.rate*cut)
	if r.typical > slowResponse {
		next = min(next, max(headroom*r.delivered(now), r.rate*cut))
	}
	if !r.probing && r.rate < r.good {
		next = min(next, r.good)
	}
	r.good = max(r.good, r.rate)
	r.restart(now, next)
}

// reduce lowers the rate after a round with a queue, or a failure. The first queue after growth by steps shows that the last step was too
// large, so the rate returns to the one before.
func (r *Ramper) reduce(now time.Duration, factor float64) {
	next := r.rate * factor
	if r.probing && r.good > 0 {
		next = min(next, r.good)
	}
	if c := sustainedShare * r.ceiling(); !math.IsInf(c, 1) && factor == cut && !r.round.refused {
		next = max(next, min(c, r.rate))
	}
	r.probing, r.fullAt, r.everFull, r.seen = false, now, true, r.rate
	r.good = min(max(r.good*cut, next), r.rate)
	r.restart(now, next)
}

func (r *Ramper) restart(now time.Duration, rate float64) {
	r.rate, r.changedAt = min(max(rate, minPerSecond), maxPerSecond), now
	r.finished = slices.DeleteFunc(r.finished, func(at time.Duration) bool { return now-at > deliveryTime+reportDelay })
	r.round = round{startedAt: now}
}

func middle[T time.Duration | float64](all []T) T {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

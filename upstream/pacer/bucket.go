package pacer

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// minPerSecond is the rate of a replica that takes fewer requests, so that the end of its limit is noticed.
	minPerSecond = 0.25
	// debtTime is the time for which a replica that begins to name a limit gets no requests: it has had those of a moment ago, and VMs that
	// have not heard of the limit send more. maxDebt bounds the requests that it is spared so: a limit above its load keeps none back.
	debtTime = 2 * time.Second
	maxDebt  = 100
	// savedTokens is the number of tokens that may be saved, and savedTime the time whose tokens may be saved beside them.
	savedTokens = 2
	savedTime   = 250 * time.Millisecond
	// restrictedTokens is the number of tokens that may be saved for a replica in warm-up, whose bound is on one second, and startTokens the
	// number with which its bucket starts.
	restrictedTokens = 3
	startTokens      = 1
	// asksPerToken is how often VMs that compete for tokens ask while one is filled in, so that few tokens are left over.
	asksPerToken = 2
	// restrictedAsksPerToken is the same for a replica in warm-up, where fewer saved tokens make up for times without a request, and
	// restrictedAskTime the time for which a VM that was denied a token counts as competing.
	restrictedAsksPerToken = 4
	restrictedAskTime      = 2 * time.Second
	// minWait and maxWait bound the time that a VM waits before it asks again.
	minWait = 50 * time.Millisecond
	maxWait = 10 * time.Second
)

// bucket holds the tokens of one replica, each of which is the right to send it one request.
type bucket struct {
	perSecond float64
	tokens    float64
	filledAt  time.Duration
	// room is the number of tokens that may be saved while the replica is restricted; 0 where it is not.
	room float64
	// askers holds the VMs that were denied a token within maxWait, with the time of the latest denial.
	askers map[string]time.Duration
}

// beginNamed starts the bucket of a replica that has named a limit for a while.
func (b *bucket) beginNamed(now time.Duration, perSecond float64, named time.Duration) {
	rate, debt := max(perSecond, minPerSecond), max(debtTime-named, 0)
	b.perSecond, b.tokens, b.filledAt = rate, -min(rate*debt.Seconds(), maxDebt), now
}

// beginRestricted starts the bucket of a replica that Restrict limits from now on: without debt, as its rate must hold in each second and not
// on average.
func (b *bucket) beginRestricted(now time.Duration, perSecond float64) {
	b.perSecond, b.filledAt, b.room = max(perSecond, minPerSecond), now, restrictedTokens
	b.tokens = min(b.tokens, startTokens)
}

// setRate changes the rate from now on, unless there is none, as no limit is in force.
func (b *bucket) setRate(now time.Duration, perSecond float64) {
	if math.IsInf(perSecond, 1) {
		return
	}
	b.fill(now)
	b.perSecond = max(perSecond, minPerSecond)
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Duration) {
	elapsed := max(now-b.filledAt, 0).Seconds()
	b.filledAt = now
	b.tokens = min(b.tokens+elapsed*b.perSecond, b.capacity())
}

// capacity returns how many tokens may be saved.
func (b *bucket) capacity() float64 {
	if b.room > 0 {
		return b.room
	}
	return savedTokens + savedTime.Seconds()*b.perSecond
}

// take takes a token for a VM and returns 0, or the time after which that VM may ask again: VMs that compete for tokens ask
// asksPerToken or restrictedAsksPerToken times for each.
func (b *bucket) take(now time.Duration, vm string) time.Duration {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	asks, askTime := float64(asksPerToken), maxWait
	if b.room > 0 {
		asks, askTime = restrictedAsksPerToken, restrictedAskTime
	}
	maps.DeleteFunc(b.askers, func(_ string, at time.Duration) bool { return now-at > askTime })
	if b.askers == nil {
		b.askers = make(map[string]time.Duration)
	}
	b.askers[vm] = now
	seconds := (1 - b.tokens) / b.perSecond
	if n := len(b.askers); n > 1 {
		seconds = max(seconds, float64(n)/b.perSecond/asks*variation(vm, now))
	}
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

// variation returns a number from 0.5 to 1.5 that differs between VMs and times, so that VMs do not ask at once.
func variation(vm string, now time.Duration) float64 {
	return 0.5 + float64(ranker.Weight(vm, strconv.FormatInt(int64(now), 10)))/math.MaxUint64
}

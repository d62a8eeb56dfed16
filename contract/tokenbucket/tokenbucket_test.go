package tokenbucket_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenbucket"
)

var (
	seed = flag.Int64("seed", 1, "seed of the randomised runs")
	runs = flag.Int("runs", 200, "number of randomised takeover runs")
)

const (
	rate           = 1000   // tokens per second
	burst          = 10_000 // tokens
	vmCount        = 7
	maxWait        = 2 * time.Second
	outputInterval = 50 * time.Millisecond
	// smallBurst refills within 3 s, before running work ends, which makes overshoot after a takeover likelier.
	smallBurst = 3000
)

func newAccount(rate, burst float64) fuchsiaspoke.ClientAccount {
	return fuchsiaspoke.ClientAccount{Name: "saathi", RateTokensPerSecond: rate, BurstTokens: burst}
}

func ExampleTokenBucket() {
	var b tokenbucket.TokenBucket
	fmt.Println(b.Open(0, newAccount(10, 100), 1))
	fmt.Println(b.Reserve(time.Second, "a", 10, 0))
	fmt.Println(b.Reserve(time.Second, "b", 20, 3*time.Second))
	fmt.Println(b.Reserve(time.Second, "c", 50, time.Second))
	_ = b.Consume(2*time.Second, "a", 4)
	b.Release(2*time.Second, "a")
	fmt.Println(b.Advance(2400 * time.Millisecond))
	// Output:
	// <nil>
	// 0s <nil>
	// 2s <nil>
	// 0s rate_exceeded: client account saathi has reached its token rate
	// [b] [] 0s
}

// consumption is a number of tokens consumed at one time.
type consumption struct {
	at     time.Duration
	tokens int64
}

// overshoot returns the largest excess over burst + rate*(e-s) tokens in any window from s to e; log is ordered by
// time.
func overshoot(log []consumption, rate, burst int64) float64 {
	const unit = int64(time.Second)
	lowest, worst, sum := int64(math.MaxInt64), int64(0), int64(0)
	for _, c := range log {
		lowest = min(lowest, sum*unit-rate*int64(c.at))
		sum += c.tokens
		worst = max(worst, sum*unit-rate*int64(c.at)-lowest-burst*unit)
	}
	return float64(worst) / float64(unit)
}

// request consumes its prompt tokens at once, then its output tokens in steps.
type request struct {
	id string
	vm int
	at time.Duration
	// delay is the time between the grant and the start of the work at the engine.
	delay          time.Duration
	prompt, output int64
}

// scheduledEvent is an action to run at a simulated time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	action   func(now time.Duration)
}

// eventQueue is a heap of events by time; events with equal times stay in the order in which they were scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs requests against token buckets in simulated time; holder returns the bucket that a VM uses now.
type simulation struct {
	rng        *rand.Rand
	eventQueue eventQueue
	scheduled  int
	holder     func(vm int) *tokenbucket.TokenBucket
	// ignoreConsumption releases reservations at their grant and reports no consumption: the mutant that does not count
	// outstanding reservations.
	ignoreConsumption bool
	// reportToGrantingBucket reports consumption to the bucket that granted the reservation, even after it was closed.
	reportToGrantingBucket bool
	pending                map[string]request
	advanceTimes           map[*tokenbucket.TokenBucket]time.Duration
	maxPrompt              int64
	maxOutput              int64
	maxDelay               time.Duration
	consumptions           []consumption
	refused                []request
	granted                int
	refusedAfterWait       int
	totalWait              time.Duration
}

func newSimulation(seed uint64, holder func(vm int) *tokenbucket.TokenBucket) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), holder: holder, pending: map[string]request{},
		advanceTimes: map[*tokenbucket.TokenBucket]time.Duration{}, maxPrompt: 200, maxOutput: 400,
	}
}

func (s *simulation) schedule(at time.Duration, action func(now time.Duration)) {
	s.scheduled++
	heap.Push(&s.eventQueue, scheduledEvent{at, s.scheduled, action})
}

func (s *simulation) run(until time.Duration) {
	for len(s.eventQueue) > 0 && s.eventQueue[0].at <= until {
		e := heap.Pop(&s.eventQueue).(scheduledEvent)
		e.action(e.at)
	}
}

func (s *simulation) scheduleRequest(r request) {
	s.schedule(r.at, func(now time.Duration) {
		b := s.holder(r.vm)
		wait, err := b.Reserve(now, r.id, r.prompt+s.maxOutput, maxWait)
		switch {
		case err != nil:
			s.refused = append(s.refused, r)
		case wait == 0:
			s.start(now, b, r)
		default:
			s.pending[r.id] = r
			s.advance(now, b)
		}
	})
}

// advance advances a bucket, starts the requests that it grants, and schedules its next advance.
func (s *simulation) advance(now time.Duration, b *tokenbucket.TokenBucket) {
	granted, refused, next := b.Advance(now)
	for _, id := range granted {
		s.start(now, b, s.pending[id])
	}
	s.refusedAfterWait += len(refused)
	for _, id := range refused {
		s.refused = append(s.refused, s.pending[id])
	}
	due, ok := s.advanceTimes[b]
	if next == 0 || ok && due > now && due <= now+next {
		return
	}
	s.advanceTimes[b] = now + next
	s.schedule(now+next, func(now time.Duration) {
		if s.advanceTimes[b] == now {
			s.advance(now, b)
		}
	})
}

// start consumes the prompt after the request's delay and then the output in steps.
func (s *simulation) start(now time.Duration, b *tokenbucket.TokenBucket, r request) {
	s.granted++
	s.totalWait += now - r.at
	if s.ignoreConsumption {
		b.Release(now, r.id)
	}
	s.schedule(now+r.delay, func(now time.Duration) {
		s.consume(now, b, r, r.prompt)
		s.generate(now, b, r, r.output)
	})
}

// generate consumes the remaining output tokens, one step per outputInterval, and then releases the reservation.
func (s *simulation) generate(now time.Duration, b *tokenbucket.TokenBucket, r request, remaining int64) {
	if remaining == 0 {
		b = s.accountingBucket(b, r)
		b.Release(now, r.id)
		s.advance(now, b)
		return
	}
	s.schedule(now+outputInterval, func(now time.Duration) {
		tokens := min(remaining, 1+s.rng.Int64N(20))
		s.consume(now, b, r, tokens)
		s.generate(now, b, r, remaining-tokens)
	})
}

// consume logs consumed tokens for the overshoot check and deducts them from the reservation.
func (s *simulation) consume(now time.Duration, b *tokenbucket.TokenBucket, r request, tokens int64) {
	s.consumptions = append(s.consumptions, consumption{now, tokens})
	if !s.ignoreConsumption {
		_ = s.accountingBucket(b, r).Consume(now, r.id, tokens)
	}
}

// accountingBucket returns the bucket to which consumption is reported for a reservation that b granted.
func (s *simulation) accountingBucket(b *tokenbucket.TokenBucket, r request) *tokenbucket.TokenBucket {
	if s.reportToGrantingBucket {
		return b
	}
	return s.holder(r.vm)
}

// scheduleArrivals schedules Poisson arrivals that consume load times the rate, on the VMs that pick selects, and
// returns their number.
func (s *simulation) scheduleArrivals(from, until time.Duration, load float64, pick func(at time.Duration) int) int {
	mean := float64(s.maxPrompt+s.maxOutput) / 2
	n := 0
	for at := from; ; n++ {
		at += time.Duration(s.rng.ExpFloat64() * mean / (load * rate) * float64(time.Second))
		if at >= until {
			return n
		}
		s.scheduleRequest(request{
			id: fmt.Sprint(n, at), vm: pick(at), at: at,
			prompt: 1 + s.rng.Int64N(s.maxPrompt), output: 1 + s.rng.Int64N(s.maxOutput),
			delay: max(0, time.Duration((s.rng.Float64()*4-3)*float64(s.maxDelay))),
		})
	}
}

func openBucket(t *testing.T, at time.Duration, rate, burst float64) *tokenbucket.TokenBucket {
	t.Helper()
	b := &tokenbucket.TokenBucket{}
	if err := b.Open(at, newAccount(rate, burst), 1); err != nil {
		t.Fatal(err)
	}
	return b
}

// One shared bucket must not overshoot, nor refuse requests at a load below the rate, however these are spread over
// VMs. For comparison, the results of two alternatives are logged: the rate split evenly over VMs, and the full rate on
// each VM.
func TestSingleTokenBucketRefusesNothingWithinRateAndNeverOvershoots(t *testing.T) {
	const warmUp, length = 10 * time.Second, 4 * time.Minute
	rng := rand.New(rand.NewPCG(uint64(*seed), 1))
	demands := []struct {
		name string
		pick func(at time.Duration) int
	}{
		{"even", func(time.Duration) int { return rng.IntN(vmCount) }},
		{"one VM", func(time.Duration) int { return 0 }},
		{"moving", func(at time.Duration) int { return int(at/(20*time.Second)) % vmCount }},
	}
	divisions := []struct {
		name   string
		shares int
		share  float64
	}{{"one bucket", 1, 1}, {"fixed 1/7", vmCount, 1.0 / vmCount}, {"each VM alone", vmCount, 1}}
	for _, load := range []float64{0.9, 5} {
		for _, d := range demands {
			for _, division := range divisions {
				var buckets []*tokenbucket.TokenBucket
				for range division.shares {
					buckets = append(buckets, openBucket(t, 0, rate*division.share, burst*division.share))
				}
				s := newSimulation(uint64(*seed), func(vm int) *tokenbucket.TokenBucket { return buckets[vm%len(buckets)] })
				requests := s.scheduleArrivals(warmUp, warmUp+length, load, d.pick)
				s.run(math.MaxInt64)
				excess := overshoot(s.consumptions, rate, burst)
				t.Logf("load %.1f %-7s %-13s: %5d requests, %5d refused, %4d of them after a wait, overshoot %9.1f tokens, mean wait %v",
					load, d.name, division.name, requests, len(s.refused), s.refusedAfterWait, excess, (s.totalWait / time.Duration(max(1, s.granted))).Round(time.Microsecond))
				if division.shares == 1 && excess != 0 {
					t.Errorf("load %.1f %s: overshoot of %v tokens", load, d.name, excess)
				}
				if division.shares == 1 && load < 1 && len(s.refused) != 0 {
					t.Errorf("load %.1f %s: %d requests refused although the load is below the rate", load, d.name, len(s.refused))
				}
			}
		}
	}
}

// simulateTakeovers replaces the lease holder four times under load in surges, and returns the overshoot.
func simulateTakeovers(t *testing.T, seed uint64, adopt, openFull, ignoreConsumption bool) float64 {
	t.Helper()
	var current *tokenbucket.TokenBucket
	s := newSimulation(seed, func(int) *tokenbucket.TokenBucket { return current })
	s.ignoreConsumption = ignoreConsumption
	s.reportToGrantingBucket = !adopt
	s.maxPrompt = 1000
	s.maxOutput = 20
	s.maxDelay = 10 * time.Second
	current = openBucket(t, 0, rate, smallBurst)
	at := time.Duration(0)
	for range 4 {
		at += time.Duration(1+s.rng.IntN(25_000)) * time.Millisecond
		s.schedule(at, func(now time.Duration) {
			current = replaceBucket(t, now, current, smallBurst, adopt, openFull)
		})
	}
	for surgeStart := time.Duration(0); surgeStart < at+10*time.Second; surgeStart += 9 * time.Second {
		s.scheduleArrivals(surgeStart, surgeStart+5*time.Second, 0.5+s.rng.Float64()*8, func(time.Duration) int { return 0 })
	}
	s.run(math.MaxInt64)
	return overshoot(s.consumptions, rate, smallBurst)
}

// replaceBucket closes the old holder's bucket and opens the next one: empty, or with a full burst if openFull is set.
func replaceBucket(t *testing.T, now time.Duration, old *tokenbucket.TokenBucket, burst float64, adopt, openFull bool) *tokenbucket.TokenBucket {
	t.Helper()
	old.Close()
	from := now
	if openFull {
		from = now - time.Hour
	}
	next := openBucket(t, from, rate, burst)
	if !adopt {
		return next
	}
	for id, tokens := range old.Outstanding() {
		if err := next.Adopt(now, id, tokens); err != nil {
			t.Fatal(err)
		}
	}
	return next
}

// Guards against overshoot when work granted by one lease holder is still running under the next. Each mutant leaves
// out one of the conditions on a takeover and must overshoot, which shows that the check detects it.
func TestConsumptionStaysWithinRateAndBurstOverTakeovers(t *testing.T) {
	variants := []struct {
		name                               string
		adopt, openFull, ignoreConsumption bool
	}{
		{"token bucket", true, false, false},
		{"mutant: running work not adopted", false, false, false},
		{"mutant: opened full", true, true, false},
		{"mutant: outstanding not counted", true, false, true},
	}
	for n, v := range variants {
		worst, overshooting := 0.0, 0
		for run := range *runs {
			excess := simulateTakeovers(t, uint64(*seed)*1000+uint64(run), v.adopt, v.openFull, v.ignoreConsumption)
			worst = max(worst, excess)
			if excess > 0 {
				overshooting++
			}
		}
		t.Logf("%-34s: %3d of %d runs overshoot, worst %.1f tokens", v.name, overshooting, *runs, worst)
		if n == 0 && worst != 0 {
			t.Errorf("overshoot of %v tokens", worst)
		}
		if n > 0 && worst == 0 {
			t.Errorf("%s: the check detected no overshoot", v.name)
		}
	}
}

// A bucket that opens empty after a takeover refuses requests until it has filled again. None may be refused below the
// rate if the previous holder handed its level over.
func TestNothingWithinRateIsRefusedAfterTakeoverWithLevelHandedOver(t *testing.T) {
	const takeoverTime, end = 25 * time.Second, 60 * time.Second
	for _, levelHandedOver := range []bool{true, false} {
		for _, load := range []float64{0.5, 0.9} {
			refusedSoon, refusedLater, requests := 0, 0, 0
			for run := range 20 {
				current := openBucket(t, 0, rate, burst)
				s := newSimulation(uint64(*seed)*1000+uint64(run), func(int) *tokenbucket.TokenBucket { return current })
				requests += s.scheduleArrivals(10*time.Second, end, load, func(time.Duration) int { return 0 })
				s.schedule(takeoverTime, func(now time.Duration) {
					old := current
					current = replaceBucket(t, now, old, burst, true, false)
					if levelHandedOver {
						current.Restore(now, old.Level())
					}
				})
				s.run(math.MaxInt64)
				for _, r := range s.refused {
					if r.at < takeoverTime+5*time.Second {
						refusedSoon++
					} else {
						refusedLater++
					}
				}
			}
			t.Logf("load %.1f, level handed over %-5v: %d requests, %d refused until 5 s after the takeover, %d later",
				load, levelHandedOver, requests, refusedSoon, refusedLater)
			if levelHandedOver && refusedSoon+refusedLater != 0 {
				t.Errorf("load %.1f: %d requests refused although the load is below the rate", load, refusedSoon+refusedLater)
			}
		}
	}
}

// A large reservation at the head of the queue must be granted before smaller ones that arrived later. Also checks that
// reservations older than MaxAge count as consumed, that an overrun is an error, and that a lowered burst refuses
// waiting reservations that exceed it.
func TestSmallReservationsDoNotStarveALargeOne(t *testing.T) {
	b := &tokenbucket.TokenBucket{MaxAge: time.Minute}
	if err := b.Open(0, newAccount(10, 100), 1); err != nil {
		t.Fatal(err)
	}
	for n, tokens := range []int64{100, 1, 1} {
		if wait, err := b.Reserve(0, fmt.Sprint(n), tokens, 20*time.Second); wait == 0 || err != nil {
			t.Errorf("reservation %d: %v %v", n, wait, err)
		}
	}
	requireAdvance(t, b, 10*time.Second-1, "[] [] 1ns")
	requireAdvance(t, b, 10*time.Second, "[0] [] 100ms")
	requireAdvance(t, b, 11*time.Second, "[] [] 100ms")
	if err := b.Consume(11*time.Second, "0", 1); err != nil {
		t.Error(err)
	}
	requireAdvance(t, b, 12*time.Second, "[1] [] 100ms")
	requireAdvance(t, b, 21*time.Second, "[] [2] 0s")
	requireAdvance(t, b, 71*time.Second, "[] [] 0s")
	if wait, err := b.Reserve(71*time.Second, "3", 10, 0); wait != 0 || err != nil {
		t.Errorf("reserve after the first reservation reached MaxAge: wait %v, error %v", wait, err)
	}
	if err := b.Consume(71*time.Second, "3", 12); err == nil {
		t.Error("no error for 12 tokens consumed of 10 reserved")
	}
	if _, err := b.Reserve(71*time.Second, "4", 50, time.Minute); err != nil {
		t.Error(err)
	}
	if err := b.SetLimits(71*time.Second, newAccount(10, 40)); err != nil {
		t.Error(err)
	}
	requireAdvance(t, b, 72*time.Second, "[] [4] 0s")
}

func requireAdvance(t *testing.T, b *tokenbucket.TokenBucket, now time.Duration, want string) {
	t.Helper()
	granted, refused, next := b.Advance(now)
	if got := fmt.Sprint(granted, refused, next); got != want {
		t.Errorf("at %v: got %s, want %s", now, got, want)
	}
}

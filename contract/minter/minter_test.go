package minter_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/minter"
)

var (
	seed = flag.Int64("seed", 1, "seed of the randomised runs")
	runs = flag.Int("runs", 200, "number of randomised takeover runs")
)

const (
	rate     = 1000
	burst    = 10_000
	vmCount  = 7
	patience = 2 * time.Second
	step     = 50 * time.Millisecond
	// takeoverBurst fills faster than work ends, the harder case.
	takeoverBurst = 3000
)

func newAccount(rate, burst float64) fuchsiaspoke.ClientAccount {
	return fuchsiaspoke.ClientAccount{Name: "saathi", RateTokensPerSecond: rate, BurstTokens: burst}
}

func ExampleMinter() {
	var m minter.Minter
	fmt.Println(m.Open(0, newAccount(10, 100), 1))
	fmt.Println(m.Reserve(time.Second, "a", 10, 0))
	fmt.Println(m.Reserve(time.Second, "b", 20, 3*time.Second))
	fmt.Println(m.Reserve(time.Second, "c", 50, time.Second))
	_ = m.Settle(2*time.Second, "a", 4)
	m.Finish(2*time.Second, "a")
	fmt.Println(m.Advance(2400 * time.Millisecond))
	// Output:
	// <nil>
	// 0s <nil>
	// 2s <nil>
	// 0s rate_exceeded: client account saathi is at its rate
	// [b] [] 0s
}

// consumption is some tokens consumed at a time.
type consumption struct {
	at     time.Duration
	tokens int64
}

// overshoot returns the most tokens beyond burst + rate*(e-s) over all windows from s to e of a log in the order of time.
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

// request is one piece of work: a prompt, then output in steps.
type request struct {
	id string
	vm int
	at time.Duration
	// delay is how long the work waits at the engine before it begins.
	delay          time.Duration
	prompt, output int64
}

// event is something due at a time.
type event struct {
	at time.Duration
	n  int
	do func(now time.Duration)
}

// agenda is a heap of events; those due at one time keep their order.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// bench runs requests against minters, one of which serves each VM.
type bench struct {
	rng     *rand.Rand
	agenda  agenda
	count   int
	serving func(vm int) *minter.Minter
	// unsettled leaves consumption out of what the minter is told, the mutant that does not count what is outstanding.
	unsettled bool
	// unadopted settles with the minter that granted, also after it closed.
	unadopted bool
	pending   map[string]request
	wakes     map[*minter.Minter]time.Duration
	maxPrompt int64
	maxOutput int64
	maxDelay  time.Duration
	log       []consumption
	refused   []request
	granted   int
	// held counts those refused after a wait.
	held  int
	waits time.Duration
}

func newBench(seed uint64, serving func(vm int) *minter.Minter) *bench {
	return &bench{
		rng: rand.New(rand.NewPCG(seed, 0)), serving: serving, pending: map[string]request{},
		wakes: map[*minter.Minter]time.Duration{}, maxPrompt: 200, maxOutput: 400,
	}
}

func (b *bench) after(at time.Duration, do func(now time.Duration)) {
	b.count++
	heap.Push(&b.agenda, event{at, b.count, do})
}

func (b *bench) run(until time.Duration) {
	for len(b.agenda) > 0 && b.agenda[0].at <= until {
		e := heap.Pop(&b.agenda).(event)
		e.do(e.at)
	}
}

func (b *bench) arrive(r request) {
	b.after(r.at, func(now time.Duration) {
		m := b.serving(r.vm)
		wait, err := m.Reserve(now, r.id, r.prompt+b.maxOutput, patience)
		switch {
		case err != nil:
			b.refused = append(b.refused, r)
		case wait == 0:
			b.start(now, m, r)
		default:
			b.pending[r.id] = r
			b.wake(now, m)
		}
	})
}

// wake advances a minter and starts what it grants.
func (b *bench) wake(now time.Duration, m *minter.Minter) {
	granted, refused, next := m.Advance(now)
	for _, id := range granted {
		b.start(now, m, b.pending[id])
	}
	b.held += len(refused)
	for _, id := range refused {
		b.refused = append(b.refused, b.pending[id])
	}
	due, ok := b.wakes[m]
	if next == 0 || ok && due > now && due <= now+next {
		return
	}
	b.wakes[m] = now + next
	b.after(now+next, func(now time.Duration) {
		if b.wakes[m] == now {
			b.wake(now, m)
		}
	})
}

// start consumes the prompt at once and the output in steps; each is told to whichever minter serves the VM then.
func (b *bench) start(now time.Duration, m *minter.Minter, r request) {
	b.granted++
	b.waits += now - r.at
	if b.unsettled {
		m.Finish(now, r.id)
	}
	b.after(now+r.delay, func(now time.Duration) {
		b.consume(now, m, r, r.prompt)
		b.generate(now, m, r, r.output)
	})
}

func (b *bench) generate(now time.Duration, m *minter.Minter, r request, left int64) {
	if left == 0 {
		m = b.keeping(m, r)
		m.Finish(now, r.id)
		b.wake(now, m)
		return
	}
	b.after(now+step, func(now time.Duration) {
		some := min(left, 1+b.rng.Int64N(20))
		b.consume(now, m, r, some)
		b.generate(now, m, r, left-some)
	})
}

func (b *bench) consume(now time.Duration, m *minter.Minter, r request, tokens int64) {
	b.log = append(b.log, consumption{now, tokens})
	if !b.unsettled {
		_ = b.keeping(m, r).Settle(now, r.id, tokens)
	}
}

// keeping returns the minter that keeps a reservation which m granted.
func (b *bench) keeping(m *minter.Minter, r request) *minter.Minter {
	if b.unadopted {
		return m
	}
	return b.serving(r.vm)
}

// demand draws Poisson arrivals whose consumption is load times the rate, on VMs that pick chooses.
func (b *bench) demand(from, until time.Duration, load float64, pick func(at time.Duration) int) int {
	mean := float64(b.maxPrompt+b.maxOutput) / 2
	n := 0
	for at := from; ; n++ {
		at += time.Duration(b.rng.ExpFloat64() * mean / (load * rate) * float64(time.Second))
		if at >= until {
			return n
		}
		b.arrive(request{
			id: fmt.Sprint(n, at), vm: pick(at), at: at,
			prompt: 1 + b.rng.Int64N(b.maxPrompt), output: 1 + b.rng.Int64N(b.maxOutput),
			delay: max(0, time.Duration((b.rng.Float64()*4-3)*float64(b.maxDelay))),
		})
	}
}

func open(t *testing.T, at time.Duration, rate, burst float64) *minter.Minter {
	t.Helper()
	m := &minter.Minter{}
	if err := m.Open(at, newAccount(rate, burst), 1); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestRefusalsAndOvershoot compares one minter with a fixed division and with VMs that each give the whole rate.
func TestRefusalsAndOvershoot(t *testing.T) {
	const warm, length = 10 * time.Second, 4 * time.Minute
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
	}{{"one minter", 1, 1}, {"fixed 1/7", vmCount, 1.0 / vmCount}, {"each VM alone", vmCount, 1}}
	for _, load := range []float64{0.9, 5} {
		for _, d := range demands {
			for _, division := range divisions {
				var minters []*minter.Minter
				for range division.shares {
					minters = append(minters, open(t, 0, rate*division.share, burst*division.share))
				}
				b := newBench(uint64(*seed), func(vm int) *minter.Minter { return minters[vm%len(minters)] })
				asked := b.demand(warm, warm+length, load, d.pick)
				b.run(math.MaxInt64)
				over := overshoot(b.log, rate, burst)
				t.Logf("load %.1f %-7s %-13s: %5d asked, %5d refused, %4d of them after a wait, overshoot %9.1f tokens, mean wait %v",
					load, d.name, division.name, asked, len(b.refused), b.held, over, (b.waits / time.Duration(max(1, b.granted))).Round(time.Microsecond))
				if division.shares == 1 && over != 0 {
					t.Errorf("load %.1f %s: overshoot of %v tokens", load, d.name, over)
				}
				if division.shares == 1 && load < 1 && len(b.refused) != 0 {
					t.Errorf("load %.1f %s: %d refused inside the rate", load, d.name, len(b.refused))
				}
			}
		}
	}
}

// takeover runs several holders one after another, under demand in surges, and returns the overshoot.
func takeover(t *testing.T, seed uint64, adopt, full, unsettled bool) float64 {
	t.Helper()
	var current *minter.Minter
	b := newBench(seed, func(int) *minter.Minter { return current })
	b.unsettled = unsettled
	b.unadopted = !adopt
	b.maxPrompt = 1000
	b.maxOutput = 20
	b.maxDelay = 10 * time.Second
	current = open(t, 0, rate, takeoverBurst)
	at := time.Duration(0)
	for range 4 {
		at += time.Duration(1+b.rng.IntN(25_000)) * time.Millisecond
		b.after(at, func(now time.Duration) {
			current = succeed(t, now, current, takeoverBurst, adopt, full)
		})
	}
	for surge := time.Duration(0); surge < at+10*time.Second; surge += 9 * time.Second {
		b.demand(surge, surge+5*time.Second, 0.5+b.rng.Float64()*8, func(time.Duration) int { return 0 })
	}
	b.run(math.MaxInt64)
	return overshoot(b.log, rate, takeoverBurst)
}

func succeed(t *testing.T, now time.Duration, old *minter.Minter, burst float64, adopt, full bool) *minter.Minter {
	t.Helper()
	old.Close()
	from := now
	if full {
		from = now - time.Hour
	}
	next := open(t, from, rate, burst)
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

// TestNoWindowExceedsRateAndBurst asserts an overshoot of zero over takeovers, and that each mutant overshoots.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	variants := []struct {
		name                   string
		adopt, full, unsettled bool
	}{
		{"minter", true, false, false},
		{"mutant: running work not adopted", false, false, false},
		{"mutant: opened full", true, true, false},
		{"mutant: outstanding not counted", true, false, true},
	}
	for n, v := range variants {
		worst, beyond := 0.0, 0
		for run := range *runs {
			over := takeover(t, uint64(*seed)*1000+uint64(run), v.adopt, v.full, v.unsettled)
			worst = max(worst, over)
			if over > 0 {
				beyond++
			}
		}
		t.Logf("%-34s: %3d of %d runs overshoot, worst %.1f tokens", v.name, beyond, *runs, worst)
		if n == 0 && worst != 0 {
			t.Errorf("overshoot of %v tokens", worst)
		}
		if n > 0 && worst == 0 {
			t.Errorf("%s: the check sees no overshoot", v.name)
		}
	}
}

// TestRecoveryAfterTakeover counts the refusals inside the rate after a takeover, and asserts none where the level was
// handed over.
func TestRecoveryAfterTakeover(t *testing.T) {
	const taken, end = 25 * time.Second, 60 * time.Second
	for _, handed := range []bool{true, false} {
		for _, load := range []float64{0.5, 0.9} {
			soon, late, asked := 0, 0, 0
			for run := range 20 {
				current := open(t, 0, rate, burst)
				b := newBench(uint64(*seed)*1000+uint64(run), func(int) *minter.Minter { return current })
				asked += b.demand(10*time.Second, end, load, func(time.Duration) int { return 0 })
				b.after(taken, func(now time.Duration) {
					old := current
					current = succeed(t, now, old, burst, true, false)
					if handed {
						current.Restore(now, old.Level())
					}
				})
				b.run(math.MaxInt64)
				for _, r := range b.refused {
					if r.at < taken+5*time.Second {
						soon++
					} else {
						late++
					}
				}
			}
			t.Logf("load %.1f, level handed over %-5v: %d asked, %d refused until 5 s after the takeover, %d later",
				load, handed, asked, soon, late)
			if handed && soon+late != 0 {
				t.Errorf("load %.1f: %d refused inside the rate", load, soon+late)
			}
		}
	}
}

// TestSmallReservationsDoNotStarveALargeOne asserts the order of grants, and what age, lower bursts and overruns do.
func TestSmallReservationsDoNotStarveALargeOne(t *testing.T) {
	m := &minter.Minter{MaxAge: time.Minute}
	if err := m.Open(0, newAccount(10, 100), 1); err != nil {
		t.Fatal(err)
	}
	for n, tokens := range []int64{100, 1, 1} {
		if wait, err := m.Reserve(0, fmt.Sprint(n), tokens, 20*time.Second); wait == 0 || err != nil {
			t.Errorf("reservation %d: %v %v", n, wait, err)
		}
	}
	requireAdvance(t, m, 10*time.Second-1, "[] [] 1ns")
	requireAdvance(t, m, 10*time.Second, "[0] [] 100ms")
	requireAdvance(t, m, 11*time.Second, "[] [] 100ms")
	if err := m.Settle(11*time.Second, "0", 1); err != nil {
		t.Error(err)
	}
	requireAdvance(t, m, 12*time.Second, "[1] [] 100ms")
	requireAdvance(t, m, 21*time.Second, "[] [2] 0s")
	requireAdvance(t, m, 71*time.Second, "[] [] 0s")
	if wait, err := m.Reserve(71*time.Second, "3", 10, 0); wait != 0 || err != nil {
		t.Errorf("after the first reservation aged: %v %v", wait, err)
	}
	if err := m.Settle(71*time.Second, "3", 12); err == nil {
		t.Error("overrun passed over")
	}
	if _, err := m.Reserve(71*time.Second, "4", 50, time.Minute); err != nil {
		t.Error(err)
	}
	if err := m.Change(71*time.Second, newAccount(10, 40)); err != nil {
		t.Error(err)
	}
	requireAdvance(t, m, 72*time.Second, "[] [4] 0s")
}

func requireAdvance(t *testing.T, m *minter.Minter, now time.Duration, want string) {
	t.Helper()
	granted, refused, next := m.Advance(now)
	if got := fmt.Sprint(granted, refused, next); got != want {
		t.Errorf("at %v: got %s, want %s", now, got, want)
	}
}

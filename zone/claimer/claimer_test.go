package claimer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/claimer"
)

var (
	seed   = flag.Uint64("seed", 1, "seed of the random runs")
	rounds = flag.Int("rounds", 60, "number of random runs")
)

const (
	lease       = 3 * time.Second
	timeStep    = 20 * time.Millisecond
	numVMs      = 6
	numEngines  = 4
	runDuration = 90 * time.Second
	// minHealthyTime is the least time between the end of a partition and the start of the next, unless partitionsShift is set.
	minHealthyTime = 8 * time.Second
	// settleTime is how long a VM collects claims before it claims engines itself.
	settleTime = 1200 * time.Millisecond
	// minUptime is how long a VM must have been up before a partition to know the VMs on the other side.
	minUptime = 5 * time.Second
)

// simulation is a fleet on virtual time: VMs that pause, restart and are partitioned, and engines that count their orders.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	name         string
	now          time.Duration
	vms          [numVMs]*vm
	currentSides [numVMs]int
	// orderCounts holds each engine's order count over time, to simulate delayed reports.
	orderCounts [numEngines][]countChange
	lastOrders  [numEngines]order
	claimCount  int
	orderCount  int
	// partitionsShift lets a partition replace another at any time. Otherwise each ends at partitionEnd, and the next starts
	// at least minHealthyTime later.
	partitionsShift bool
	partitionStart  time.Duration
	partitionEnd    time.Duration
	// listRNG draws when VMs miss engines in what is published, as after the platform came back from a copy; nil draws nothing.
	listRNG *rand.Rand
	// missingUntil is the time until which a VM misses an engine.
	missingUntil [numVMs][numEngines]time.Duration
	// events is the log that a failed run prints.
	events []string
}

func (m *simulation) logEvent(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%7.2f ", m.now.Seconds())+fmt.Sprintf(format, args...))
}

// fail prints the events that concern the engine and ends the test.
func (m *simulation) fail(e int, format string, args ...any) {
	for _, line := range m.events {
		if !strings.Contains(line, "engine_") || strings.Contains(line, engineName(e)) {
			m.t.Log(line)
		}
	}
	m.t.Fatalf(m.name+": "+format, args...)
}

type countChange struct {
	at    time.Duration
	count int64
}

type order struct {
	vm    string
	at    time.Duration
	fence int64
}

type vm struct {
	id                 string
	claimer            claimer.Claimer
	start              time.Duration
	pausedUntil        time.Duration
	heartbeats         map[string]time.Duration
	indirectHeartbeats map[string]time.Duration
	claims             map[string]fuchsiaspoke.EngineClaim
	nextTick           time.Duration
	downUntil          time.Duration
	leaving            bool
	// leavingPeers holds for each peer whether its last heartbeat said that it is shutting down.
	leavingPeers map[string]bool
}

func (m *simulation) restart(n int) {
	m.vms[n] = &vm{
		id: fmt.Sprint("vm_", n), start: m.now, claimer: claimer.Claimer{Lease: lease},
		heartbeats: map[string]time.Duration{}, indirectHeartbeats: map[string]time.Duration{},
		leavingPeers: map[string]bool{}, claims: map[string]fuchsiaspoke.EngineClaim{},
	}
}

func (m *simulation) connected(a, b int) bool { return m.currentSides[a] == m.currentSides[b] }

func engineName(n int) string { return fmt.Sprint("engine_", n) }

func (m *simulation) run() {
	for n := range numVMs {
		m.restart(n)
	}
	for m.now = 0; m.now < runDuration; m.now += timeStep {
		m.injectFault()
		m.injectMissingEngine()
		for n, v := range m.vms {
			if m.now >= v.pausedUntil && m.now >= v.downUntil && m.now >= v.nextTick {
				v.nextTick = m.now + 100*time.Millisecond
				m.broadcastHeartbeat(n)
				m.tick(n)
			}
			if m.now >= v.pausedUntil && m.now >= v.downUntil {
				m.sendOrders(v)
			}
		}
	}
}

// injectFault partitions or reconnects the fleet, or pauses or restarts a VM, at random.
func (m *simulation) injectFault() {
	before := m.currentSides
	defer func() {
		if m.currentSides != before {
			m.logEvent("sides %v", m.currentSides)
		}
	}()
	if !m.partitionsShift && m.now >= m.partitionEnd {
		m.currentSides = [numVMs]int{}
	}
	switch m.rng.IntN(250) {
	case 0:
		m.partition(func(int) int { return m.rng.IntN(2) })
	case 1:
		if m.partitionsShift {
			m.currentSides = [numVMs]int{}
		}
	case 2:
		isolated := m.rng.IntN(numVMs)
		m.partition(func(n int) int {
			if n == isolated {
				return 1
			}
			return 0
		})
	case 3:
		v := m.vms[m.rng.IntN(numVMs)]
		v.pausedUntil = m.now + time.Duration(m.rng.IntN(5000))*time.Millisecond
		m.logEvent("%s pauses until %v", v.id, v.pausedUntil)
	case 4:
		n := m.rng.IntN(numVMs)
		if !m.partitionsShift && m.currentSides != ([numVMs]int{}) && !m.sidesHaveLongRunningVM(m.currentSides, n) {
			return
		}
		m.restart(n)
		m.logEvent("%s restarts", m.vms[n].id)
		m.vms[n].downUntil = m.now + time.Duration(300+m.rng.IntN(3000))*time.Millisecond
	}
}

// injectMissingEngine removes an engine from what some of the VMs know as published, for a while that differs from VM to VM.
func (m *simulation) injectMissingEngine() {
	if m.listRNG == nil || m.listRNG.IntN(150) != 0 {
		return
	}
	e := m.listRNG.IntN(numEngines)
	for n := range numVMs {
		m.missingUntil[n][e] = m.now + time.Duration(max(m.listRNG.IntN(8000)-4000, 0))*time.Millisecond
	}
	m.logEvent("%s is missing until %v", engineName(e), m.missingUntil)
}

// partition divides the fleet. Unless partitionsShift is set, the partition has an end, and starts only after minHealthyTime.
func (m *simulation) partition(side func(n int) int) {
	if !m.partitionsShift && m.now < m.partitionEnd+minHealthyTime {
		return
	}
	m.partitionStart = m.now
	m.partitionEnd = m.now + 2*time.Second + time.Duration(m.rng.IntN(10_000))*time.Millisecond
	var sides [numVMs]int
	for n := range sides {
		sides[n] = side(n)
	}
	if !m.partitionsShift && !m.sidesHaveLongRunningVM(sides, -1) {
		return
	}
	m.currentSides = sides
}

// sidesHaveLongRunningVM reports whether each side has a VM, other than except, that was up for minUptime before the partition.
func (m *simulation) sidesHaveLongRunningVM(sides [numVMs]int, except int) bool {
	var have, need [2]bool
	partitionAt := m.now
	if m.currentSides != ([numVMs]int{}) {
		partitionAt = m.partitionStart
	}
	for n, v := range m.vms {
		need[sides[n]] = true
		if n != except && v.start+minUptime < partitionAt && v.downUntil < partitionAt {
			have[sides[n]] = true
		}
	}
	return have == need || have == [2]bool{true, true}
}

func (m *simulation) broadcastHeartbeat(from int) {
	v := m.vms[from]
	for n, other := range m.vms {
		if n == from || !m.connected(from, n) || m.rng.IntN(20) == 0 || m.now < other.pausedUntil || m.now < other.downUntil {
			continue
		}
		other.heartbeats[v.id] = m.now
		other.leavingPeers[v.id] = v.leaving
		for id, at := range v.heartbeats {
			if id != other.id {
				other.indirectHeartbeats[id] = max(other.indirectHeartbeats[id], at)
			}
		}
		for e := range numEngines {
			if fence, owned := v.claimer.Ownership(engineName(e)); owned {
				other.claims[engineName(e)] = fuchsiaspoke.EngineClaim{
					Engine: engineName(e), VM: v.id, Fence: fence, ReceivedAt: m.now,
				}
			}
		}
	}
}

func (m *simulation) tick(n int) {
	v := m.vms[n]
	view := claimer.FleetView{
		Self: v.id, Settled: m.now-v.start > settleTime, SettlesIn: max(settleTime-(m.now-v.start), 0), Leaving: v.leaving,
		ExpectsPeers: true, WallClock: m.now, Claims: v.claims,
	}
	for id, at := range v.heartbeats {
		view.Peers = append(view.Peers, claimer.Peer{
			ID: id, LastHeartbeat: at, Ready: !v.leavingPeers[id],
			Leaving: v.leavingPeers[id],
		})
	}
	for id, at := range v.indirectHeartbeats {
		if _, direct := v.heartbeats[id]; !direct {
			view.Peers = append(view.Peers, claimer.Peer{ID: id, LastHeartbeat: at, Indirect: true})
		}
	}
	for e := range numEngines {
		if m.now >= m.missingUntil[n][e] {
			view.Engines = append(view.Engines, engineName(e))
		}
	}
	decision := v.claimer.Tick(m.now, view)
	m.claimCount += len(decision.Claim)
	for _, id := range decision.Claim {
		m.logEvent("%s claims %s", v.id, id)
	}
	for _, d := range decision.Release {
		m.logEvent("%s releases %s: %s", v.id, d.Engine, d.Reason)
	}
	for _, id := range decision.Poll {
		for e := range numEngines {
			if engineName(e) == id {
				v.claimer.RecordOrderCount(m.now, id, 1, m.laggedOrderCount(e))
			}
		}
	}
}

// laggedOrderCount returns the engine's order count as of up to 400 ms ago.
func (m *simulation) laggedOrderCount(e int) int64 {
	asOf := m.now - time.Duration(m.rng.IntN(400))*time.Millisecond
	count := int64(0)
	for _, c := range m.orderCounts[e] {
		if c.at <= asOf {
			count = c.count
		}
	}
	return count
}

// sendOrders sends orders at random to the engines that the VM owns, and checks the lease and the fencing numbers.
func (m *simulation) sendOrders(v *vm) {
	for e := range numEngines {
		fence, owned := v.claimer.Ownership(engineName(e))
		if !owned || !v.claimer.Fresh(m.now) || m.rng.IntN(60) != 0 {
			continue
		}
		before := m.lastOrders[e]
		if before.vm != "" && before.vm != v.id && m.now-before.at < lease {
			m.fail(e, "%s received an order from %s %v after one from %s, at %v", engineName(e), v.id, m.now-before.at,
				before.vm, m.now)
		}
		if before.fence > fence {
			m.fail(e, "%s received an order with fence %d after one with fence %d", engineName(e), fence, before.fence)
		}
		m.logEvent("%s sends an order to %s with fence %d", v.id, engineName(e), fence)
		m.lastOrders[e] = order{v.id, m.now, fence}
		m.orderCounts[e] = append(m.orderCounts[e], countChange{m.now, int64(len(m.orderCounts[e]) + 1)})
		v.claimer.RecordOrder(m.now, engineName(e))
		m.orderCount++
	}
}

// VMs pause, restart and are partitioned at random. A second owner must not send an order within the lease of the first.
func TestNoEngineIsOrderedInTurns(t *testing.T) {
	runSimulations(t, false, false)
}

// Like TestNoEngineIsOrderedInTurns, while VMs differ in which engines they know as published.
func TestNoEngineIsOrderedInTurnsWhileListsDiffer(t *testing.T) {
	runSimulations(t, false, true)
}

// Like TestNoEngineIsOrderedInTurns, but partitions replace each other every few seconds.
func TestNoEngineIsOrderedInTurnsWhileCutsShift(t *testing.T) {
	runSimulations(t, true, false)
}

func runSimulations(t *testing.T, partitionsShift, listsDiffer bool) {
	orders, claims := 0, 0
	for n := range *rounds {
		m := &simulation{
			t: t, partitionsShift: partitionsShift, rng: rand.New(rand.NewPCG(*seed, uint64(n))),
			name: fmt.Sprintf("seed %d, round %d", *seed, n),
		}
		if listsDiffer {
			m.listRNG = rand.New(rand.NewPCG(*seed, uint64(1000+n)))
		}
		m.run()
		orders += m.orderCount
		claims += m.claimCount
	}
	if orders < 1000 || claims < 50 {
		t.Fatalf("%d orders and %d claims are too few for a meaningful result", orders, claims)
	}
	t.Logf("%d orders, %d claims", orders, claims)
}

// newSettledFleet starts a fleet and runs it for 10 s without faults.
func newSettledFleet(t *testing.T) *simulation {
	m := &simulation{t: t, rng: rand.New(rand.NewPCG(*seed, 99)), name: "takeover"}
	for n := range numVMs {
		m.restart(n)
	}
	m.runWithoutFaults(10*time.Second, func(int) bool { return true })
	return m
}

// runWithoutFaults runs the VMs that are alive until the given time.
func (m *simulation) runWithoutFaults(until time.Duration, alive func(int) bool) {
	for ; m.now < until; m.now += timeStep {
		for n, v := range m.vms {
			if alive(n) && m.now >= v.nextTick {
				v.nextTick = m.now + 100*time.Millisecond
				m.broadcastHeartbeat(n)
				m.tick(n)
			}
			if alive(n) {
				m.sendOrders(v)
			}
		}
	}
}

// ownerOf returns the VM that owns the engine, or -1 if none does.
func (m *simulation) ownerOf(e int) int {
	for n, v := range m.vms {
		if _, owned := v.claimer.Ownership(engineName(e)); owned {
			return n
		}
	}
	return -1
}

// VMs shut down one after another (incident inc-8cb2). The time limit is the lease, the lag of an engine's report, the read
// that returns it, the claimer's margin for that lag, and a tick.
func TestEngineIsClaimedAfterOwnerShutsDown(t *testing.T) {
	for e := range numEngines {
		m := newSettledFleet(t)
		stopping := m.ownerOf(e)
		if stopping < 0 {
			t.Fatal("no VM owns the engine after 10 s")
		}
		m.vms[stopping].leaving = true
		m.runWithoutFaults(m.now+lease+1500*time.Millisecond, func(int) bool { return true })
		if next := m.ownerOf(e); next < 0 || next == stopping {
			t.Errorf("%s: owned by %d after the shutdown of its owner", engineName(e), next)
		}
	}
}

// All processes are killed at once and restart after 500 ms (incident inc-ec05).
func TestEnginesAreClaimedAfterAllVMsRestart(t *testing.T) {
	m := newSettledFleet(t)
	m.now += 500 * time.Millisecond
	for n := range numVMs {
		m.restart(n)
	}
	m.runWithoutFaults(m.now+lease+1200*time.Millisecond, func(int) bool { return true })
	for e := range numEngines {
		if m.ownerOf(e) < 0 {
			t.Errorf("%s: no owner", engineName(e))
		}
	}
}

// When a large fleet starts, each VM at first ranks highest among the few peers that it knows, and would poll all engines.
func TestVMDoesNotPollEnginesLongBeforeItSettles(t *testing.T) {
	c := claimer.Claimer{Lease: lease}
	view := claimer.FleetView{Self: "vm_1", ExpectsPeers: true, Engines: []string{"engine_0", "engine_1"}}
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		view.SettlesIn = 10*time.Second - now
		view.Peers = []claimer.Peer{{ID: "vm_2", LastHeartbeat: now}}
		if decision := c.Tick(now, view); len(decision.Poll) > 0 || len(decision.Claim) > 0 {
			t.Fatalf("%v after the start: decision %+v, want no polls and no claims", now, decision)
		}
	}
}

func TestEngineIsClaimedAfterOwnerDies(t *testing.T) {
	m := newSettledFleet(t)
	owner := m.ownerOf(0)
	if owner < 0 {
		t.Fatal("no VM owns the engine after 10 s")
	}
	// The limit covers the peer timeout, the required stable time, the new owner's turn, and the next read and tick.
	m.runWithoutFaults(m.now+10*time.Second, func(n int) bool { return n != owner })
	for n, v := range m.vms {
		if _, owned := v.claimer.Ownership(engineName(0)); owned && n != owner {
			return
		}
	}
	t.Fatal("no VM owns the engine 10 s after its owner died")
}

// All VMs are killed after one of them has sent orders, so that nobody remembers its fencing token (soak seed 306).
func TestFencesRiseAfterAllVMsWereKilled(t *testing.T) {
	const startedAtMs = 1_780_000_000_000
	wallClock := startedAtMs * time.Millisecond
	last, orders := int64(0), int64(0)
	for n := range 20 {
		c := claimer.Claimer{Lease: lease}
		fence, claimed := int64(0), false
		for now := time.Duration(0); now < 10*time.Second && !claimed; now += 100 * time.Millisecond {
			view := claimer.FleetView{
				Self: fmt.Sprint("vm_", n), Settled: true, Engines: []string{"engine_0"}, WallClock: wallClock + now,
			}
			for _, id := range c.Tick(now, view).Poll {
				c.RecordOrderCount(now, id, startedAtMs, orders)
			}
			fence, claimed = c.Ownership("engine_0")
		}
		if !claimed || fence <= last {
			t.Fatalf("owner %d: claimed %v with fence %d after one with fence %d", n, claimed, fence, last)
		}
		if fence >= 1<<53 {
			t.Fatalf("fence %d is not exact as a JSON number", fence)
		}
		wallClock += 10 * time.Second
		last = fence
		if n%2 == 0 {
			orders++
		}
	}
}

// An engine restarts under its id, so that its order count begins again.
func TestFencesRiseAfterEngineRestarts(t *testing.T) {
	const startedAtMs = 1_780_000_000_000
	fenceOf := func(startedAtMs, orders int64) int64 {
		c := claimer.Claimer{Lease: lease}
		for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
			view := claimer.FleetView{
				Self: "vm_1", Settled: true, Engines: []string{"engine_0"},
				WallClock: time.Duration(startedAtMs)*time.Millisecond + now + time.Minute,
			}
			for _, id := range c.Tick(now, view).Poll {
				c.RecordOrderCount(now, id, startedAtMs, orders)
			}
		}
		fence, _ := c.Ownership("engine_0")
		return fence
	}
	if before, after := fenceOf(startedAtMs, 600), fenceOf(startedAtMs+60_000, 0); after <= before {
		t.Errorf("fence %d after a restart, %d before it", after, before)
	}
}

// A leaf that would rank highest for all engines must not read their order counts, as it never claims one.
func TestLeafNeitherPollsNorClaimsEngines(t *testing.T) {
	c := claimer.Claimer{Lease: lease}
	view := claimer.FleetView{Self: "vm_1", Settled: true, Leaf: true, Engines: []string{"engine_0", "engine_1"}}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		if decision := c.Tick(now, view); len(decision.Poll) > 0 || len(decision.Claim) > 0 {
			t.Fatalf("decision %+v of a leaf, want no polls and no claims", decision)
		}
	}
}

// Two VMs claim an engine at the same order count within a second. Their orders must bear different fences, whoever is right.
func TestFencesOfTwoOwnersDiffer(t *testing.T) {
	const startedAtMs, vms = 1_780_000_000_000, 12
	seen := map[int64]string{}
	for n := range vms {
		c := claimer.Claimer{Lease: lease}
		id := fmt.Sprintf("10.1.0.%d", 30+n)
		for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
			view := claimer.FleetView{Self: id, Settled: true, Engines: []string{"engine_0"}, WallClock: startedAtMs*time.Millisecond + 30*time.Second}
			for _, e := range c.Tick(now, view).Poll {
				c.RecordOrderCount(now, e, startedAtMs, 7)
			}
		}
		fence, claimed := c.Ownership("engine_0")
		if other := seen[fence]; !claimed || other != "" {
			t.Errorf("%s: claimed %v with fence %d, as %s did", id, claimed, fence, other)
		}
		seen[fence] = id
	}
}

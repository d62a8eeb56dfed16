package leaser

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	length   = 5 * time.Second
	slowTick = length / 8
	fastTick = length / 50
	// readableLists is the number of newest lists of which a read from the platform returns one.
	readableLists = 3
)

// simulation runs leasers in virtual time, and checks that no resource has two holders and that fencing tokens increase.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	seq   int
	queue events
	vms   map[string]*process
	// vmIDs lists the keys of vms in the order of creation, so that runs with one seed are equal.
	vmIDs            []string
	lists            []fuchsiaspoke.VMList
	createdVMs       int
	grantorCount     int
	faults           faults
	abandonTimeout   time.Duration
	lossProbability  float64
	delayProbability float64
	// noRandomFaults disables random pauses, duplicate messages, stale reads of the list and gaps in renewals, and shortens the
	// tick interval. Links that a test cuts stay cut.
	noRandomFaults bool
	// frequentFailure is the kind of failure that is injected most often.
	frequentFailure int
	// maxFailureInterval is the longest time between failures.
	maxFailureInterval time.Duration
	cutLinks           map[[2]string]bool
	resources          []string
	lastAcquired       map[string]acquired
	violation          string
	stats              stats
}

// stats counts events, to show that a run exercised the protocol.
type stats struct {
	acquired, transfers, restarts, lists, pauses, retirements int
}

type acquired struct {
	incarnation string
	fence       int64
}

// process is the running incarnation of a VM. Its clock shows clockOffset at startedAt and runs clockRate times as fast as the
// simulation's.
type process struct {
	id            string
	leaser        *Leaser
	startedAt     time.Duration
	clockOffset   time.Duration
	clockRate     float64
	alive         bool
	listed        bool
	pausedTo      time.Duration
	deferredSteps []func(now time.Duration)
	wanted        []string
	// checkedExpiry is the expiry of each lease, on the clock of the process, at the last check of the invariants.
	checkedExpiry map[string]time.Duration
}

func (p *process) localTime(t time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(t-p.startedAt)*p.clockRate)
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(seed int64, vms, grantorCount int, faults faults, noRandomFaults bool) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), vms: map[string]*process{}, grantorCount: grantorCount, faults: faults, noRandomFaults: noRandomFaults,
		cutLinks: map[[2]string]bool{}, resources: []string{"replica", "budget"}, lastAcquired: map[string]acquired{},
	}
	var members []fuchsiaspoke.VM
	for range vms {
		members = append(members, s.newVM())
	}
	s.lists = []fuchsiaspoke.VMList{{Revision: 1, VMs: members}}
	for _, vm := range members {
		s.start(vm.ID)
	}
	return s
}

func (s *simulation) newVM() fuchsiaspoke.VM {
	s.createdVMs++
	return fuchsiaspoke.VM{ID: fmt.Sprintf("vm%02d", s.createdVMs), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone", s.createdVMs%3))}
}

func (s *simulation) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

// start starts a new incarnation of a VM, without the state of the previous one.
func (s *simulation) start(id string) {
	p := s.vms[id]
	if p == nil {
		p = &process{id: id, listed: true}
		s.vms[id] = p
		s.vmIDs = append(s.vmIDs, id)
	}
	s.seq++
	p.leaser = &Leaser{
		Self: id, Incarnation: fmt.Sprint(id, "-", s.seq), Group: "group", Length: length, MaxGrantors: s.grantorCount,
		AbandonTimeout: s.abandonTimeout, faults: s.faults,
	}
	p.startedAt = s.now
	p.clockOffset = time.Duration(s.rng.Int63n(int64(time.Hour)))
	p.clockRate = 1 + (s.rng.Float64()-0.5)/maxDriftDivisor*0.98
	p.alive = true
	p.pausedTo = 0
	p.deferredSteps = nil
	p.checkedExpiry = map[string]time.Duration{}
	p.wanted = s.resources
	s.pollPlatform(p, p.leaser)
	s.tick(p, p.leaser)
}

// runStep runs a step of a process, or defers it to the end of the pause if the process is paused.
func (s *simulation) runStep(p *process, l *Leaser, step func(now time.Duration)) {
	if !p.alive || p.leaser != l {
		return
	}
	if s.now < p.pausedTo {
		p.deferredSteps = append(p.deferredSteps, step)
		return
	}
	if !s.noRandomFaults && s.rng.Intn(3000) == 0 {
		s.pauseDuring(p, l, step)
		return
	}
	step(p.localTime(s.now))
	s.checkInvariants(p)
}

// pauseDuring pauses a process between reading its clock for a step and running the step.
func (s *simulation) pauseDuring(p *process, l *Leaser, step func(now time.Duration)) {
	s.stats.pauses++
	stale := p.localTime(s.now)
	p.pausedTo = s.now + time.Duration(s.rng.Int63n(int64(3*length)))
	detectsPause := s.rng.Intn(2) == 0
	s.schedule(p.pausedTo, func() {
		if !p.alive || p.leaser != l {
			return
		}
		step(stale)
		s.checkInvariants(p)
		if detectsPause {
			l.DropLeases()
		}
		deferredSteps := p.deferredSteps
		p.deferredSteps = nil
		for _, step := range deferredSteps {
			step(p.localTime(s.now))
			s.checkInvariants(p)
		}
	})
}

func (s *simulation) tick(p *process, l *Leaser) {
	s.runStep(p, l, func(now time.Duration) {
		before := l.retired
		s.send(p, l.BuildRequests(now, p.wanted))
		if l.retired > before {
			s.stats.retirements++
		}
		if !s.noRandomFaults {
			s.changeWanted(p, now)
		}
	})
	if p.alive && p.leaser == l {
		every := slowTick
		if s.noRandomFaults {
			every = fastTick
		}
		s.schedule(s.now+every/2+time.Duration(s.rng.Int63n(int64(every))), func() { s.tick(p, l) })
	}
}

// changeWanted occasionally releases leases, or stops renewing them for a while.
func (s *simulation) changeWanted(p *process, now time.Duration) {
	switch s.rng.Intn(100) {
	case 0:
		s.send(p, p.leaser.Release(now, p.wanted))
	case 1, 2, 3, 4, 5:
		p.wanted = nil
	case 6, 7, 8:
		p.wanted = s.resources
	}
}

// pollPlatform lets a process read the list from the platform, which may return an older list than before.
func (s *simulation) pollPlatform(p *process, l *Leaser) {
	s.runStep(p, l, func(now time.Duration) {
		newest := len(s.lists) - 1
		index := newest
		if !s.noRandomFaults {
			index = max(0, newest-s.rng.Intn(readableLists))
		}
		l.Adopt(now, s.lists[index])
	})
	next := time.Duration(s.rng.Int63n(int64(2 * length)))
	if !s.noRandomFaults && s.rng.Intn(3) == 0 {
		next *= 6
	}
	if p.alive && p.leaser == l {
		s.schedule(s.now+next, func() { s.pollPlatform(p, l) })
	}
}

func (s *simulation) send(p *process, requests []fuchsiaspoke.LeaseRequest) {
	for _, request := range requests {
		s.transmit(p.id, request.To, func() {
			to := s.vms[request.To]
			s.runStep(to, to.leaser, func(now time.Duration) { s.reply(to, p, now, request) })
		})
	}
}

func (s *simulation) reply(from, to *process, now time.Duration, request fuchsiaspoke.LeaseRequest) {
	response := from.leaser.HandleRequest(now, request)
	s.transmit(from.id, to.id, func() {
		l := to.leaser
		s.runStep(to, l, func(now time.Duration) { l.HandleResponse(now, response) })
	})
}

// transmit delivers a message after a delay, more than once, or not at all.
func (s *simulation) transmit(from, to string, deliver func()) {
	copies := 1
	if from != to && (s.cutLinks[[2]string{from, to}] || s.rng.Float64() < s.lossProbability) {
		copies = 0
	}
	if !s.noRandomFaults && s.rng.Intn(50) == 0 {
		copies++
	}
	for range copies {
		delay := time.Duration(s.rng.Int63n(int64(2 * time.Millisecond)))
		if s.rng.Float64() < s.delayProbability {
			delay = time.Duration(s.rng.Int63n(int64(2 * length)))
		}
		s.schedule(s.now+delay, func() {
			if s.vms[to] != nil {
				deliver()
			}
		})
	}
}

// checkInvariants asserts the invariants after a step of p; no other process can have acquired or extended a lease in it.
func (s *simulation) checkInvariants(p *process) {
	for _, resource := range s.resources {
		lease, held := p.leaser.Held(p.localTime(s.now), resource)
		if !held || p.checkedExpiry[resource] == lease.Until {
			continue
		}
		p.checkedExpiry[resource] = lease.Until
		for _, id := range s.vmIDs {
			s.checkNotHeldBy(p, s.vms[id], resource)
		}
		s.recordAcquired(resource, acquired{p.leaser.Incarnation, lease.Fence})
	}
}

// holders returns the holder of each held resource.
func (s *simulation) holders() map[string]string {
	holders := map[string]string{}
	for _, id := range s.vmIDs {
		p := s.vms[id]
		for _, resource := range s.resources {
			if _, held := p.leaser.Held(p.localTime(s.now), resource); held && p.alive {
				holders[resource] = id
			}
		}
	}
	return holders
}

// checkNotHeldBy records a violation if the other process holds the resource, which p holds.
func (s *simulation) checkNotHeldBy(p, other *process, resource string) {
	if p == other || !other.alive {
		return
	}
	if _, held := other.leaser.Held(other.localTime(s.now), resource); held {
		s.recordViolation("%v has two holders: %v and %v with active revisions %v and %v", resource, p.id, other.id,
			p.leaser.revisions, other.leaser.revisions)
	}
}

// recordAcquired records a violation if the fencing token of a newly acquired lease is not higher than the previous one's.
func (s *simulation) recordAcquired(resource string, a acquired) {
	lastAcquired := s.lastAcquired[resource]
	if a == lastAcquired {
		return
	}
	if a.fence <= lastAcquired.fence {
		s.recordViolation("%v: fencing token %v of %v is not higher than %v of %v", resource, a.fence, a.incarnation, lastAcquired.fence, lastAcquired.incarnation)
	}
	s.stats.acquired++
	if a.incarnation != lastAcquired.incarnation {
		s.stats.transfers++
	}
	s.lastAcquired[resource] = a
}

// recordViolation stores the first violation of an invariant, which ends the run.
func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// run processes events until the given time or the first violation of an invariant.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.violation == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// injectFailure injects a random failure and schedules the next one.
func (s *simulation) injectFailure() {
	kind := s.rng.Intn(4)
	if s.rng.Intn(2) == 0 {
		kind = s.frequentFailure
	}
	switch kind {
	case 0:
		s.partition()
	case 1:
		clear(s.cutLinks)
	case 2:
		s.restart(s.vmIDs[s.rng.Intn(len(s.vmIDs))])
	case 3:
		s.publish()
	}
	s.schedule(s.now+time.Duration(s.rng.Int63n(int64(s.maxFailureInterval))), s.injectFailure)
}

// partition cuts links in one or both directions, at random, between two groups, or around one VM.
func (s *simulation) partition() {
	clear(s.cutLinks)
	side := map[string]bool{}
	for _, id := range s.vmIDs {
		side[id] = s.rng.Intn(2) == 0
	}
	kind := s.rng.Intn(4)
	isolated := s.vmIDs[s.rng.Intn(len(s.vmIDs))]
	for _, a := range s.vmIDs {
		for _, b := range s.vmIDs {
			if a == b {
				continue
			}
			switch kind {
			case 0:
				s.cutLinks[[2]string{a, b}] = side[a] != side[b]
			case 1:
				s.cutLinks[[2]string{a, b}] = side[a] && !side[b]
			case 2:
				s.cutLinks[[2]string{a, b}] = s.rng.Intn(4) == 0
			case 3:
				s.cutLinks[[2]string{a, b}] = a == isolated || b == isolated
			}
		}
	}
}

// restart starts a new incarnation of a VM, unless at least half of the grantors of a list in use would then be without state
// at once, which the protocol assumes not to happen.
func (s *simulation) restart(id string) {
	p := s.vms[id]
	if !p.alive || !p.listed {
		return
	}
	for _, list := range s.listsInUse() {
		grantors := s.grantors(list)
		if !slices.Contains(grantors, id) {
			continue
		}
		if s.countUnready(grantors, id) > (len(grantors)-1)/2 {
			return
		}
	}
	s.stats.restarts++
	s.start(id)
}

// countUnready counts the grantors that are alive but not ready, including the given one.
func (s *simulation) countUnready(grantors []string, id string) int {
	count := 0
	for _, member := range grantors {
		p := s.vms[member]
		if member == id || p.alive && !p.leaser.ready {
			count++
		}
	}
	return count
}

// listsInUse returns the lists that are active at a process or that the platform may still return.
func (s *simulation) listsInUse() []fuchsiaspoke.VMList {
	var lists []fuchsiaspoke.VMList
	for i, list := range s.lists {
		used := i >= len(s.lists)-readableLists-1
		for _, p := range s.vms {
			used = used || p.alive && slices.Contains(p.leaser.revisions, list.Revision)
		}
		if used {
			lists = append(lists, list)
		}
	}
	return lists
}

func (s *simulation) grantors(list fuchsiaspoke.VMList) []string {
	return ranker.Ranker{}.SelectAcrossZones("group", list.VMs, s.grantorCount)
}

// publish publishes a list that replaces up to all VMs but one. At least one of its grantors is ready, as the protocol assumes.
// Replaced VMs keep running for a while.
func (s *simulation) publish() {
	old := s.lists[len(s.lists)-1].VMs
	vms := slices.Clone(old)
	s.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	replaced := s.rng.Intn(len(vms))
	if s.rng.Intn(2) == 0 {
		replaced = min(replaced, 1)
	}
	createdVMs := s.createdVMs
	for i := range replaced {
		vms[i] = s.newVM()
	}
	next := fuchsiaspoke.VMList{Revision: s.lists[len(s.lists)-1].Revision + 1, VMs: vms}
	isReady := func(id string) bool {
		p := s.vms[id]
		return p != nil && p.alive && p.leaser.ready
	}
	if !slices.ContainsFunc(s.grantors(next), isReady) {
		s.createdVMs = createdVMs
		return
	}
	s.stats.lists++
	s.lists = append(s.lists, next)
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		if s.vms[vm.ID] == nil {
			s.start(vm.ID)
		}
	}
	for _, id := range s.vmIDs {
		p := s.vms[id]
		if p.listed && !listed[id] {
			p.listed = false
			s.schedule(s.now+time.Duration(s.rng.Int63n(int64(8*length))), func() { p.alive = false })
		}
	}
}

func (s *stats) add(other stats) {
	s.acquired += other.acquired
	s.transfers += other.transfers
	s.restarts += other.restarts
	s.lists += other.lists
	s.pauses += other.pauses
	s.retirements += other.retirements
}

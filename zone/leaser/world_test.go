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
	// keptLists is how far the platform's answers may lie back.
	keptLists = 3
)

// world runs leasers on virtual true time, and asserts that no resource has two holders and that fences rise.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	vms     map[string]*process
	order   []string
	lists   []fuchsiaspoke.VMList
	made    int
	size    int
	faults  faults
	abandon time.Duration
	loss    float64
	slow    float64
	calm    bool
	// bias is the kind of failure that comes most.
	bias int
	// pace is the longest time between failures.
	pace      time.Duration
	cut       map[[2]string]bool
	resources []string
	last      map[string]acquired
	failure   string
	stats     stats
}

// stats shows that a run was not idle.
type stats struct {
	acquired, handed, restarts, lists, pauses, seals int
}

type acquired struct {
	by    string
	fence int64
}

// process is one incarnation of a VM.
type process struct {
	id       string
	leaser   *Leaser
	born     time.Duration
	offset   time.Duration
	rate     float64
	alive    bool
	listed   bool
	pausedTo time.Duration
	inbox    []func(now time.Duration)
	wants    []string
	until    map[string]time.Duration
}

func (p *process) local(t time.Duration) time.Duration {
	return p.offset + time.Duration(float64(t-p.born)*p.rate)
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

func newWorld(seed int64, vms, size int, faults faults, calm bool) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), vms: map[string]*process{}, size: size, faults: faults, calm: calm,
		cut: map[[2]string]bool{}, resources: []string{"replica", "budget"}, last: map[string]acquired{},
	}
	var members []fuchsiaspoke.VM
	for range vms {
		members = append(members, w.newVM())
	}
	w.lists = []fuchsiaspoke.VMList{{Revision: 1, VMs: members}}
	for _, vm := range members {
		w.start(vm.ID)
	}
	return w
}

func (w *world) newVM() fuchsiaspoke.VM {
	w.made++
	return fuchsiaspoke.VM{ID: fmt.Sprintf("vm%02d", w.made), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone", w.made%3))}
}

func (w *world) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, run})
}

// start begins a new incarnation, which remembers nothing.
func (w *world) start(id string) {
	p := w.vms[id]
	if p == nil {
		p = &process{id: id, listed: true}
		w.vms[id] = p
		w.order = append(w.order, id)
	}
	w.seq++
	p.leaser = &Leaser{
		Self: id, Incarnation: fmt.Sprint(id, "-", w.seq), Group: "group", Length: length, CouncilSize: w.size,
		Abandon: w.abandon, faults: w.faults,
	}
	p.born = w.now
	p.offset = time.Duration(w.rng.Int63n(int64(time.Hour)))
	p.rate = 1 + (w.rng.Float64()-0.5)/driftDivisor*0.98
	p.alive = true
	p.pausedTo = 0
	p.inbox = nil
	p.until = map[string]time.Duration{}
	p.wants = w.resources
	w.poll(p, p.leaser)
	w.tick(p, p.leaser)
}

// handle runs a step of a process, after its pause if it is asleep.
func (w *world) handle(p *process, l *Leaser, step func(now time.Duration)) {
	if !p.alive || p.leaser != l {
		return
	}
	if w.now < p.pausedTo {
		p.inbox = append(p.inbox, step)
		return
	}
	if !w.calm && w.rng.Intn(3000) == 0 {
		w.pauseWithin(p, l, step)
		return
	}
	step(p.local(w.now))
	w.check(p)
}

// pauseWithin puts a process to sleep after it read its clock for the step and before it took it.
func (w *world) pauseWithin(p *process, l *Leaser, step func(now time.Duration)) {
	w.stats.pauses++
	stale := p.local(w.now)
	p.pausedTo = w.now + time.Duration(w.rng.Int63n(int64(3*length)))
	notices := w.rng.Intn(2) == 0
	w.at(p.pausedTo, func() {
		if !p.alive || p.leaser != l {
			return
		}
		step(stale)
		w.check(p)
		if notices {
			l.Forget()
		}
		inbox := p.inbox
		p.inbox = nil
		for _, step := range inbox {
			step(p.local(w.now))
			w.check(p)
		}
	})
}

func (w *world) tick(p *process, l *Leaser) {
	w.handle(p, l, func(now time.Duration) {
		before := l.floor
		w.send(p, l.Ask(now, p.wants))
		if l.floor > before {
			w.stats.seals++
		}
		if !w.calm {
			w.change(p, now)
		}
	})
	if p.alive && p.leaser == l {
		every := slowTick
		if w.calm {
			every = fastTick
		}
		w.at(w.now+every/2+time.Duration(w.rng.Int63n(int64(every))), func() { w.tick(p, l) })
	}
}

// change now and then releases leases, or lets them lapse for a while.
func (w *world) change(p *process, now time.Duration) {
	switch w.rng.Intn(100) {
	case 0:
		w.send(p, p.leaser.Release(now, p.wants))
	case 1, 2, 3, 4, 5:
		p.wants = nil
	case 6, 7, 8:
		p.wants = w.resources
	}
}

// poll lets a process read the platform, which may give an older list than before or none.
func (w *world) poll(p *process, l *Leaser) {
	w.handle(p, l, func(now time.Duration) {
		newest := len(w.lists) - 1
		pick := newest
		if !w.calm {
			pick = max(0, newest-w.rng.Intn(keptLists))
		}
		l.Adopt(now, w.lists[pick])
	})
	next := time.Duration(w.rng.Int63n(int64(2 * length)))
	if !w.calm && w.rng.Intn(3) == 0 {
		next *= 6
	}
	if p.alive && p.leaser == l {
		w.at(w.now+next, func() { w.poll(p, l) })
	}
}

func (w *world) send(p *process, asks []fuchsiaspoke.LeaseAsk) {
	for _, ask := range asks {
		w.pass(p.id, ask.To, func() {
			to := w.vms[ask.To]
			w.handle(to, to.leaser, func(now time.Duration) { w.reply(to, p, now, ask) })
		})
	}
}

func (w *world) reply(from, to *process, now time.Duration, ask fuchsiaspoke.LeaseAsk) {
	answer := from.leaser.Answer(now, ask)
	w.pass(from.id, to.id, func() {
		l := to.leaser
		w.handle(to, l, func(now time.Duration) { l.Hear(now, answer) })
	})
}

// pass delivers a message late, twice, or not at all.
func (w *world) pass(from, to string, deliver func()) {
	copies := 1
	if from != to && (w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss) {
		copies = 0
	}
	if !w.calm && w.rng.Intn(50) == 0 {
		copies++
	}
	for range copies {
		delay := time.Duration(w.rng.Int63n(int64(2 * time.Millisecond)))
		if w.rng.Float64() < w.slow {
			delay = time.Duration(w.rng.Int63n(int64(2 * length)))
		}
		w.at(w.now+delay, func() {
			if w.vms[to] != nil {
				deliver()
			}
		})
	}
}

// check asserts the invariants after a step of p, which alone can have begun or prolonged a lease.
func (w *world) check(p *process) {
	for _, resource := range w.resources {
		lease, held := p.leaser.Held(p.local(w.now), resource)
		if !held || p.until[resource] == lease.Until {
			continue
		}
		p.until[resource] = lease.Until
		for _, id := range w.order {
			w.checkPair(p, w.vms[id], resource)
		}
		w.note(resource, acquired{p.leaser.Incarnation, lease.Fence})
	}
}

// holders returns the holder of each held resource.
func (w *world) holders() map[string]string {
	holders := map[string]string{}
	for _, id := range w.order {
		p := w.vms[id]
		for _, resource := range w.resources {
			if _, held := p.leaser.Held(p.local(w.now), resource); held && p.alive {
				holders[resource] = id
			}
		}
	}
	return holders
}

func (w *world) checkPair(p, other *process, resource string) {
	if p == other || !other.alive {
		return
	}
	if _, held := other.leaser.Held(other.local(w.now), resource); held {
		w.fail("%v has two holders: %v and %v with chains %v and %v", resource, p.id, other.id,
			p.leaser.revisions, other.leaser.revisions)
	}
}

func (w *world) note(resource string, a acquired) {
	last := w.last[resource]
	if a == last {
		return
	}
	if a.fence <= last.fence {
		w.fail("%v: fence %v of %v follows fence %v of %v", resource, a.fence, a.by, last.fence, last.by)
	}
	w.stats.acquired++
	if a.by != last.by {
		w.stats.handed++
	}
	w.last[resource] = a
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// run goes on until the time or the first failure.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.failure == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// disturb brings in a random failure now and then.
func (w *world) disturb() {
	kind := w.rng.Intn(4)
	if w.rng.Intn(2) == 0 {
		kind = w.bias
	}
	switch kind {
	case 0:
		w.partition()
	case 1:
		clear(w.cut)
	case 2:
		w.restart(w.order[w.rng.Intn(len(w.order))])
	case 3:
		w.publish()
	}
	w.at(w.now+time.Duration(w.rng.Int63n(int64(w.pace))), w.disturb)
}

// partition cuts links in one direction or both, at random or between two sides.
func (w *world) partition() {
	clear(w.cut)
	side := map[string]bool{}
	for _, id := range w.order {
		side[id] = w.rng.Intn(2) == 0
	}
	kind := w.rng.Intn(4)
	lone := w.order[w.rng.Intn(len(w.order))]
	for _, a := range w.order {
		for _, b := range w.order {
			if a == b {
				continue
			}
			switch kind {
			case 0:
				w.cut[[2]string{a, b}] = side[a] != side[b]
			case 1:
				w.cut[[2]string{a, b}] = side[a] && !side[b]
			case 2:
				w.cut[[2]string{a, b}] = w.rng.Intn(4) == 0
			case 3:
				w.cut[[2]string{a, b}] = a == lone || b == lone
			}
		}
	}
}

// restart takes a process's memory, unless a majority of a council would be without at once, which is assumed not to happen.
func (w *world) restart(id string) {
	p := w.vms[id]
	if !p.alive || !p.listed {
		return
	}
	for _, list := range w.inUse() {
		council := w.council(list)
		if !slices.Contains(council, id) {
			continue
		}
		if w.forgetful(council, id) > (len(council)-1)/2 {
			return
		}
	}
	w.stats.restarts++
	w.start(id)
}

// forgetful counts the members that live without memory, the given one included.
func (w *world) forgetful(council []string, id string) int {
	count := 0
	for _, member := range council {
		p := w.vms[member]
		if member == id || p.alive && !p.leaser.ready {
			count++
		}
	}
	return count
}

// inUse returns the lists that a process counts majorities in or may still read from the platform.
func (w *world) inUse() []fuchsiaspoke.VMList {
	var lists []fuchsiaspoke.VMList
	for i, list := range w.lists {
		used := i >= len(w.lists)-keptLists-1
		for _, p := range w.vms {
			used = used || p.alive && slices.Contains(p.leaser.revisions, list.Revision)
		}
		if used {
			lists = append(lists, list)
		}
	}
	return lists
}

func (w *world) council(list fuchsiaspoke.VMList) []string {
	return ranker.Ranker{}.Council("group", list.VMs, w.size)
}

// publish replaces up to all VMs but one, and keeps a member with memory in the council, as is assumed; the replaced live on.
func (w *world) publish() {
	old := w.lists[len(w.lists)-1].VMs
	vms := slices.Clone(old)
	w.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	replaced := w.rng.Intn(len(vms))
	if w.rng.Intn(2) == 0 {
		replaced = min(replaced, 1)
	}
	made := w.made
	for i := range replaced {
		vms[i] = w.newVM()
	}
	next := fuchsiaspoke.VMList{Revision: w.lists[len(w.lists)-1].Revision + 1, VMs: vms}
	remembers := func(id string) bool {
		p := w.vms[id]
		return p != nil && p.alive && p.leaser.ready
	}
	if !slices.ContainsFunc(w.council(next), remembers) {
		w.made = made
		return
	}
	w.stats.lists++
	w.lists = append(w.lists, next)
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		if w.vms[vm.ID] == nil {
			w.start(vm.ID)
		}
	}
	for _, id := range w.order {
		p := w.vms[id]
		if p.listed && !listed[id] {
			p.listed = false
			w.at(w.now+time.Duration(w.rng.Int63n(int64(8*length))), func() { p.alive = false })
		}
	}
}

func (s *stats) add(other stats) {
	s.acquired += other.acquired
	s.handed += other.handed
	s.restarts += other.restarts
	s.lists += other.lists
	s.pauses += other.pauses
	s.seals += other.seals
}

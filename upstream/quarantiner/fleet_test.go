package quarantiner_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/quarantiner"
)

var seeds = flag.Uint64("seeds", 6, "number of simulated fleets of each kind")

const (
	step = 10 * time.Millisecond
	// restartTime is how long a crashed engine is down.
	restartTime = 3 * time.Second
	// crashesToKnow, knownAfter and maxFatalSends are the users' limit: that many requests with a part may be sent later than knownAfter
	// after that many crashes. Fleets with leaves have longer, as news takes more steps.
	crashesToKnow = 5
	// crashesOfRequest is crashesToKnow of one request that comes again.
	crashesOfRequest = 3
	knownAfter       = 3 * time.Second
	knownAfterLarge  = 4 * time.Second
	maxFatalSends    = 3
	smallFleet       = 12
	// soundFirst and soundSecond are the numbers of first and second parts of sound prompts.
	soundFirst, soundSecond = 3, 22
	fatal                   = "fatal"
)

// scenario is the load of a simulated fleet.
type scenario struct {
	vms, engines int
	// soundPerSecond and fatalPerSecond are rates of requests, fatalFirst means that the fatal part is the first one.
	soundPerSecond, fatalPerSecond float64
	fatalFirst                     bool
	// fatalLast means that the same request comes again and again, whose parts but for the last are sound.
	fatalLast bool
	// fatalContent means that the same request comes again and again, all of whose parts are sound. Of such a request fewer crashes are
	// allowed.
	fatalContent bool
	// callerRepeats is how often the callers of a fatal request repeat it, at other VMs, after half a second.
	callerRepeats int
	// otherCrashes are crashes a second of other causes, and massCrash the number of engines that end at once after 5 s.
	otherCrashes float64
	massCrash    int
	// restartVMs is whether all VMs lose what they know, in turn.
	restartVMs bool
	duration   time.Duration
}

// fleetSimulation plays VMs with real quarantiners, their heartbeats, and engines that crash.
type fleetSimulation struct {
	scenario
	rng     *rand.Rand
	now     time.Duration
	vms     []*quarantiner.Quarantiner
	engines []*engine
	logs    []string
	// pending are requests that have not begun, and returning those that their callers repeat.
	pending   []*request
	returning []returningRequest
	number    int

	crashes      []time.Duration
	fatalSends   []time.Duration
	soundSent    int
	soundRefused int
}

type engine struct {
	incarnation int
	downUntil   time.Duration
}

// returningRequest is a request that its caller sends once more.
type returningRequest struct {
	*request
	at time.Duration
}

type request struct {
	vm, engine int
	traits     []fuchsiaspoke.Trait
	fatal      bool
	begins     time.Duration
	repeated   bool
}

func newFleetSimulation(s scenario, seed uint64) *fleetSimulation {
	f := &fleetSimulation{scenario: s, rng: rand.New(rand.NewPCG(seed, 1))}
	for n := range s.vms {
		f.vms = append(f.vms, f.newVM(n))
	}
	for range s.engines {
		f.engines = append(f.engines, &engine{})
	}
	return f
}

func (f *fleetSimulation) newVM(n int) *quarantiner.Quarantiner {
	started := f.now
	return &quarantiner.Quarantiner{
		Self: fmt.Sprint("vm_", n), Clock: func() time.Duration { return f.now - started }, VMs: func() int { return f.scenario.vms },
		Log:   func(event string, kv ...any) { f.logs = append(f.logs, fmt.Sprint(f.now, " vm_", n, " ", event, kv)) },
		Count: func(string) {},
	}
}

func (f *fleetSimulation) run() {
	for f.now = step; f.now < f.duration; f.now += step {
		f.heartbeats()
		if f.arrives(f.soundPerSecond) {
			f.soundSent++
			if !f.send(f.soundRequest()) {
				f.soundRefused++
			}
		}
		if f.arrives(f.fatalPerSecond) {
			r := f.fatalRequest()
			for n := range f.callerRepeats {
				again := &request{vm: f.rng.IntN(len(f.vms)), traits: r.traits, fatal: true}
				f.returning = append(f.returning, returningRequest{again, f.now + time.Duration(n+1)*500*time.Millisecond})
			}
			f.send(r)
		}
		f.returning = slices.DeleteFunc(f.returning, func(r returningRequest) bool {
			if r.at <= f.now {
				f.send(r.request)
			}
			return r.at <= f.now
		})
		if f.arrives(f.otherCrashes) {
			f.crash(f.rng.IntN(len(f.engines)))
		}
		if f.now == 5*time.Second {
			for n := range f.massCrash {
				f.crash(n)
			}
		}
		if f.restartVMs && f.now%(2*time.Second) == 0 {
			n := int(f.now/(2*time.Second)) % len(f.vms)
			f.vms[n] = f.newVM(n)
		}
		f.beginRequests()
	}
}

func (f *fleetSimulation) arrives(perSecond float64) bool {
	return f.rng.Float64() < perSecond*step.Seconds()
}

func (f *fleetSimulation) soundRequest() *request {
	return f.newRequest(fmt.Sprint("first", f.rng.IntN(soundFirst)), fmt.Sprint("second", f.rng.IntN(soundSecond)))
}

func (f *fleetSimulation) fatalRequest() *request {
	parts := []string{"first0", fatal}
	if f.fatalFirst {
		parts = []string{fatal, fmt.Sprint("second", f.rng.IntN(soundSecond))}
	}
	r := f.newRequest(parts...)
	switch {
	case f.fatalLast:
		r.traits = traitsOf("", "first0", "second0", fatal)
	case f.fatalContent:
		r.traits = traitsOf(fatal, "first0", "second0")
	}
	r.fatal = true
	return r
}

// traitsOf returns the traits of a request with a body and parts.
func traitsOf(body string, parts ...string) []fuchsiaspoke.Trait {
	return fuchsiaspoke.Traits(fuchsiaspoke.AdmittedRequest{Demand: demandOf(parts...)}, fuchsiaspoke.Message{Body: []byte(body)})
}

func (f *fleetSimulation) newRequest(shared ...string) *request {
	f.number++
	traits := traitsOf("", append(shared, fmt.Sprint("own", f.number))...)
	return &request{vm: f.rng.IntN(len(f.vms)), traits: traits}
}

// send sends a request to an engine that is up, unless its prompt is refused.
func (f *fleetSimulation) send(r *request) bool {
	if f.vms[r.vm].Admit(r.traits).Held {
		return false
	}
	up := slices.DeleteFunc(slices.Collect(func(yield func(int) bool) {
		for n := range f.engines {
			if !yield(n) {
				return
			}
		}
	}), func(n int) bool { return f.engines[n].downUntil > f.now })
	if len(up) == 0 {
		return true
	}
	r.engine, r.begins = up[f.rng.IntN(len(up))], f.now+50*time.Millisecond+time.Duration(f.rng.Int64N(int64(400*time.Millisecond)))
	if r.fatal {
		f.fatalSends = append(f.fatalSends, f.now)
	}
	f.pending = append(f.pending, r)
	return true
}

// beginRequests lets the engines begin to answer, and crash on requests with the fatal part.
func (f *fleetSimulation) beginRequests() {
	slices.SortFunc(f.pending, func(a, b *request) int { return cmp.Compare(a.begins, b.begins) })
	for len(f.pending) > 0 && f.pending[0].begins <= f.now {
		r := f.pending[0]
		if r.fatal {
			f.crash(r.engine)
			continue
		}
		f.pending = f.pending[1:]
		f.vms[r.vm].RecordBegin(r.traits)
	}
}

// crash ends an engine's process. Requests that had not begun are repeated once, unless their prompt is suspected.
func (f *fleetSimulation) crash(n int) {
	e := f.engines[n]
	if e.downUntil > f.now {
		return
	}
	f.crashes = append(f.crashes, f.now)
	incarnation := fuchsiaspoke.ReplicaIncarnation{ID: fmt.Sprint("engine_", n), StartedAtMs: int64(e.incarnation)}
	e.incarnation, e.downUntil = e.incarnation+1, f.now+restartTime
	var lost []*request
	f.pending = slices.DeleteFunc(f.pending, func(r *request) bool {
		if r.engine == n {
			lost = append(lost, r)
		}
		return r.engine == n
	})
	for _, r := range lost {
		f.vms[r.vm].RecordCrash(incarnation, r.traits)
	}
	for _, r := range lost {
		if !r.repeated && !f.vms[r.vm].Suspected(r.traits) {
			r.repeated = true
			f.send(r)
		}
	}
}

// heartbeats exchanges evidence: small fleets all with all, large ones hubs with hubs, and each leaf with two hubs. One in fifty is lost.
func (f *fleetSimulation) heartbeats() {
	interval, hubs := 150*time.Millisecond, len(f.vms)
	if len(f.vms) > smallFleet {
		interval, hubs = 300*time.Millisecond, max(len(f.vms)/4, 4)
	}
	for n, vm := range f.vms {
		if (f.now+time.Duration(n)*step)%interval != 0 {
			continue
		}
		evidence := vm.Report().Report()
		for m := range f.vms {
			hub, leaf := min(n, m), max(n, m)
			exchange := leaf < hubs || hub < hubs && (hub == leaf%hubs || hub == (leaf+1)%hubs)
			if m != n && exchange && evidence != nil && f.rng.Float64() > 0.02 {
				f.vms[m].Merge(*evidence, vm.Self)
			}
		}
	}
}

// lateFatalSends counts the requests with the fatal part that were sent after it must be known.
func (f *fleetSimulation) lateFatalSends() int {
	last := crashesToKnow - 1
	if f.fatalContent || f.fatalLast {
		last = crashesOfRequest - 1
	}
	if len(f.crashes) <= last {
		return 0
	}
	known := f.crashes[last] + knownAfter
	if len(f.vms) > smallFleet {
		known = f.crashes[last] + knownAfterLarge
	}
	n := 0
	for _, at := range f.fatalSends {
		if at > known {
			n++
		}
	}
	return n
}

// expectFatalPartKnown fails the test if the fatal part is sent on. Where engines end for other causes too, the users' limit says nothing.
func (f *fleetSimulation) expectFatalPartKnown(t *testing.T) {
	t.Helper()
	last := f.fatalSends[len(f.fatalSends)-1]
	switch late := f.lateFatalSends(); {
	case f.otherCrashes > 0 || f.massCrash > 0:
		if last > f.duration/2 {
			t.Errorf("the last request with the part was sent %v into %v, %d in all", last, f.duration, len(f.fatalSends))
		}
	case late > maxFatalSends:
		t.Errorf("%d requests with the part were sent after it must be known, %d engines ended", late, len(f.crashes))
	}
}

func TestFatalPartIsKnownToAllVMsAndSoundOnesGoOn(t *testing.T) {
	small := scenario{vms: 7, engines: 12, soundPerSecond: 50, fatalPerSecond: 2, duration: 40 * time.Second}
	large := scenario{vms: 80, engines: 60, soundPerSecond: 90, fatalPerSecond: 5, duration: 40 * time.Second}
	for name, change := range map[string]func(s scenario) scenario{
		"second part":         func(s scenario) scenario { return s },
		"first part":          func(s scenario) scenario { s.fatalFirst = true; return s },
		"same content":        func(s scenario) scenario { s.fatalContent = true; return s },
		"same content, often": func(s scenario) scenario { s.fatalContent = true; s.fatalPerSecond *= 8; return s },
		"same content, few replicas": func(s scenario) scenario {
			s.fatalContent, s.engines, s.soundPerSecond = true, 3, 20
			return s
		},
		"callers repeat":            func(s scenario) scenario { s.callerRepeats = 2; return s },
		"same request":              func(s scenario) scenario { s.fatalLast = true; return s },
		"rare":                      func(s scenario) scenario { s.fatalPerSecond, s.duration = 0.4, 90*time.Second; return s },
		"often":                     func(s scenario) scenario { s.fatalPerSecond *= 8; return s },
		"few sound requests":        func(s scenario) scenario { s.soundPerSecond = 2; return s },
		"crashes of other causes":   func(s scenario) scenario { s.otherCrashes = 0.5; return s },
		"VMs restart":               func(s scenario) scenario { s.restartVMs = true; return s },
		"engines end at once first": func(s scenario) scenario { s.massCrash = s.engines / 3; return s },
	} {
		for size, s := range map[string]scenario{"small": small, "large": large} {
			for seed := range *seeds {
				t.Run(fmt.Sprint(name, "/", size, "/", seed), func(t *testing.T) {
					f := newFleetSimulation(change(s), seed)
					f.run()
					f.expectFatalPartKnown(t)
					if f.soundRefused > f.soundSent/20 {
						t.Errorf("%d of %d sound requests were refused", f.soundRefused, f.soundSent)
					}
					if t.Failed() {
						t.Log(f.logs)
					}
				})
			}
		}
	}
}

// Engines that end for other reasons put no part in quarantine, also where many end at once and where they come and go.
func TestCrashesOfOtherCausesPutNoPartInQuarantine(t *testing.T) {
	for name, s := range map[string]scenario{
		"one after the other": {vms: 7, engines: 12, soundPerSecond: 50, otherCrashes: 2, duration: 60 * time.Second},
		"many at once":        {vms: 7, engines: 12, soundPerSecond: 50, massCrash: 6, otherCrashes: 0.2, duration: 30 * time.Second},
		"large fleet":         {vms: 80, engines: 60, soundPerSecond: 90, otherCrashes: 5, duration: 60 * time.Second},
	} {
		for seed := range *seeds {
			f := newFleetSimulation(s, seed)
			f.run()
			if f.soundRefused > 0 {
				t.Errorf("%s, seed %d: %d of %d requests were refused: %v", name, seed, f.soundRefused, f.soundSent, f.logs)
			}
		}
	}
}

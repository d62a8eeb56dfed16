package roomgranter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/roomgranter"
)

const (
	slots = 6
	// learnTime is the users' time from which on a brittle replica lets fewer wait, and allowed the number of requests that it then turns away
	// in a second.
	learnTime = 3 * time.Second
	allowed   = 4
	// leastServed is the least share of what the replica can serve that must be served, where more come.
	leastServed = 0.7
	hop         = time.Millisecond
	// reportDelay is the time from a response until the VM that grants the room is told.
	reportDelay = 20 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	run func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is one replica, the VM that grants its room, and VMs that send to it, on virtual time.
type simulation struct {
	rng     *rand.Rand
	now     time.Duration
	events  queue
	granter roomgranter.RoomGranter
	// work is the mean time of a request, and places the number of requests that may wait after learnTime.
	work   time.Duration
	places int

	running int
	waiting []func()
	// deniedUntil holds when each VM may ask again.
	deniedUntil []time.Duration

	served   int
	rejected []time.Duration
}

func (s *simulation) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

// request has a VM ask for room and send a request if there is some.
func (s *simulation) request(vm int) {
	if s.now < s.deniedUntil[vm] {
		return
	}
	s.after(hop, func() {
		granted, wait := s.granter.Check(s.now, 1, slots, fuchsiaspoke.RampReport{})
		if !granted {
			s.after(hop, func() { s.deniedUntil[vm] = s.now + wait })
			return
		}
		sentAt := s.now + hop
		s.after(2*hop, func() { s.arrive(sentAt) })
	})
}

func (s *simulation) arrive(sentAt time.Duration) {
	places := 12
	if s.now > learnTime {
		places = s.places
	}
	answer := func(refused bool) {
		s.after(hop, func() {
			took := uint32((s.now - sentAt).Microseconds())
			s.after(reportDelay, func() {
				s.granter.Observe(s.now, 1, slots, fuchsiaspoke.RampReport{Outcomes: []fuchsiaspoke.RampOutcomeReport{{
					AgeMs: fuchsiaspoke.Milliseconds(s.now - sentAt), TookUs: took, Refused: refused,
				}}})
			})
		})
	}
	start := func() {
		s.running++
		s.after(time.Duration(float64(s.work)*(0.7+0.6*s.rng.Float64())), func() {
			s.running--
			s.served++
			answer(false)
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	switch {
	case s.running < slots:
		start()
	case len(s.waiting) < places:
		s.waiting = append(s.waiting, start)
	default:
		s.rejected = append(s.rejected, s.now)
		answer(true)
	}
}

// worstSecond returns the most requests that were turned away within a second, from learnTime on.
func (s *simulation) worstSecond() int {
	worst := 0
	for i, from := range s.rejected {
		n := 0
		for _, at := range s.rejected[i:] {
			if at-from < time.Second {
				n++
			}
		}
		if from > learnTime {
			worst = max(worst, n)
		}
	}
	return worst
}

// More requests come than the replica can serve, evenly from all VMs.
func TestBrittleReplicaTurnsFewRequestsAway(t *testing.T) {
	const length = 15 * time.Second
	for _, vms := range []int{1, 7, 80, 410} {
		for _, work := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond} {
			for _, places := range []int{2, 4, 12} {
				for _, load := range []float64{0.7, 1.5, 4} {
					s := &simulation{
						rng: rand.New(rand.NewPCG(uint64(vms), uint64(places))), work: work, places: places,
						deniedUntil: make([]time.Duration, vms),
					}
					capacity := slots / work.Seconds()
					var next func()
					next = func() {
						s.request(s.rng.IntN(vms))
						s.after(time.Duration(s.rng.ExpFloat64()/(load*capacity)*float64(time.Second)), next)
					}
					next()
					for len(s.events) > 0 && s.events[0].at < length {
						e := heap.Pop(&s.events).(event)
						s.now = e.at
						e.run()
					}
					could := min(load, 1) * capacity * length.Seconds()
					what := fmt.Sprintf("%d VMs, work %v, %d places, load %.1f: at most %d turned away in a second, %d of %.0f served",
						vms, work, places, load, s.worstSecond(), s.served, could)
					t.Log(what)
					if s.worstSecond() > allowed || float64(s.served) < leastServed*could {
						t.Error(what)
					}
				}
			}
		}
	}
}

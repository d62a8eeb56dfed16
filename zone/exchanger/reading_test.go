package exchanger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

const (
	// propagationLimit is the time within which a change must be in force on all VMs.
	propagationLimit = 2 * time.Second
	// readInterval is the time between two reads of a VM that reads the platform for others, and readers the number of these VMs.
	readInterval = 600 * time.Millisecond
	readers      = 3
	// vmsPerCall is the number of VMs for which the platform may be called once a second by VMs that don't read for others.
	vmsPerCall = 20
	// staleCheckInterval is the interval at which any other VM checks whether its state is stale.
	staleCheckInterval = 50 * time.Millisecond
	// maxHops is the largest number of links from a VM that reads the platform to any other VM: from a leaf to its hub, to another hub,
	// and to a leaf of that.
	maxHops = 3
	// extraDelay is how much longer than usual heartbeats take on a busy machine, and maxLinkDelay how long they take at most else.
	extraDelay   = 50 * time.Millisecond
	maxLinkDelay = 1900 * time.Microsecond
	// maxRoundingError is what ages rounded down to milliseconds lose on maxHops links.
	maxRoundingError = maxHops * time.Millisecond
)

func (v *simulatedVM) incarnation() string { return fmt.Sprintf("vm%05d_%04d", v.index, v.generation) }

// newWatcher returns a watcher with a state of the platform that no read has confirmed yet.
func (s *simulation) newWatcher(v *simulatedVM) *watcher.Watcher {
	w := &watcher.Watcher{
		PropagationLimit: propagationLimit, Clock: func() time.Duration { return s.now - v.started }, Log: func(string, ...any) {},
	}
	state := fuchsiaspoke.PublicationRelay{Revision: fuchsiaspoke.Revision{Epoch: 2, Number: 12345}, Whole: true}
	w.ApplyRelay(&fuchsiaspoke.Contract{Version: 17}, state, "platform")
	return w
}

// read lets a VM read the platform, unless it is turned away.
func (s *simulation) read(v *simulatedVM) {
	if !v.running || s.refused[v.id] {
		return
	}
	v.reads++
	r := fuchsiaspoke.Reading{Reader: fuchsiaspoke.ReaderID(v.incarnation()), Number: v.reads}
	s.readAt[r] = s.now
	v.watcher.ConfirmRevision(v.watcher.Published().Revision, r)
}

// readAlways lets a VM read the platform each readInterval.
func (s *simulation) readAlways(v *simulatedVM) {
	s.read(v)
	s.at(s.now+readInterval, func() { s.readAlways(v) })
}

// readWhenStale lets a VM read the platform whenever its state is stale.
func (s *simulation) readWhenStale(v *simulatedVM) {
	if v.watcher.Stale() {
		s.read(v)
	}
	s.at(s.now+staleCheckInterval, func() { s.readWhenStale(v) })
}

// startReading lets some hubs read the platform always, one after the other, and all other VMs when their state is stale. It returns
// these hubs.
func (s *simulation) startReading() []*simulatedVM {
	var out []*simulatedVM
	for _, v := range s.vms {
		if len(out) < readers && v.exchanger.Role().Hub {
			s.at(s.now+readInterval*time.Duration(len(out))/readers, func() { s.readAlways(v) })
			out = append(out, v)
			continue
		}
		s.at(s.now+time.Duration(s.rng.Int64N(int64(staleCheckInterval))), func() { s.readWhenStale(v) })
	}
	return out
}

// While nothing changes, VMs that don't read for others hardly call the platform, if those that do read in turns.
func TestFewVMsReadThePlatformAtRest(t *testing.T) {
	s := newSimulation(*fleetSize, 0.01)
	s.runUntil(12 * time.Second)
	s.startReading()
	s.runUntil(s.now + 3*time.Second)
	const seconds = 20
	clear(s.readAt)
	s.runUntil(s.now + seconds*time.Second)
	readsForOthers := int(readers * seconds * time.Second / readInterval)
	n := len(s.readAt) - readsForOthers
	t.Logf("%d calls by %d VMs that don't read for others in %d s", n, len(s.vms)-readers, seconds)
	if n > seconds*len(s.vms)/vmsPerCall {
		t.Errorf("%d calls, want at most one a second for each %d VMs", n, vmsPerCall)
	}
}

// refuseReaders runs a fleet whose heartbeats take 50 ms, has the platform turn away the VMs that read for all, and calls check each
// 100 ms after that.
func refuseReaders(t *testing.T, loss float64, check func(s *simulation)) {
	s := newSimulation(*fleetSize, loss)
	s.extraDelay = extraDelay
	s.runUntil(12 * time.Second)
	refused := s.startReading()
	s.runUntil(s.now + propagationLimit)
	for _, v := range refused {
		s.refused[v.id] = true
	}
	for end := s.now + 10*time.Second; s.now < end && !t.Failed(); s.runUntil(s.now + 100*time.Millisecond) {
		check(s)
	}
}

// age returns the time since the read that confirmed a VM's state, and what the VM assumes it to be.
func (s *simulation) age(v *simulatedVM) (age, assumed time.Duration) {
	p := v.watcher.Published()
	return s.now - s.readAt[p.Reading.WithAge(0)], s.now - v.started - p.ReadAt
}

func TestAgeOfStateIsKnownWhileReadersAreRefused(t *testing.T) {
	const maxError = maxHops*(extraDelay+maxLinkDelay) + maxRoundingError
	refuseReaders(t, 0, func(s *simulation) {
		for _, v := range s.vms {
			if age, assumed := s.age(v); assumed < age-maxError {
				t.Errorf("%v: %s takes its state for %v old, it is %v old", s.now, v.id, assumed, age)
			}
		}
	})
}

func TestStateStaysYoungWhileReadersAreRefused(t *testing.T) {
	refuseReaders(t, 0.1, func(s *simulation) {
		for _, v := range s.vms {
			if age, _ := s.age(v); age > propagationLimit && !s.refused[v.id] {
				t.Errorf("%v: the state of %s is %v old", s.now, v.id, age)
			}
		}
	})
}

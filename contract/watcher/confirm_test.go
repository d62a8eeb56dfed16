package watcher_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// lastReading is the only reading that VMs know of which can't read the platform any more.
var lastReading = fuchsiaspoke.Reading{Reader: 9, Number: 41}

// circle is a set of VMs that confirm each other's state by heartbeats and don't read the platform.
type circle struct {
	now time.Duration
	vms []*watcher.Watcher
}

// add adds a VM that has its state from a reader whose last read was at the start of the circle.
func (c *circle) add(reading fuchsiaspoke.Reading) *watcher.Watcher {
	w := &watcher.Watcher{
		Platform: &fakePlatform{}, PropagationLimit: changeLimit, Clock: func() time.Duration { return c.now }, Log: func(string, ...any) {},
	}
	w.ApplyRelay(&fuchsiaspoke.Contract{Version: 1}, fuchsiaspoke.PublicationRelay{Revision: revision(7), Whole: true, Reading: reading.Report()}, "reader")
	c.vms = append(c.vms, w)
	return w
}

// exchange passes a heartbeat of each VM to each other one; it arrives after the delay.
func (c *circle) exchange(delay time.Duration) {
	var sent []fuchsiaspoke.Reading
	for _, vm := range c.vms {
		p := vm.Published()
		sent = append(sent, p.Reading.WithAge(c.now-p.ReadAt))
	}
	c.now += delay
	for n, vm := range c.vms {
		for m, reading := range sent {
			if n != m {
				vm.ConfirmRevision(revision(7), reading)
			}
		}
	}
}

func (c *circle) requireStale(t *testing.T, without time.Duration) {
	t.Helper()
	for n, vm := range c.vms {
		if !vm.Stale() {
			t.Errorf("VM %d takes its state for %v old after %v without a read", n, c.now-vm.Published().ReadAt, without)
		}
	}
}

// Two VMs confirm each other's state while no VM can read the platform. Each heartbeat arrives some time after its age was taken, and
// that time must not make the state look younger: both VMs have to read the platform themselves within changeLimit.
func TestStateConfirmedInCirclesBecomesStale(t *testing.T) {
	const interval, delay = 300 * time.Millisecond, 200 * time.Millisecond
	c := &circle{now: time.Second}
	c.add(lastReading)
	c.add(lastReading)
	for end := c.now + changeLimit; c.now < end; c.now += interval - delay {
		c.exchange(delay)
	}
	c.requireStale(t, changeLimit)
}

// VMs that join, or that were restarted, hear of an old reading for the first time; that must not make it new for those that know it.
func TestStateConfirmedByVMsThatJoinBecomesStale(t *testing.T) {
	const delay = 20 * time.Millisecond
	c := &circle{now: time.Second}
	c.add(lastReading)
	for end := c.now + changeLimit; c.now < end; {
		p := c.vms[0].Published()
		c.add(p.Reading.WithAge(c.now - p.ReadAt))
		c.exchange(delay)
	}
	c.requireStale(t, changeLimit)
}

// A heartbeat that was under way for long, as to a VM that was suspended, makes its reading look young until another VM reports it.
func TestReadingThatArrivesLateIsCorrectedByOtherVMs(t *testing.T) {
	c := &circle{now: 5 * time.Second}
	w := c.add(lastReading)
	c.now += changeLimit
	w.ConfirmRevision(revision(7), fuchsiaspoke.Reading{Reader: lastReading.Reader, Number: lastReading.Number + 1})
	if w.Stale() {
		t.Fatal("state is stale although a new reading has just confirmed it")
	}
	w.ConfirmRevision(revision(7), fuchsiaspoke.Reading{Reader: lastReading.Reader, Number: lastReading.Number + 1, AgeMs: 1900})
	if !w.Stale() {
		t.Error("state is not stale although its last reading is known to be 1.9 s old")
	}
}

// Each read confirms the state, also one by a VM that was restarted and counts from 1 again; an earlier read of a reader does not.
func TestNewReadingConfirmsState(t *testing.T) {
	c := &circle{now: time.Second}
	w := c.add(lastReading)
	for _, test := range []struct {
		name    string
		reading fuchsiaspoke.Reading
		stale   bool
	}{
		{"the same read", lastReading, true},
		{"an earlier read", fuchsiaspoke.Reading{Reader: lastReading.Reader, Number: lastReading.Number - 1}, true},
		{"no read", fuchsiaspoke.Reading{}, true},
		{"the next read", fuchsiaspoke.Reading{Reader: lastReading.Reader, Number: lastReading.Number + 1}, false},
		{"the first read of a restarted reader", fuchsiaspoke.Reading{Reader: lastReading.Reader + 1, Number: 1}, false},
	} {
		c.now += changeLimit
		w.ConfirmRevision(revision(7), test.reading)
		if w.Stale() != test.stale {
			t.Errorf("%s: stale is %v, want %v", test.name, w.Stale(), test.stale)
		}
	}
}

// A VM was suspended while a heartbeat with a reading that no other VM tells again lay in its socket.
func TestReadingInHeartbeatThatLayInASocketIsNotTakenForNew(t *testing.T) {
	const suspended = 1500 * time.Millisecond
	c := &circle{now: 5 * time.Second}
	w := c.add(lastReading)
	heartbeat := func(uptime time.Duration, number uint32) fuchsiaspoke.VMState {
		r := fuchsiaspoke.Reading{Reader: 3, Number: number, AgeMs: 100}
		return fuchsiaspoke.VMState{Incarnation: "peer", Uptime: uptime, Revision: revision(7), Reading: r.Report()}
	}
	w.ObservePeer(heartbeat(time.Second, 1))
	c.now += time.Second + suspended
	w.ObservePeer(heartbeat(2*time.Second, 2))
	if !w.Stale() {
		t.Errorf("state counts as %v old, its reading was made %v ago", c.now-w.Published().ReadAt, suspended+100*time.Millisecond)
	}
}

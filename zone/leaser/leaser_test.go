package leaser

import (
	"flag"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

var (
	seed      = flag.Int64("seed", 1, "first seed of the random schedules")
	schedules = flag.Int64("schedules", 60, "number of random schedules")
)

// disturbed runs one random schedule of failures.
func disturbed(seed int64, faults faults) *world {
	rng := rand.New(rand.NewSource(seed))
	w := newWorld(seed, 3+rng.Intn(1+rng.Intn(7)), 3+2*rng.Intn(2), faults, false)
	w.loss = rng.Float64() * 0.2
	w.slow = rng.Float64() * 0.3
	w.bias = rng.Intn(4)
	w.pace = length << rng.Intn(3)
	w.at(3*length, w.disturb)
	w.run(30 * length)
	return w
}

func TestOneHolderUnderFailures(t *testing.T) {
	var sum stats
	for i := range *schedules {
		w := disturbed(*seed+i, faults{})
		if w.failure != "" {
			t.Fatalf("seed %d: %s", *seed+i, w.failure)
		}
		sum.add(w.stats)
	}
	t.Logf("%+v", sum)
	if least := int(*schedules); sum.handed < least || sum.restarts < least || sum.lists < least || sum.seals < least {
		t.Errorf("the schedules are too idle: %+v", sum)
	}
}

// forgetful restarts the one grantor that knows the fence of a holder which is then cut off from both others.
func forgetful(seed int64, faults faults) *world {
	w := newWorld(seed, 3, 3, faults, true)
	holder, witness, other := w.order[0], w.order[1], w.order[2]
	w.vms[witness].wants = nil
	w.vms[other].wants = nil
	w.cut[[2]string{holder, other}] = true
	w.cut[[2]string{other, holder}] = true
	w.run(2*length + time.Second)
	w.cut[[2]string{holder, witness}] = true
	w.cut[[2]string{witness, holder}] = true
	w.start(witness)
	w.vms[other].wants = w.resources
	w.run(6 * length)
	return w
}

// TestEachRuleIsNeeded switches off one rule at a time; schedules that pass with it must fail without.
func TestEachRuleIsNeeded(t *testing.T) {
	const tries = 400
	tests := []struct {
		name   string
		faults faults
		run    func(seed int64, faults faults) *world
		// from is a schedule near one that shows the fault.
		from int64
	}{
		{"skip chain check", faults{skipChainCheck: true}, disturbed, 33},
		{"count from answer", faults{countFromAnswer: true}, disturbed, 139},
		{"grant after restart", faults{grantAfterRestart: true}, disturbed, 85},
		{"grant without learning", faults{skipLearning: true}, forgetful, 1},
		{"seal at once", faults{sealAtOnce: true}, disturbed, 77},
		{"ignore old councils", faults{ignoreOldCouncils: true}, disturbed, 59},
		{"use fence at once", faults{skipFenceRound: true}, disturbed, 7},
		{"promise too short", faults{shortPromise: true}, disturbed, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for i := range int64(tries) {
				if tt.run(tt.from+i, tt.faults).failure == "" {
					continue
				}
				if w := tt.run(tt.from+i, faults{}); w.failure != "" {
					t.Fatalf("seed %d fails with the rule, too: %s", tt.from+i, w.failure)
				}
				t.Logf("shown by seed %d", tt.from+i)
				return
			}
			t.Errorf("no schedule from %d on shows the fault", tt.from)
		})
	}
}

func TestHeldSoon(t *testing.T) {
	for i := range *schedules / 3 {
		w := newWorld(*seed+i, 3+int(i%7), 5, faults{}, true)
		w.run(2*length + time.Second)
		held := w.holders()
		if len(held) != len(w.resources) {
			t.Fatalf("seed %d: held after a cold start: %v", *seed+i, held)
		}
		dead := held[w.resources[0]]
		w.vms[dead].alive = false
		w.run(w.now + length + time.Second)
		for _, resource := range w.resources {
			if holder := w.holders()[resource]; holder == "" || holder == dead {
				t.Errorf("seed %d: %s is held by %q after %s died", *seed+i, resource, holder, dead)
			}
		}
		if w.failure != "" {
			t.Fatalf("seed %d: %s", *seed+i, w.failure)
		}
	}
}

// TestAbandon starts with a dead VM in the list, and then replaces a majority of the council at once, which only silence for
// long enough can make up for.
func TestAbandon(t *testing.T) {
	const silence = 3 * length
	for _, abandon := range []time.Duration{0, silence} {
		w := newWorld(*seed, 5, 5, faults{}, true)
		w.abandon = abandon
		for _, p := range w.vms {
			p.leaser.Abandon = abandon
		}
		vms := slices.Clone(w.lists[0].VMs)
		w.vms[vms[0].ID].alive = false
		w.run(silence + 2*length)
		if held := len(w.holders()); (held == len(w.resources)) != (abandon > 0) {
			t.Errorf("abandon after %v: %d held after a cold start without one", abandon, held)
		}
		for i := range 3 {
			w.vms[vms[i].ID].alive = false
			vms[i] = w.newVM()
		}
		w.lists = append(w.lists, fuchsiaspoke.VMList{Revision: 2, VMs: vms})
		for i := range 3 {
			w.start(vms[i].ID)
		}
		w.run(w.now + silence + 5*length)
		if held := len(w.holders()); (held == len(w.resources)) != (abandon > 0) || w.failure != "" {
			t.Errorf("abandon after %v: %d held %s", abandon, held, w.failure)
		}
	}
}

// TestFullChainTakesFloor cuts a VM off while the platform publishes more lists than a chain holds.
func TestFullChainTakesFloor(t *testing.T) {
	const published = maxChain + 36
	vms := []fuchsiaspoke.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	l := Leaser{Self: "a", Incarnation: "a-1"}
	for revision := range int64(published) {
		l.Adopt(0, fuchsiaspoke.VMList{Revision: revision + 1, VMs: vms})
	}
	if len(l.Chain()) != maxChain {
		t.Fatalf("chain of %d lists", len(l.Chain()))
	}
	next := fuchsiaspoke.VMList{Revision: published + 1, VMs: vms}
	l.Hear(time.Second, fuchsiaspoke.LeaseAnswer{
		From: "b", Number: l.Ask(0, nil)[0].Number, Ready: true, Floor: published,
		Chain: []int64{next.Revision}, Lists: []fuchsiaspoke.VMList{next},
	})
	if chain := l.Chain(); !slices.Equal(chain, []int64{next.Revision}) {
		t.Errorf("chain %v after an answer with a floor above all", chain)
	}
}

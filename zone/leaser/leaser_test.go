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

// runRandomFailures runs one random schedule of failures.
func runRandomFailures(seed int64, faults faults) *simulation {
	rng := rand.New(rand.NewSource(seed))
	s := newSimulation(seed, 3+rng.Intn(1+rng.Intn(7)), 3+2*rng.Intn(2), faults, false)
	s.lossProbability = rng.Float64() * 0.2
	s.delayProbability = rng.Float64() * 0.3
	s.frequentFailure = rng.Intn(4)
	s.maxFailureInterval = length << rng.Intn(3)
	s.schedule(3*length, s.injectFailure)
	s.run(30 * length)
	return s
}

func TestResourceHasOneHolderUnderRandomFailures(t *testing.T) {
	var sum stats
	for i := range *schedules {
		s := runRandomFailures(*seed+i, faults{})
		if s.violation != "" {
			t.Fatalf("seed %d: %s", *seed+i, s.violation)
		}
		sum.add(s.stats)
	}
	t.Logf("%+v", sum)
	if minimum := int(*schedules); sum.transfers < minimum || sum.restarts < minimum || sum.lists < minimum || sum.retirements < minimum {
		t.Errorf("too few events in the schedules: %+v", sum)
	}
}

// runWitnessRestart restarts the only grantor that knows the holder's fencing token, after the holder is partitioned from both
// other VMs.
func runWitnessRestart(seed int64, faults faults) *simulation {
	s := newSimulation(seed, 3, 3, faults, true)
	holder, witness, other := s.vmIDs[0], s.vmIDs[1], s.vmIDs[2]
	s.vms[witness].wanted = nil
	s.vms[other].wanted = nil
	s.cutLinks[[2]string{holder, other}] = true
	s.cutLinks[[2]string{other, holder}] = true
	s.run(2*length + time.Second)
	s.cutLinks[[2]string{holder, witness}] = true
	s.cutLinks[[2]string{witness, holder}] = true
	s.start(witness)
	s.vms[other].wanted = s.resources
	s.run(6 * length)
	return s
}

// TestDisabledRuleViolatesInvariant disables one rule at a time: a schedule that passes with the rule must fail without it.
func TestDisabledRuleViolatesInvariant(t *testing.T) {
	const maxSchedules = 400
	tests := []struct {
		name   string
		faults faults
		run    func(seed int64, faults faults) *simulation
		// firstSeed is at or just below a seed whose schedule violates an invariant without the rule.
		firstSeed int64
	}{
		{"skip configuration check", faults{skipConfigCheck: true}, runRandomFailures, 33},
		{"count lease from response time", faults{countFromResponse: true}, runRandomFailures, 139},
		{"grant right after restart", faults{grantAfterRestart: true}, runRandomFailures, 85},
		{"grant without learning fencing tokens", faults{skipLearning: true}, runWitnessRestart, 1},
		{"retire without delay", faults{retireAtOnce: true}, runRandomFailures, 77},
		{"ignore old configurations", faults{ignoreOldConfigs: true}, runRandomFailures, 59},
		{"use fencing token before it is promised", faults{skipFenceRound: true}, runRandomFailures, 7},
		{"promise shorter than lease", faults{shortPromise: true}, runRandomFailures, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for i := range int64(maxSchedules) {
				if tt.run(tt.firstSeed+i, tt.faults).violation == "" {
					continue
				}
				if s := tt.run(tt.firstSeed+i, faults{}); s.violation != "" {
					t.Fatalf("seed %d: invariant is violated with the rule enabled: %s", tt.firstSeed+i, s.violation)
				}
				t.Logf("seed %d violates an invariant without the rule", tt.firstSeed+i)
				return
			}
			t.Errorf("no schedule from seed %d on violates an invariant without the rule", tt.firstSeed)
		})
	}
}

func TestResourcesAreHeldAfterColdStartAndHolderFailure(t *testing.T) {
	for i := range *schedules / 3 {
		s := newSimulation(*seed+i, 3+int(i%7), 5, faults{}, true)
		s.run(2*length + time.Second)
		held := s.holders()
		if len(held) != len(s.resources) {
			t.Fatalf("seed %d: holders after a cold start: %v, want one for each resource", *seed+i, held)
		}
		failed := held[s.resources[0]]
		s.vms[failed].alive = false
		s.run(s.now + length + time.Second)
		for _, resource := range s.resources {
			if holder := s.holders()[resource]; holder == "" || holder == failed {
				t.Errorf("seed %d: %s is held by %q after VM %s failed", *seed+i, resource, holder, failed)
			}
		}
		if s.violation != "" {
			t.Fatalf("seed %d: %s", *seed+i, s.violation)
		}
	}
}

// TestLeasesResumeOnlyWithAbandonTimeout starts with a failed VM in the list, then replaces three VMs at once, the failed one
// among them. The old configuration then has no majority left, so it can only be retired if grantors that don't respond within
// AbandonTimeout count as removed.
func TestLeasesResumeOnlyWithAbandonTimeout(t *testing.T) {
	const enabledTimeout = 3 * length
	for _, abandonTimeout := range []time.Duration{0, enabledTimeout} {
		s := newSimulation(*seed, 5, 5, faults{}, true)
		s.abandonTimeout = abandonTimeout
		for _, p := range s.vms {
			p.leaser.AbandonTimeout = abandonTimeout
		}
		vms := slices.Clone(s.lists[0].VMs)
		s.vms[vms[0].ID].alive = false
		s.run(enabledTimeout + 2*length)
		if held := len(s.holders()); (held == len(s.resources)) != (abandonTimeout > 0) {
			t.Errorf("abandon timeout %v: %d resources held after a cold start with one failed VM", abandonTimeout, held)
		}
		for i := range 3 {
			s.vms[vms[i].ID].alive = false
			vms[i] = s.newVM()
		}
		s.lists = append(s.lists, fuchsiaspoke.VMList{Revision: 2, VMs: vms})
		for i := range 3 {
			s.start(vms[i].ID)
		}
		s.run(s.now + enabledTimeout + 5*length)
		if held := len(s.holders()); (held == len(s.resources)) != (abandonTimeout > 0) || s.violation != "" {
			t.Errorf("abandon timeout %v: %d resources held after three VMs were replaced, violation %q", abandonTimeout, held, s.violation)
		}
	}
}

// TestResponseRetiresListsOfFullLeaser partitions a VM from its peers while the platform publishes more lists than can be
// active. A peer's response with a higher retired revision must still replace them.
func TestResponseRetiresListsOfFullLeaser(t *testing.T) {
	const published = maxActiveConfigs + 36
	vms := []fuchsiaspoke.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	l := Leaser{Self: "a", Incarnation: "a-1"}
	for revision := range int64(published) {
		l.Adopt(0, fuchsiaspoke.VMList{Revision: revision + 1, VMs: vms})
	}
	if len(l.ActiveRevisions()) != maxActiveConfigs {
		t.Fatalf("%d active lists, want the maximum", len(l.ActiveRevisions()))
	}
	next := fuchsiaspoke.VMList{Revision: published + 1, VMs: vms}
	l.HandleResponse(time.Second, fuchsiaspoke.LeaseResponse{
		From: "b", Number: l.BuildRequests(0, nil)[0].Number, Ready: true, RetiredRevision: published,
		ActiveRevisions: []int64{next.Revision}, Lists: []fuchsiaspoke.VMList{next},
	})
	if active := l.ActiveRevisions(); !slices.Equal(active, []int64{next.Revision}) {
		t.Errorf("active revisions %v after a response with a higher retired revision", active)
	}
}

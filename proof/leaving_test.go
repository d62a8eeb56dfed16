package proof

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

const (
	// leavingPropagationLimit is how long an upstream may still receive new work after it is published as leaving.
	leavingPropagationLimit = 3 * time.Second
	// requestedProfileCount is the number of profiles that the load uses.
	requestedProfileCount = 4
)

// publishLeaving publishes the upstreams, of which only those with the given IDs are marked as leaving.
func (f *fleet) publishLeaving(leavingIDs ...string) {
	f.t.Helper()
	upstreams := f.standIns.Upstreams()
	for i := range upstreams {
		for _, id := range leavingIDs {
			upstreams[i].Leaving = upstreams[i].Leaving || upstreams[i].ID == id
		}
	}
	requireNoError(f.t, f.standIns.PublishUpstreams(upstreams))
}

// startMixedLoad starts callers that send generations and status reads to random VMs until stopped.
func (f *fleet) startMixedLoad(callers int, stop chan struct{}) (wait func()) {
	var wg sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewSource(*seed*1000 + int64(caller)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				proc := f.vms[random.Intn(len(f.vms))]
				proc.do(shortClient, http.MethodPost, "/v1/completions", "newcomers", completionBody(fmt.Sprintf("guide_%d", random.Intn(requestedProfileCount)), 3))
				proc.do(shortClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "")
			}
		})
	}
	return wg.Wait
}

// countArrivals counts the runs and loads that reached the upstream in the interval, by the upstream's clock.
func countArrivals(records []record.Record, from, to time.Time) int {
	n := 0
	for _, r := range records {
		arrivedAt := r.Arrived
		if arrivedAt.IsZero() {
			arrivedAt = r.Start
		}
		if (r.Kind == "run" || r.Kind == "load") && arrivedAt.After(from) && arrivedAt.Before(to) {
			n++
		}
	}
	return n
}

// TestLeavingUpstreamGetsNoNewWork marks an engine and a plain service as leaving under load, and later publishes them as available
// again. New work must stop, running streams must complete, and work must resume.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, engines: 2, services: 2, engine: func(int) *engine.Engine {
		return &engine.Engine{StepBase: 80 * time.Millisecond}
	}})
	// This VM, the only one in its availability zone, can't read the platform and receives the change from its peers.
	f.vms[1].platformProxy.setClosed(true)
	stop := make(chan struct{})
	wait := f.startMixedLoad(8, stop)
	leavingEngine := f.standIns.Engines[0]
	f.eventually(10*time.Second, "both engines have received work", func() bool {
		return countArrivals(leavingEngine.Records(), time.Time{}, time.Now()) > 3 && countArrivals(f.standIns.Engines[1].Records(), time.Time{}, time.Now()) > 0
	})
	var streams [8]streamResult
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			streams[i] = f.vms[i%len(f.vms)].stream("hosts", fmt.Sprintf("guide_%d", i%requestedProfileCount))
		})
	}
	time.Sleep(400 * time.Millisecond)
	f.publishLeaving("engine_0", "service_0")
	leavingSince := time.Now()
	time.Sleep(2 * leavingPropagationLimit)
	wg.Wait()
	leavingUntil := time.Now()
	lateArrivals := countArrivals(leavingEngine.Records(), leavingSince.Add(leavingPropagationLimit), leavingUntil) + countArrivals(f.standIns.Services[0].Records(), leavingSince.Add(leavingPropagationLimit), leavingUntil)
	otherArrivals := countArrivals(f.standIns.Engines[1].Records(), leavingSince.Add(leavingPropagationLimit), leavingUntil) + countArrivals(f.standIns.Services[1].Records(), leavingSince.Add(leavingPropagationLimit), leavingUntil)
	lastRunDelay := lastRunDelayAfter(leavingSince, leavingEngine.Records(), f.standIns.Services[0].Records())
	complete, endedOnLeaving := 0, 0
	for i, s := range streams {
		if s.complete {
			complete++
		} else {
			t.Errorf("stream %d is incomplete: %d lines, the last is %s", i, s.lineCount, s.lastLine)
		}
	}
	for _, r := range leavingEngine.Records() {
		if r.Kind == "run" && r.Arrived.Before(leavingSince) && r.End.After(leavingSince) {
			endedOnLeaving++
			if r.Detail != "length" {
				t.Errorf("a run in progress on the leaving engine ended with %s, want length", r.Detail)
			}
		}
	}
	if lateArrivals > 0 || otherArrivals == 0 {
		t.Errorf("%d runs and loads arrived at the leaving upstreams later than %v after the publication (want 0), %d at the others (want at least 1)",
			lateArrivals, leavingPropagationLimit, otherArrivals)
	}
	f.publishLeaving()
	f.eventually(15*time.Second, "the engine and the service that no longer leave receive work", func() bool {
		now := time.Now()
		return countArrivals(leavingEngine.Records(), leavingUntil, now) > 0 && countArrivals(f.standIns.Services[0].Records(), leavingUntil, now) > 0
	})
	close(stop)
	wait()
	t.Logf("seed %d: the last run arrived at the leaving upstreams %v after the publication; %d runs and loads went to the others; %d of %d streams complete, %d runs ended on the leaving engine; work resumed within %v",
		*seed, lastRunDelay, otherArrivals, complete, len(streams), endedOnLeaving, time.Since(leavingUntil))
	if endedOnLeaving == 0 {
		t.Error("no run was in progress on the engine when it was published as leaving; the test proves nothing")
	}
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
}

// lastRunDelayAfter returns the time from after to the arrival of the last run at the upstreams, or 0 if none arrived later.
func lastRunDelayAfter(after time.Time, lists ...[]record.Record) time.Duration {
	delay := time.Duration(0)
	for _, records := range lists {
		for _, r := range records {
			at := r.Arrived
			if at.IsZero() {
				at = r.Start
			}
			if strings.HasPrefix(r.Kind, "run") && at.After(after) {
				delay = max(delay, at.Sub(after))
			}
		}
	}
	return delay
}

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
	// leftWithin is how long an upstream that is published as leaving may still get new work.
	leftWithin = 3 * time.Second
	// loadedGuides is the number of profiles that are asked for.
	loadedGuides = 4
)

// publishLeaving publishes the upstreams with the ones named as leaving.
func (f *fleet) publishLeaving(names ...string) {
	f.t.Helper()
	upstreams := f.world.Upstreams()
	for i := range upstreams {
		for _, name := range names {
			upstreams[i].Leaving = upstreams[i].Leaving || upstreams[i].ID == name
		}
	}
	must(f.t, f.world.PublishUpstreams(upstreams))
}

// load sends generations and status reads from several callers through all VMs until stopped.
func (f *fleet) load(callers int, stop chan struct{}) (wait func()) {
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
				m := f.vms[random.Intn(len(f.vms))]
				m.do(shortClient, http.MethodPost, "/v1/completions", "newcomers", completion(fmt.Sprintf("guide_%d", random.Intn(loadedGuides)), 3))
				m.do(shortClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "")
			}
		})
	}
	return wg.Wait
}

// begun counts the records of work that came to the upstream in the time, by its own clock.
func begun(records []record.Record, from, to time.Time) int {
	n := 0
	for _, r := range records {
		at := r.Arrived
		if at.IsZero() {
			at = r.Start
		}
		if (r.Kind == "run" || r.Kind == "load") && at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestLeavingUpstreamGetsNoNewWork lets an engine and a plain service leave under load, and come back.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t, shape{vms: 3, engines: 2, services: 2, engine: func(int) *engine.Engine {
		return &engine.Engine{StepBase: 80 * time.Millisecond}
	}})
	// The second zone's VM can't read the platform and hears of the change from its peers.
	f.vms[1].platform.set(true)
	stop := make(chan struct{})
	wait := f.load(8, stop)
	leaving := f.world.Engines[0]
	f.eventually(10*time.Second, "both engines work", func() bool {
		return begun(leaving.Records(), time.Time{}, time.Now()) > 3 && begun(f.world.Engines[1].Records(), time.Time{}, time.Now()) > 0
	})
	var streams [8]running
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() { streams[i] = f.vms[i%len(f.vms)].stream("hosts", fmt.Sprintf("guide_%d", i%loadedGuides)) })
	}
	time.Sleep(400 * time.Millisecond)
	f.publishLeaving("engine_0", "service_0")
	left := time.Now()
	time.Sleep(2 * leftWithin)
	wg.Wait()
	back := time.Now()
	late := begun(leaving.Records(), left.Add(leftWithin), back) + begun(f.world.Services[0].Records(), left.Add(leftWithin), back)
	other := begun(f.world.Engines[1].Records(), left.Add(leftWithin), back) + begun(f.world.Services[1].Records(), left.Add(leftWithin), back)
	last := lastArrival(left, leaving.Records(), f.world.Services[0].Records())
	whole, onLeaving := 0, 0
	for i, s := range streams {
		if s.whole {
			whole++
		} else {
			t.Errorf("stream %d was cut: %d parts, %s", i, s.parts, s.last)
		}
	}
	for _, r := range leaving.Records() {
		if r.Kind == "run" && r.Arrived.Before(left) && r.End.After(left) {
			onLeaving++
			if r.Detail != "length" {
				t.Errorf("running work of the leaving engine ended with %s", r.Detail)
			}
		}
	}
	if late > 0 || other == 0 {
		t.Errorf("%d pieces of work came to the leaving upstreams after %v, %d to the others", late, leftWithin, other)
	}
	f.publishLeaving()
	f.eventually(15*time.Second, "the engine and the service that came back get work", func() bool {
		now := time.Now()
		return begun(leaving.Records(), back, now) > 0 && begun(f.world.Services[0].Records(), back, now) > 0
	})
	close(stop)
	wait()
	t.Logf("seed %d: the leaving upstreams got their last work %v after the publication; %d pieces went to the others; %d of %d streams whole, %d runs ended on the leaving engine; work again %v after the return",
		*seed, last, other, whole, len(streams), onLeaving, time.Since(back))
	if onLeaving == 0 {
		t.Error("nothing ran on the leaving engine, so that nothing is shown")
	}
	f.checkEngines()
	f.checkNoWriteAndNoKey()
}

func lastArrival(after time.Time, lists ...[]record.Record) time.Duration {
	last := time.Duration(0)
	for _, records := range lists {
		for _, r := range records {
			at := r.Arrived
			if at.IsZero() {
				at = r.Start
			}
			if strings.HasPrefix(r.Kind, "run") && at.After(after) {
				last = max(last, at.Sub(after))
			}
		}
	}
	return last
}

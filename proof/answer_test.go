package proof

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// serviceAnswers counts what callers of the plain service got.
type serviceAnswers struct {
	mu           sync.Mutex
	whole, wrong int
	failed       int
	example      string
}

func (s *serviceAnswers) add(got answer, own func(record.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r record.Record
	switch {
	case got.status != http.StatusOK || got.err != nil:
		s.failed++
	case json.Unmarshal(got.body, &r) == nil && own(r):
		s.whole++
	default:
		s.wrong++
		s.example = string(got.body)
	}
}

// TestAnswersAreOwnAndWhole has engines and services answer late, crossed, twice and cut short, connections go silent for
// good, and the paths between VMs fall silent.
func TestAnswersAreOwnAndWhole(t *testing.T) {
	f := newFleet(t, shape{vms: 4, engines: 3, services: 2, engine: func(int) *engine.Engine {
		return &engine.Engine{StepBase: 12 * time.Millisecond}
	}})
	services := &serviceAnswers{}
	callers := f.generate(shortClient, 20, 8, 16)
	for n := range 6 {
		random := rand.New(rand.NewSource(*seed*2000 + int64(n)))
		callers.wg.Go(func() { f.callServices(random, n, callers.stop, services) })
	}
	f.muddle(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	all := callers.wait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(all)
	f.checkNotRun(all)
	f.checkEngines()
	f.checkNoWriteAndNoKey()
	t.Logf("seed %d: services: %d whole answers, %d errors, %d wrong", *seed, services.whole, services.failed, services.wrong)
	if services.wrong > 0 || services.whole == 0 {
		t.Errorf("wrong answers of services, as %s", services.example)
	}
}

// callServices reads and pays in turn through any VM.
func (f *fleet) callServices(random *rand.Rand, caller int, stop chan struct{}, told *serviceAnswers) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		m := f.vms[random.Intn(len(f.vms))]
		if n%2 == 0 {
			path := fmt.Sprintf("/status?caller=%d&n=%d", caller, n)
			got := m.do(shortClient, http.MethodGet, "/v1/services/booking"+path, "newcomers", "")
			told.add(got, func(r record.Record) bool { return r.Path == path && r.Method == http.MethodGet })
			continue
		}
		fee := fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, n)
		if key := tryIssue(m); key != "" {
			got := m.do(shortClient, http.MethodPost, "/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key)
			told.add(got, func(r record.Record) bool { return r.BodyHash == hash(fee) })
		}
	}
}

// muddle brings each fault of answers about, in an order of chance, again and again, and ends with none.
func (f *fleet) muddle(random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		for _, kind := range random.Perm(7) {
			f.muddleOnce(random, kind)
		}
	}
}

func (f *fleet) muddleOnce(random *rand.Rand, kind int) {
	late := int64(random.Intn(2) * 40)
	switch kind {
	case 0:
		f.setEngines(fault.Fault{Cross: true, LateMillis: late})
	case 1:
		f.setEngines(fault.Fault{Duplicate: true, LateMillis: late})
	case 2:
		f.setEngines(fault.Fault{TruncateAfter: 1 + int64(random.Intn(12)), LateMillis: late})
	case 3:
		f.setEngines(fault.Fault{Silence: true, LateMillis: late})
	case 4:
		f.setServices(fault.Fault{Silence: true, LateMillis: late})
	case 5:
		f.setServices(fault.Fault{TruncateAfter: 1 + int64(random.Intn(80)), LateMillis: late})
	case 6:
		a, b := f.vms[random.Intn(len(f.vms))].vm.ID, f.vms[random.Intn(len(f.vms))].vm.ID
		f.links.block(a, b, true)
		time.Sleep(between(random, 1500, 3000))
		f.links.block(a, b, false)
	}
	time.Sleep(between(random, 200, 800))
	f.setEngines(fault.Fault{})
	f.setServices(fault.Fault{})
}

func (f *fleet) setEngines(with fault.Fault) {
	for _, e := range f.world.Engines {
		e.SetFault(with)
	}
}

func (f *fleet) setServices(with fault.Fault) {
	for _, s := range f.world.Services {
		s.SetFault(with)
	}
}

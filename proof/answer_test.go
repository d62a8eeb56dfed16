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

// serviceResponses counts the responses of the plain services: correct, wrong, or failed.
type serviceResponses struct {
	mu             sync.Mutex
	correct, wrong int
	failed         int
	example        string
}

func (s *serviceResponses) add(got response, matchesRequest func(record.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r record.Record
	switch {
	case got.status != http.StatusOK || got.err != nil:
		s.failed++
	case json.Unmarshal(got.body, &r) == nil && matchesRequest(r):
		s.correct++
	default:
		s.wrong++
		s.example = string(got.body)
	}
}

// TestAnswersMatchTheirRequestsUnderResponseFaults checks that no caller receives another request's answer, or a truncated or
// duplicated one as complete, while upstreams delay, swap, duplicate and truncate chunks, connections to upstreams stop carrying
// data without being closed, and links between VMs drop all datagrams.
func TestAnswersMatchTheirRequestsUnderResponseFaults(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 4, engines: 3, services: 2, engine: func(int) *engine.Engine {
		return &engine.Engine{StepBase: 12 * time.Millisecond}
	}})
	services := &serviceResponses{}
	callers := f.startGenerations(shortClient, 20, 8, 16)
	for n := range 6 {
		random := rand.New(rand.NewSource(*seed*2000 + int64(n)))
		callers.wg.Go(func() { f.callServices(random, n, callers.stop, services) })
	}
	f.injectResponseFaults(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	results := callers.stopAndWait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(results)
	f.checkNotRun(results)
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
	t.Logf("seed %d: plain services: %d correct responses, %d failed, %d wrong", *seed, services.correct, services.failed, services.wrong)
	if services.wrong > 0 || services.correct == 0 {
		t.Errorf("plain services gave wrong responses or no correct one; last wrong response: %s", services.example)
	}
}

// callServices alternates status reads and payments, each through a random VM, until stopped.
func (f *fleet) callServices(random *rand.Rand, callerIndex int, stop chan struct{}, responses *serviceResponses) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		proc := f.vms[random.Intn(len(f.vms))]
		if n%2 == 0 {
			path := fmt.Sprintf("/status?caller=%d&n=%d", callerIndex, n)
			got := proc.do(shortClient, http.MethodGet, "/v1/services/booking"+path, "newcomers", "")
			responses.add(got, func(r record.Record) bool { return r.Path == path && r.Method == http.MethodGet })
			continue
		}
		fee := fmt.Sprintf(`{"caller":%d,"n":%d}`, callerIndex, n)
		if key := tryIssueIdempotencyKey(proc); key != "" {
			got := proc.do(shortClient, http.MethodPost, "/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key)
			responses.add(got, func(r record.Record) bool { return r.BodyHash == sha256Hex(fee) })
		}
	}
}

// injectResponseFaults injects each kind of response fault in random order, repeatedly, and ends with no fault set.
func (f *fleet) injectResponseFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		for _, kind := range random.Perm(7) {
			f.injectResponseFault(random, kind)
		}
	}
}

func (f *fleet) injectResponseFault(random *rand.Rand, kind int) {
	delayMillis := int64(random.Intn(2) * 40)
	switch kind {
	case 0:
		f.setEngineFault(fault.Fault{SendOtherRunsChunks: true, DelayMillis: delayMillis})
	case 1:
		f.setEngineFault(fault.Fault{Duplicate: true, DelayMillis: delayMillis})
	case 2:
		f.setEngineFault(fault.Fault{TruncateAfter: 1 + int64(random.Intn(12)), DelayMillis: delayMillis})
	case 3:
		f.setEngineFault(fault.Fault{StallConnections: true, DelayMillis: delayMillis})
	case 4:
		f.setServiceFault(fault.Fault{StallConnections: true, DelayMillis: delayMillis})
	case 5:
		f.setServiceFault(fault.Fault{TruncateAfter: 1 + int64(random.Intn(80)), DelayMillis: delayMillis})
	case 6:
		from, to := f.vms[random.Intn(len(f.vms))].vm.ID, f.vms[random.Intn(len(f.vms))].vm.ID
		f.links.setBlocked(from, to, true)
		time.Sleep(randomMillis(random, 1500, 3000))
		f.links.setBlocked(from, to, false)
	}
	time.Sleep(randomMillis(random, 200, 800))
	f.setEngineFault(fault.Fault{})
	f.setServiceFault(fault.Fault{})
}

func (f *fleet) setEngineFault(injected fault.Fault) {
	for _, e := range f.standIns.Engines {
		e.SetFault(injected)
	}
}

func (f *fleet) setServiceFault(injected fault.Fault) {
	for _, s := range f.standIns.Services {
		s.SetFault(injected)
	}
}

package proof

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// payment is one payment with the status and run field of each response; succeeded means that one had status 200.
type payment struct {
	body      string
	statuses  []int
	runs      []string
	succeeded bool
}

// TestPaymentsRunAtMostOnceUnderFailure has callers retry payments through random VMs while VMs are killed, suspended and
// partitioned, and services close connections.
func TestPaymentsRunAtMostOnceUnderFailure(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 5, engines: 1, services: 3})
	random := rand.New(rand.NewSource(*seed))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var payments []*payment
	for caller := range 12 {
		callerRandom := rand.New(rand.NewSource(random.Int63()))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				p := f.payWithRetries(callerRandom, fmt.Sprintf(`{"caller":%d,"fee":%d}`, caller, n))
				mu.Lock()
				payments = append(payments, p)
				mu.Unlock()
			}
		})
	}
	f.injectFaults(random, time.Duration(*seconds)*time.Second)
	close(stop)
	callers.Wait()
	time.Sleep(3 * time.Second)
	f.checkPayments(payments)
}

// payWithRetries makes one payment, with up to six attempts through random VMs; issuing the key counts as an attempt.
func (f *fleet) payWithRetries(random *rand.Rand, body string) *payment {
	p := &payment{body: body}
	key := ""
	for attempt := 0; attempt < 6 && !p.succeeded; attempt++ {
		proc := f.vms[random.Intn(len(f.vms))]
		if key == "" {
			key = tryIssueIdempotencyKey(proc)
			continue
		}
		got := proc.postWith(shortClient, "/v1/services/booking/fees", "newcomers", body, "Idempotency-Key", key)
		_, run := got.refusal()
		p.statuses = append(p.statuses, got.status)
		p.runs = append(p.runs, run)
		p.succeeded = got.status == http.StatusOK
	}
	return p
}

func (f *fleet) checkPayments(payments []*payment) {
	f.t.Helper()
	runCounts := map[string]int{}
	for _, r := range f.runs() {
		runCounts[r.BodyHash]++
	}
	succeeded, unknown, falseNotRun := 0, 0, 0
	for _, p := range payments {
		runCount := runCounts[sha256Hex(p.body)]
		if runCount > 1 {
			f.t.Errorf("payment %s ran %d times; statuses %v, run fields %v", p.body, runCount, p.statuses, p.runs)
		}
		if p.succeeded {
			succeeded++
			if runCount != 1 {
				f.t.Errorf("payment %s was answered with status 200 but ran %d times, want 1", p.body, runCount)
			}
			continue
		}
		if len(p.runs) == 0 {
			continue
		}
		last := p.runs[len(p.runs)-1]
		if last == "unknown" || last == "" {
			unknown++
		}
		if last == "not_run" && runCount > 0 {
			falseNotRun++
			f.t.Errorf("payment %s ran but its last response said not_run; statuses %v, run fields %v", p.body, p.statuses, p.runs)
		}
	}
	f.t.Logf("seed %d: %d payments, %d succeeded, %d with unknown outcome, %d runs at the services", *seed, len(payments), succeeded, unknown, len(f.runs()))
	if succeeded == 0 {
		f.t.Error("no payment succeeded")
	}
}

// injectFaults injects random faults of VMs, links and services one after another, and ends with all links unblocked and all VMs
// running.
func (f *fleet) injectFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		proc := f.vms[random.Intn(len(f.vms))]
		kindCount := 5
		if len(f.standIns.Services) == 0 {
			kindCount = 4
		}
		switch random.Intn(kindCount) {
		case 0:
			f.signalVM(proc, syscall.SIGKILL)
			f.t.Logf("killed %s: %v", proc.vm.ID, <-proc.exited)
			time.Sleep(randomMillis(random, 100, 900))
			f.startVM(proc)
		case 1:
			f.signalVM(proc, syscall.SIGSTOP)
			time.Sleep(randomMillis(random, 500, 4500))
			f.signalVM(proc, syscall.SIGCONT)
		case 2:
			splitIndex := 1 + random.Intn(len(f.vms)-1)
			f.links.setPartitioned(f.vms[:splitIndex], f.vms[splitIndex:], true)
			time.Sleep(randomMillis(random, 500, 4500))
			f.links.setPartitioned(f.vms[:splitIndex], f.vms[splitIndex:], false)
		case 3:
			other := f.vms[random.Intn(len(f.vms))]
			f.links.setBlocked(proc.vm.ID, other.vm.ID, true)
			time.Sleep(randomMillis(random, 500, 2500))
			f.links.setBlocked(proc.vm.ID, other.vm.ID, false)
		case 4:
			s := f.standIns.Services[random.Intn(len(f.standIns.Services))]
			s.SetFault(fault.Fault{CloseBefore: random.Intn(2) == 0, CloseAfter: random.Intn(2) == 0, DelayMillis: int64(random.Intn(300))})
			time.Sleep(randomMillis(random, 200, 1000))
			s.SetFault(fault.Fault{})
		}
		time.Sleep(randomMillis(random, 50, 400))
	}
}

var shortClient = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func tryIssueIdempotencyKey(proc *vmProcess) string {
	got := proc.postWith(shortClient, "/v1/idempotency_keys", "newcomers", "")
	if got.status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
		return ""
	}
	return parseIdempotencyKey(got.body)
}

func randomMillis(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+random.Intn(high-low)) * time.Millisecond
}

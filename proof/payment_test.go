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

// payment is one fee with all that its caller was told.
type payment struct {
	body     string
	statuses []int
	runs     []string
	whole    bool
}

// TestPaymentsRunAtMostOnceUnderFailure has callers retry through every VM while VMs are killed, suspended and cut off.
func TestPaymentsRunAtMostOnceUnderFailure(t *testing.T) {
	f := newFleet(t, shape{vms: 5, engines: 1, services: 3})
	random := rand.New(rand.NewSource(*seed))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var payments []*payment
	for caller := range 12 {
		own := rand.New(rand.NewSource(random.Int63()))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				p := f.pay(own, fmt.Sprintf(`{"caller":%d,"fee":%d}`, caller, n))
				mu.Lock()
				payments = append(payments, p)
				mu.Unlock()
			}
		})
	}
	f.disturb(random, time.Duration(*seconds)*time.Second)
	close(stop)
	callers.Wait()
	time.Sleep(3 * time.Second)
	f.checkPayments(payments)
}

// pay makes one payment, retrying through any VM until the answer is whole or the tries are used up.
func (f *fleet) pay(random *rand.Rand, body string) *payment {
	p := &payment{body: body}
	key := ""
	for try := 0; try < 6 && !p.whole; try++ {
		m := f.vms[random.Intn(len(f.vms))]
		if key == "" {
			key = tryIssue(m)
			continue
		}
		got := m.postBy(shortClient, "/v1/services/booking/fees", "newcomers", body, "Idempotency-Key", key)
		_, run := got.refusal()
		p.statuses = append(p.statuses, got.status)
		p.runs = append(p.runs, run)
		p.whole = got.status == http.StatusOK
	}
	return p
}

func (f *fleet) checkPayments(payments []*payment) {
	f.t.Helper()
	ran := map[string]int{}
	for _, r := range f.runs() {
		ran[r.BodyHash]++
	}
	whole, unknown, falseWord := 0, 0, 0
	for _, p := range payments {
		times := ran[hash(p.body)]
		if times > 1 {
			f.t.Errorf("%s ran %d times; the caller was told %v %v", p.body, times, p.statuses, p.runs)
		}
		if p.whole {
			whole++
			if times != 1 {
				f.t.Errorf("%s was answered and ran %d times", p.body, times)
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
		if last == "not_run" && times > 0 {
			falseWord++
			f.t.Errorf("%s ran, and its caller was told last that it had not: %v %v", p.body, p.statuses, p.runs)
		}
	}
	f.t.Logf("seed %d: %d payments, %d whole answers, %d unknown outcomes, %d runs at the services", *seed, len(payments), whole, unknown, len(f.runs()))
	if whole == 0 {
		f.t.Error("no payment got a whole answer")
	}
}

// disturb brings failures about, one after another and sometimes together, and ends with all links joined and all VMs up.
func (f *fleet) disturb(random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		m := f.vms[random.Intn(len(f.vms))]
		kinds := 5
		if len(f.world.Services) == 0 {
			kinds = 4
		}
		switch random.Intn(kinds) {
		case 0:
			f.signal(m, syscall.SIGKILL)
			f.t.Logf("killed %s: %v", m.vm.ID, <-m.exited)
			time.Sleep(between(random, 100, 900))
			f.start(m)
		case 1:
			f.signal(m, syscall.SIGSTOP)
			time.Sleep(between(random, 500, 4500))
			f.signal(m, syscall.SIGCONT)
		case 2:
			cut := 1 + random.Intn(len(f.vms)-1)
			f.links.split(f.vms[:cut], f.vms[cut:], true)
			time.Sleep(between(random, 500, 4500))
			f.links.split(f.vms[:cut], f.vms[cut:], false)
		case 3:
			other := f.vms[random.Intn(len(f.vms))]
			f.links.block(m.vm.ID, other.vm.ID, true)
			time.Sleep(between(random, 500, 2500))
			f.links.block(m.vm.ID, other.vm.ID, false)
		case 4:
			s := f.world.Services[random.Intn(len(f.world.Services))]
			s.SetFault(fault.Fault{CloseBefore: random.Intn(2) == 0, CloseAfter: random.Intn(2) == 0, LateMillis: int64(random.Intn(300))})
			time.Sleep(between(random, 200, 1000))
			s.SetFault(fault.Fault{})
		}
		time.Sleep(between(random, 50, 400))
	}
}

var shortClient = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func tryIssue(m *machine) string {
	got := m.postBy(shortClient, "/v1/idempotency_keys", "newcomers", "")
	if got.status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
		return ""
	}
	return issuedKey(got.body)
}

func between(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+random.Intn(high-low)) * time.Millisecond
}

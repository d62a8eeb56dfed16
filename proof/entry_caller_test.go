package proof

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"
)

// entryCaller is a caller that fetches the VM addresses from /v1/entry, caches them for the stated time, and reuses connections.
type entryCaller struct {
	client     *http.Client
	random     *rand.Rand
	addresses  []string
	validUntil time.Time
}

// callerOutcomes counts complete responses by kind of request, and lists the failed ones and the bodies of all payments sent.
type callerOutcomes struct {
	mu            sync.Mutex
	complete      map[string]int
	failures      []string
	paymentBodies []string
}

func newEntryCaller(seed int64, addresses []string) *entryCaller {
	return &entryCaller{
		client:    &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		random:    rand.New(rand.NewSource(seed)),
		addresses: addresses,
	}
}

// currentVM returns the first VM of the cached address list, which is refreshed once it has expired.
func (c *entryCaller) currentVM() *vmProcess {
	if time.Now().After(c.validUntil) {
		c.refreshAddresses()
	}
	return vmAtAddress(c.addresses[0])
}

func (c *entryCaller) refreshAddresses() {
	for _, address := range c.addresses {
		requestedAt := time.Now()
		got := vmAtAddress(address).do(c.client, http.MethodGet, "/v1/entry", "", "")
		var body struct {
			Addresses   []string `json:"addresses"`
			KeepSeconds float64  `json:"keep_seconds"`
		}
		if json.Unmarshal(got.body, &body) != nil || len(body.Addresses) == 0 {
			continue
		}
		c.addresses = body.Addresses
		c.validUntil = requestedAt.Add(time.Duration(body.KeepSeconds * float64(time.Second)))
		return
	}
}

// vmAtAddress returns a vmProcess that has only a caller address.
func vmAtAddress(address string) *vmProcess {
	proc := &vmProcess{}
	proc.vm.CallerAddress = address
	return proc
}

func (o *callerOutcomes) record(kind string, complete bool, got response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if complete {
		o.complete[kind]++
		return
	}
	o.failures = append(o.failures, fmt.Sprintf("%s: status %d, body %s, error %v", kind, got.status, lastBytes(string(got.body), 300), got.err))
}

// run sends streamed generations, unstreamed generations and payments in turn until stopped.
func (c *entryCaller) run(callerIndex int, stop chan struct{}, outcomes *callerOutcomes) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c.sendNext(n, fmt.Sprintf(`{"caller":%d,"fee":%d}`, callerIndex, n), outcomes)
	}
}

func (c *entryCaller) sendNext(n int, paymentBody string, outcomes *callerOutcomes) {
	p := prompt{text: fmt.Sprintf("guide %s", paymentBody), adapterIndex: c.random.Intn(6), tokens: 16 + c.random.Intn(48)}
	switch n % 3 {
	case 0, 1:
		got := c.currentVM().do(c.client, http.MethodPost, "/v1/completions", "newcomers", p.body(n%3 == 0))
		outcomes.record([]string{"stream", "answer"}[n%3], p.isCompleteAnswer(got, n%3 == 0), got)
	case 2:
		got := c.currentVM().do(c.client, http.MethodPost, "/v1/idempotency_keys", "newcomers", "")
		key := parseIdempotencyKey(got.body)
		outcomes.record("key", key != "", got)
		if key == "" {
			return
		}
		got = c.currentVM().do(c.client, http.MethodPost, "/v1/services/booking/fees", "newcomers", paymentBody, "Idempotency-Key", key)
		outcomes.record("payment", got.status == http.StatusOK, got)
		outcomes.mu.Lock()
		outcomes.paymentBodies = append(outcomes.paymentBodies, paymentBody)
		outcomes.mu.Unlock()
	}
}

// startReplacement publishes and starts a VM in the same availability zone with a new ID and new addresses.
func (f *fleet) startReplacement(old *vmProcess, id string) *vmProcess {
	proc := f.newVMProcess(id, old.vm.Zone, newTCPProxy(f.t, f.standIns.Address()))
	f.vms = append(f.vms, proc)
	f.publishVMs()
	f.startVM(proc)
	return proc
}

// removeVM removes a VM from the fleet and from the published list.
func (f *fleet) removeVM(proc *vmProcess) {
	f.vms = slices.DeleteFunc(f.vms, func(other *vmProcess) bool { return other == proc })
	f.publishVMs()
}

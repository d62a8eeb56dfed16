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

// entryCaller is a caller that asks which VMs to use, keeps the answer as long as it may, and reuses its connections.
type entryCaller struct {
	client    *http.Client
	random    *rand.Rand
	addresses []string
	until     time.Time
}

// tally counts what callers were told, by what they asked for.
type tally struct {
	mu       sync.Mutex
	whole    map[string]int
	failures []string
	bodies   []string
}

func newEntryCaller(seed int64, addresses []string) *entryCaller {
	return &entryCaller{
		client:    &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		random:    rand.New(rand.NewSource(seed)),
		addresses: addresses,
	}
}

// vm returns the VM that the caller uses now, asking again only when its answer's time is over.
func (c *entryCaller) vm() *machine {
	if time.Now().After(c.until) {
		c.ask()
	}
	return at(c.addresses[0])
}

func (c *entryCaller) ask() {
	for _, address := range c.addresses {
		asked := time.Now()
		got := at(address).do(c.client, http.MethodGet, "/v1/entry", "", "")
		var body struct {
			Addresses   []string `json:"addresses"`
			KeepSeconds float64  `json:"keep_seconds"`
		}
		if json.Unmarshal(got.body, &body) != nil || len(body.Addresses) == 0 {
			continue
		}
		c.addresses = body.Addresses
		c.until = asked.Add(time.Duration(body.KeepSeconds * float64(time.Second)))
		return
	}
}

// at is a VM known by its address alone.
func at(address string) *machine {
	m := &machine{}
	m.vm.CallerAddress = address
	return m
}

func (t *tally) add(kind string, whole bool, got answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.whole[kind]++
		return
	}
	t.failures = append(t.failures, fmt.Sprintf("%s: %d %s %v", kind, got.status, tail(string(got.body), 300), got.err))
}

// run makes streams, whole answers and payments in turn until stopped.
func (c *entryCaller) run(name int, stop chan struct{}, t *tally) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c.once(n, fmt.Sprintf(`{"caller":%d,"fee":%d}`, name, n), t)
	}
}

func (c *entryCaller) once(n int, fee string, t *tally) {
	p := prompt{text: fmt.Sprintf("guide %s", fee), adapter: c.random.Intn(6), tokens: 16 + c.random.Intn(48)}
	switch n % 3 {
	case 0, 1:
		got := c.vm().do(c.client, http.MethodPost, "/v1/completions", "newcomers", p.body(n%3 == 0))
		t.add([]string{"stream", "answer"}[n%3], p.isWhole(got, n%3 == 0), got)
	case 2:
		got := c.vm().do(c.client, http.MethodPost, "/v1/idempotency_keys", "newcomers", "")
		key := issuedKey(got.body)
		t.add("key", key != "", got)
		if key == "" {
			return
		}
		got = c.vm().do(c.client, http.MethodPost, "/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key)
		t.add("payment", got.status == http.StatusOK, got)
		t.mu.Lock()
		t.bodies = append(t.bodies, fee)
		t.mu.Unlock()
	}
}

// replace adds a VM of the same zone to the list, under a new name and at new addresses.
func (f *fleet) replace(old *machine, id string) *machine {
	m := f.newMachine(id, old.vm.Zone, newGate(f.t, f.world.Address()))
	f.vms = append(f.vms, m)
	f.publishVMs()
	f.start(m)
	return m
}

// drop takes a VM that has ended from the list.
func (f *fleet) drop(m *machine) {
	f.vms = slices.DeleteFunc(f.vms, func(other *machine) bool { return other == m })
	f.publishVMs()
}

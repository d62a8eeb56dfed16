package proof

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
)

// withdrawnWithin is how long a withdrawn key may still work.
const withdrawnWithin = 3 * time.Second

func accounts(names ...string) []fuchsiaspoke.ClientAccount {
	var list []fuchsiaspoke.ClientAccount
	for _, name := range names {
		list = append(list, fuchsiaspoke.ClientAccount{Name: name, RateTokensPerSecond: 100_000, BurstTokens: 200_000})
	}
	return list
}

// publishKeys gives each account its key, and withdraws the ones named.
func (f *fleet) publishKeys(list []fuchsiaspoke.ClientAccount, withdrawn ...string) {
	f.t.Helper()
	gone := map[string]bool{}
	for _, name := range withdrawn {
		gone[name] = true
	}
	var keys []fuchsiaspoke.Key
	for _, account := range list {
		keys = append(keys, fuchsiaspoke.Key{Hash: hash(keyOf(account.Name)), Account: account.Name, Withdrawn: gone[account.Name]})
	}
	must(f.t, f.world.PublishKeys(keys))
}

func keepAlive(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Timeout: 30 * time.Second, Transport: transport}
}

// running is a stream whose parts are read as they come.
type running struct {
	parts int
	last  string
	whole bool
	ended time.Time
}

func (m *machine) stream(account, profile string) running {
	body := fmt.Sprintf(`{"model":%q,"prompt":"welcome","max_tokens":64,"stream":true}`, profile)
	r, _ := http.NewRequest(http.MethodPost, "http://"+m.vm.CallerAddress+"/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+keyOf(account))
	var s running
	resp, err := client.Do(r)
	if err != nil {
		s.last = err.Error()
		s.ended = time.Now()
		return s
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if line := lines.Text(); line != "" {
			s.parts++
			s.last = line
			s.whole = line == "data: [DONE]"
		}
	}
	s.ended = time.Now()
	return s
}

// TestWithdrawnKeyStops withdraws a key under open connections, queued work, a running stream and a payment on its way.
func TestWithdrawnKeyStops(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, shape{vms: 5, engines: 1, services: 1, accounts: list, engine: func(int) *engine.Engine {
		return &engine.Engine{Batch: 1, StepBase: 120 * time.Millisecond}
	}})
	f.world.Services[0].RunTime = 2 * time.Second
	kept := keepAlive(t)
	for _, m := range f.vms {
		if got := m.do(kept, http.MethodGet, "/v1/models", "newcomers", ""); got.status != http.StatusOK {
			t.Fatalf("%s: %d %s", m.vm.ID, got.status, got.body)
		}
	}
	// Only one VM of each availability zone reads the platform; the others hear from peers.
	f.vms[3].platform.set(true)
	f.vms[4].platform.set(true)

	var wg sync.WaitGroup
	var stream running
	wg.Go(func() { stream = f.vms[3].stream("newcomers", "guide_1") })
	f.eventually(10*time.Second, "the engine runs", func() bool { return f.engineRuns() })
	queued := make([]answer, 4)
	for i := range queued {
		wg.Go(func() { queued[i] = f.vms[i].post("/v1/completions", "newcomers", completion("guide_1", 8)) })
	}
	key := f.issue(f.vms[4], "newcomers")
	const fee = `{"seat":"withdrawn"}`
	var paid answer
	wg.Go(func() {
		paid = f.vms[3].post("/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key)
	})
	time.Sleep(700 * time.Millisecond)

	f.publishKeys(list, "newcomers")
	at := time.Now()
	worst := time.Duration(0)
	for _, m := range f.vms {
		f.eventually(withdrawnWithin, "the key is refused at "+m.vm.ID, func() bool {
			got := m.do(kept, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "")
			code, run := got.refusal()
			return got.status == http.StatusUnauthorized && code == string(fuchsiaspoke.CodeKeyWithdrawn) && run == string(fuchsiaspoke.NotRun)
		})
		worst = max(worst, time.Since(at))
	}
	wg.Wait()
	cut := stream.ended.Sub(at)
	t.Logf("seed %d: refused at all VMs after %v; stream of %d parts cut after %v", *seed, worst, stream.parts, cut)
	if stream.whole || cut > withdrawnWithin || !strings.Contains(stream.last, string(fuchsiaspoke.CodeKeyWithdrawn)) {
		t.Errorf("the running stream ended after %v, whole %v, with %s", cut, stream.whole, stream.last)
	}
	for i, got := range queued {
		if code, run := got.refusal(); code != string(fuchsiaspoke.CodeKeyWithdrawn) || run != string(fuchsiaspoke.NotRun) {
			t.Errorf("queued work %d got %d %s %v", i, got.status, got.body, got.err)
		}
	}
	if ran := f.engineRecords(); ran != 1 {
		t.Errorf("%d generations ran, of which one was running before", ran)
	}
	f.eventually(withdrawnWithin, "the payment that was sent is recorded", func() bool { return f.count(hash(fee)) == 1 })
	if code, run := paid.refusal(); code != string(fuchsiaspoke.CodeKeyWithdrawn) || run != string(fuchsiaspoke.RunUnknown) {
		t.Errorf("the payment on its way was answered %d %s", paid.status, paid.body)
	}
	// Reads that the service took before the withdrawal end within its run time.
	time.Sleep(2 * f.world.Services[0].RunTime)
	before := len(f.runs())
	for _, m := range f.vms {
		if got := m.post("/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key); got.status != http.StatusUnauthorized {
			t.Errorf("%s answered a payment with the withdrawn key: %d %s", m.vm.ID, got.status, got.body)
		}
		if got := m.post("/v1/completions", "hosts", completion("guide_1", 1)); got.status != http.StatusOK {
			t.Errorf("%s refused another account: %d %s", m.vm.ID, got.status, got.body)
		}
	}
	if after := len(f.runs()); after != before {
		t.Errorf("%d calls ran with the withdrawn key", after-before)
	}
	f.checkNoWriteAndNoKey()
}

// engineRuns reports whether an engine has a request running, by the VMs' word.
func (f *fleet) engineRuns() bool {
	for _, m := range f.vms {
		status, err := f.status(m)
		if err != nil {
			continue
		}
		for _, e := range status.Self.Engines {
			if e.Running > 0 {
				return true
			}
		}
	}
	return false
}

// engineRecords counts the generations that the engines began.
func (f *fleet) engineRecords() int {
	n := 0
	for _, e := range f.world.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				n++
			}
		}
	}
	return n
}

func (f *fleet) count(bodyHash string) int {
	n := 0
	for _, r := range f.runs() {
		if r.BodyHash == bodyHash {
			n++
		}
	}
	return n
}

// TestWithdrawnKeyStopsAtAVMThatWakes suspends each VM across a withdrawal, with requests waiting in its sockets as it wakes.
func TestWithdrawnKeyStopsAtAVMThatWakes(t *testing.T) {
	names := []string{"newcomers", "hosts", "players", "schools"}
	list := accounts(names...)
	f := newFleet(t, shape{vms: 3, engines: 1, services: 1, accounts: list})
	var gone []string
	for i, m := range f.vms[:2] {
		account := names[i]
		kept := make([]*http.Client, 6)
		for n := range kept {
			kept[n] = keepAlive(t)
			if got := m.do(kept[n], http.MethodGet, "/v1/services/booking/status/0", account, ""); got.status != http.StatusOK {
				t.Fatalf("%s: %d %s %v", m.vm.ID, got.status, got.body, got.err)
			}
		}
		key := f.issue(m, account)
		// The second one hears of the withdrawal from its peers alone.
		m.platform.set(i == 1)
		f.signal(m, syscall.SIGSTOP)
		gone = append(gone, account)
		f.publishKeys(list, gone...)
		var wg sync.WaitGroup
		got := make([]answer, len(kept))
		for n := range kept {
			wg.Go(func() {
				switch n {
				case 0:
					got[n] = m.do(kept[n], http.MethodPost, "/v1/services/booking/fees", account, "{}", "Idempotency-Key", key)
				case 1:
					got[n] = m.do(kept[n], http.MethodPost, "/v1/completions", account, completion("guide_1", 4))
				default:
					got[n] = m.do(kept[n], http.MethodGet, fmt.Sprintf("/v1/services/booking/status/late_%d", n), account, "")
				}
			})
		}
		time.Sleep(withdrawnWithin + time.Second)
		services, engines := len(f.runs()), f.engineRecords()
		f.signal(m, syscall.SIGCONT)
		wg.Wait()
		for n, a := range got {
			// Nothing ran of any; the VM that woke may say less than it could, but never that it ran.
			if code, _ := a.refusal(); a.status == http.StatusOK || code == "" {
				t.Errorf("%s, just awake, answered request %d of the withdrawn key with %d %s %v", m.vm.ID, n, a.status, a.body, a.err)
			}
		}
		if ran := len(f.runs()) - services + f.engineRecords() - engines; ran != 0 {
			t.Errorf("%d requests of the withdrawn key ran after %s woke", ran, m.vm.ID)
		}
		f.eventually(10*time.Second, m.vm.ID+" serves others", func() bool {
			return m.do(client, http.MethodGet, "/v1/services/booking/status/1", "schools", "").status == http.StatusOK
		})
	}
}

// TestWithdrawnKeyStopsAtAVMThatIsCutOff cuts one VM off from the platform and from its peers, and withdraws a key.
func TestWithdrawnKeyStopsAtAVMThatIsCutOff(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, shape{vms: 3, engines: 3, services: 1, accounts: list})
	held := f.leases()["account/newcomers"]
	m := f.vms[0]
	for _, other := range f.vms {
		if other.vm.ID == held {
			m = other
		}
	}
	others := make([]*machine, 0, 2)
	for _, other := range f.vms {
		if other != m {
			others = append(others, other)
		}
	}
	m.platform.set(true)
	f.links.split([]*machine{m}, others, true)
	f.publishKeys(list, "newcomers")
	at := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	last, asked, served := time.Duration(0), 0, 0
	quick := keepAlive(t)
	for ; time.Since(at) < 2*withdrawnWithin; asked++ {
		path, method, body := "/v1/services/booking/status/1", http.MethodGet, ""
		if asked%2 == 0 {
			path, method, body = "/v1/completions", http.MethodPost, completion("guide_1", 1)
		}
		began := time.Since(at)
		wg.Go(func() {
			got := m.do(quick, method, path, "newcomers", body)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
				last = max(last, began)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	f.links.split([]*machine{m}, others, false)
	m.platform.set(false)
	t.Logf("seed %d: %s held the account's lease: %v; it served %d of %d requests, the last begun %v after it was cut off", *seed, m.vm.ID, m.vm.ID == held, served, asked, last)
	if last > withdrawnWithin {
		t.Errorf("%s, cut off, took a request of the withdrawn key %v after the withdrawal", m.vm.ID, last)
	}
	f.eventually(withdrawnWithin, "the key is refused as withdrawn", func() bool {
		code, _ := m.do(quick, http.MethodGet, "/v1/models", "newcomers", "").refusal()
		return code == string(fuchsiaspoke.CodeKeyWithdrawn)
	})
	f.eventually(15*time.Second, "another account is served", func() bool {
		return m.do(quick, http.MethodGet, "/v1/services/booking/status/1", "hosts", "").status == http.StatusOK
	})
}

// TestKeysOfOthersAndOddPlaces has keys of other accounts refused, an open profile answered, and keys kept from upstreams.
func TestKeysOfOthersAndOddPlaces(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, shape{vms: 3, engines: 1, services: 1, accounts: list})
	f.profile = append(f.profile,
		fuchsiaspoke.Profile{
			Name: "private", ClientAccounts: []string{"hosts"}, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "private", Version: 1}, MaxOutputTokens: 8,
		},
		fuchsiaspoke.Profile{
			Name: "open", Open: true, OpenAccount: "hosts", BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "open", Version: 1}, MaxOutputTokens: 8,
		})
	must(t, f.world.PublishProfiles(f.profile))
	for _, m := range f.vms {
		f.eventually(withdrawnWithin, "the profiles are in force", func() bool {
			return m.post("/v1/completions", "", completion("open", 1)).status == http.StatusOK
		})
		for account, want := range map[string]int{"newcomers": http.StatusForbidden, "unknown": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			got := m.post("/v1/completions", account, completion("private", 1))
			if _, run := got.refusal(); got.status != want || run != string(fuchsiaspoke.NotRun) {
				t.Errorf("%s answered account %q with %d %s", m.vm.ID, account, got.status, got.body)
			}
		}
		if got := m.post("/v1/completions", "newcomers", completion("no_such", 1)); got.status != http.StatusNotFound {
			t.Errorf("%s answered an unknown profile with %d %s", m.vm.ID, got.status, got.body)
		}
	}
	for _, e := range f.world.Engines {
		for _, r := range e.Records() {
			if r.Adapter.Name == "private" {
				t.Errorf("the private adapter ran: %+v", r)
			}
		}
	}
	f.sendOddKeys(f.vms[0])
	f.checkNoWriteAndNoKey()
	ran := 0
	for _, r := range f.runs() {
		ran++
		if strings.Contains(fmt.Sprintf("%+v", r), "elsewhere") {
			t.Errorf("the service saw an odd header: %+v", r)
		}
	}
	t.Logf("seed %d: %d calls and %d generations reached upstreams", *seed, ran, f.engineRecords())
	if ran == 0 {
		t.Error("nothing reached the service, so that nothing is shown")
	}
}

// sendOddKeys sends requests that carry the caller's key where it doesn't belong.
func (f *fleet) sendOddKeys(m *machine) {
	f.t.Helper()
	key := keyOf("newcomers")
	headers := []string{"X-Api-Key", "Cookie", "X-Request-Id", "Referer", "User-Agent", "Forwarded", "Proxy-Authorization", "Traceparent", "X-Priority", "Elsewhere"}
	for _, name := range headers {
		m.do(client, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "", name, "Bearer "+key, "Odd", "elsewhere")
		m.do(client, http.MethodPost, "/v1/completions", "newcomers", completion("guide_1", 1), name, key)
	}
	half := url.QueryEscape(key[:4]) + "%" + fmt.Sprintf("%x", key[4]) + key[5:]
	twice := strings.ReplaceAll(half, "%", "%25")
	places := []string{"/status/" + key, "/status/1?key=" + key, "/status/" + half, "/status/1?key=" + half, "/status/" + twice, "/status/1?" + twice + "=1"}
	for _, place := range places {
		m.do(client, http.MethodGet, "/v1/services/booking"+place, "newcomers", "")
	}
	for _, name := range []string{"Accept", "Content-Type"} {
		m.do(client, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "", name, "text/"+key)
	}
	for _, body := range []string{`{"model":"guide_1","prompt":"` + key + `"}`, `{"model":"guide_1","prompt":"a","user":"` + key + `"}`, `{"model":"guide_1","prompt":"a","stop":["` + key + `"]}`} {
		if got := m.post("/v1/completions", "newcomers", body); got.status != http.StatusBadRequest {
			f.t.Errorf("a body with the key was answered %d %s", got.status, got.body)
		}
	}
	escaped := fmt.Sprintf(`{"model":"guide_1","prompt":"\u%04x%s"}`, key[0], key[1:])
	if got := m.post("/v1/completions", "newcomers", escaped); got.status != http.StatusBadRequest {
		f.t.Errorf("a body with the escaped key was answered %d %s", got.status, got.body)
	}
	idempotency := f.issue(m, "newcomers")
	m.do(client, http.MethodPost, "/v1/services/booking/fees", "newcomers", `{"key":"`+key+`"}`, "Idempotency-Key", idempotency)
	m.do(client, http.MethodPost, "/v1/services/booking/fees", "newcomers", `{}`, "Idempotency-Key", key)
	f.sendTrailer(m, key)
}

func (f *fleet) sendTrailer(m *machine, key string) {
	body, w := io.Pipe()
	r, err := http.NewRequest(http.MethodGet, "http://"+m.vm.CallerAddress+"/v1/services/booking/status/trailer", body)
	must(f.t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Trailer = http.Header{"X-Key": nil}
	go func() {
		_, _ = io.WriteString(w, "{}")
		r.Trailer.Set("X-Key", key)
		_ = w.Close()
	}()
	resp, err := client.Do(r)
	must(f.t, err)
	resp.Body.Close()
}

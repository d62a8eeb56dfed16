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

// revocationLimit is how long a VM may still accept a key after its revocation is published.
const revocationLimit = 3 * time.Second

// accounts returns client accounts with rates so high that no test reaches them.
func accounts(names ...string) []fuchsiaspoke.ClientAccount {
	var list []fuchsiaspoke.ClientAccount
	for _, name := range names {
		list = append(list, fuchsiaspoke.ClientAccount{Name: name, RateTokensPerSecond: 100_000, BurstTokens: 200_000})
	}
	return list
}

// publishKeys publishes the key of each client account, those of the named accounts as revoked.
func (f *fleet) publishKeys(list []fuchsiaspoke.ClientAccount, revokedNames ...string) {
	f.t.Helper()
	revoked := map[string]bool{}
	for _, name := range revokedNames {
		revoked[name] = true
	}
	var keys []fuchsiaspoke.Key
	for _, account := range list {
		keys = append(keys, fuchsiaspoke.Key{Hash: sha256Hex(apiKeyOf(account.Name)), Account: account.Name, Withdrawn: revoked[account.Name]})
	}
	requireNoError(f.t, f.standIns.PublishKeys(keys))
}

func newKeepAliveClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Timeout: 30 * time.Second, Transport: transport}
}

// streamResult is what a caller received of a stream: the number of non-empty lines, the last one (or the error of the request),
// and whether it was [DONE].
type streamResult struct {
	lineCount int
	lastLine  string
	complete  bool
	endedAt   time.Time
}

func (p *vmProcess) stream(account, profile string) streamResult {
	body := fmt.Sprintf(`{"model":%q,"prompt":"welcome","max_tokens":64,"stream":true}`, profile)
	r, _ := http.NewRequest(http.MethodPost, "http://"+p.vm.CallerAddress+"/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+apiKeyOf(account))
	var result streamResult
	resp, err := defaultClient.Do(r)
	if err != nil {
		result.lastLine = err.Error()
		result.endedAt = time.Now()
		return result
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if line := lines.Text(); line != "" {
			result.lineCount++
			result.lastLine = line
			result.complete = line == "data: [DONE]"
		}
	}
	result.endedAt = time.Now()
	return result
}

// TestRevokedKeyIsRefusedAndItsWorkEnds revokes a key with open connections, queued requests, a running stream and a payment in
// progress.
func TestRevokedKeyIsRefusedAndItsWorkEnds(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, fleetConfig{vms: 5, engines: 1, services: 1, accounts: list, engine: func(int) *engine.Engine {
		return &engine.Engine{Batch: 1, StepBase: 120 * time.Millisecond}
	}})
	f.standIns.Services[0].RunTime = 2 * time.Second
	keepAliveClient := newKeepAliveClient(t)
	for _, proc := range f.vms {
		if got := proc.do(keepAliveClient, http.MethodGet, "/v1/models", "newcomers", ""); got.status != http.StatusOK {
			t.Fatalf("%s refused a request before the revocation: status %d, body %s", proc.vm.ID, got.status, got.body)
		}
	}
	// One VM of each availability zone can read the platform; the other two receive the revocation from peers.
	f.vms[3].platformProxy.setClosed(true)
	f.vms[4].platformProxy.setClosed(true)

	var wg sync.WaitGroup
	var stream streamResult
	wg.Go(func() { stream = f.vms[3].stream("newcomers", "guide_1") })
	f.eventually(10*time.Second, "a VM reports a running request on an engine", func() bool { return f.anyEngineRuns() })
	queued := make([]response, 4)
	for i := range queued {
		wg.Go(func() { queued[i] = f.vms[i].post("/v1/completions", "newcomers", completionBody("guide_1", 8)) })
	}
	key := f.issueIdempotencyKey(f.vms[4], "newcomers")
	const fee = `{"seat":"withdrawn"}`
	var paymentResponse response
	wg.Go(func() {
		paymentResponse = f.vms[3].post("/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key)
	})
	time.Sleep(700 * time.Millisecond)

	f.publishKeys(list, "newcomers")
	revokedAt := time.Now()
	slowest := time.Duration(0)
	for _, proc := range f.vms {
		f.eventually(revocationLimit, "the key is refused at "+proc.vm.ID, func() bool {
			got := proc.do(keepAliveClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "")
			code, run := got.refusal()
			return got.status == http.StatusUnauthorized && code == string(fuchsiaspoke.CodeKeyWithdrawn) && run == string(fuchsiaspoke.NotRun)
		})
		slowest = max(slowest, time.Since(revokedAt))
	}
	wg.Wait()
	endedAfter := stream.endedAt.Sub(revokedAt)
	t.Logf("seed %d: all VMs refused the key %v after the revocation; the stream of %d lines ended after %v", *seed, slowest, stream.lineCount, endedAfter)
	if stream.complete || endedAfter > revocationLimit || !strings.Contains(stream.lastLine, string(fuchsiaspoke.CodeKeyWithdrawn)) {
		t.Errorf("the running stream ended %v after the revocation (complete: %v), last line %s", endedAfter, stream.complete, stream.lastLine)
	}
	for i, got := range queued {
		if code, run := got.refusal(); code != string(fuchsiaspoke.CodeKeyWithdrawn) || run != string(fuchsiaspoke.NotRun) {
			t.Errorf("queued request %d of the revoked key: status %d, body %s, error %v", i, got.status, got.body, got.err)
		}
	}
	if ran := f.engineRunCount(); ran != 1 {
		t.Errorf("%d generations ran, want only the one that ran before the revocation", ran)
	}
	f.eventually(revocationLimit, "the service has recorded the payment sent before the revocation", func() bool { return f.serviceRunCount(sha256Hex(fee)) == 1 })
	if code, run := paymentResponse.refusal(); code != string(fuchsiaspoke.CodeKeyWithdrawn) || run != string(fuchsiaspoke.RunUnknown) {
		t.Errorf("the payment in progress at the revocation: status %d, body %s", paymentResponse.status, paymentResponse.body)
	}
	// Waits for the service to record reads that it received before the revocation.
	time.Sleep(2 * f.standIns.Services[0].RunTime)
	before := len(f.runs())
	for _, proc := range f.vms {
		if got := proc.post("/v1/services/booking/fees", "newcomers", fee, "Idempotency-Key", key); got.status != http.StatusUnauthorized {
			t.Errorf("%s did not refuse a payment with the revoked key with 401: status %d, body %s", proc.vm.ID, got.status, got.body)
		}
		if got := proc.post("/v1/completions", "hosts", completionBody("guide_1", 1)); got.status != http.StatusOK {
			t.Errorf("%s failed a request of another client account: status %d, body %s", proc.vm.ID, got.status, got.body)
		}
	}
	if after := len(f.runs()); after != before {
		t.Errorf("the service ran %d requests of the revoked key", after-before)
	}
	f.checkNoPlatformWriteAndNoLeakedKey()
}

// anyEngineRuns reports whether the status of any VM shows an engine with a running request.
func (f *fleet) anyEngineRuns() bool {
	for _, proc := range f.vms {
		status, err := f.status(proc)
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

// engineRunCount counts the generations that engines started and that have ended since; engines record a run at its end.
func (f *fleet) engineRunCount() int {
	n := 0
	for _, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				n++
			}
		}
	}
	return n
}

func (f *fleet) serviceRunCount(bodyHash string) int {
	n := 0
	for _, r := range f.runs() {
		if r.BodyHash == bodyHash {
			n++
		}
	}
	return n
}

// TestWithdrawnKeyStopsAtAVMThatWakes suspends two of three VMs in turn, revokes a key meanwhile, and resumes each with requests of
// that key waiting in its sockets. The VM must apply the revocation before it serves them.
func TestWithdrawnKeyStopsAtAVMThatWakes(t *testing.T) {
	names := []string{"newcomers", "hosts", "players", "schools"}
	list := accounts(names...)
	f := newFleet(t, fleetConfig{vms: 3, engines: 1, services: 1, accounts: list})
	var revoked []string
	for i, proc := range f.vms[:2] {
		account := names[i]
		keepAliveClients := make([]*http.Client, 6)
		for n := range keepAliveClients {
			keepAliveClients[n] = newKeepAliveClient(t)
			if got := proc.do(keepAliveClients[n], http.MethodGet, "/v1/services/booking/status/0", account, ""); got.status != http.StatusOK {
				t.Fatalf("%s refused a request before the revocation: status %d, body %s, error %v", proc.vm.ID, got.status, got.body, got.err)
			}
		}
		key := f.issueIdempotencyKey(proc, account)
		// The second VM can't read the platform and receives the revocation only from its peers.
		proc.platformProxy.setClosed(i == 1)
		f.signalVM(proc, syscall.SIGSTOP)
		revoked = append(revoked, account)
		f.publishKeys(list, revoked...)
		var wg sync.WaitGroup
		got := make([]response, len(keepAliveClients))
		for n := range keepAliveClients {
			wg.Go(func() {
				switch n {
				case 0:
					got[n] = proc.do(keepAliveClients[n], http.MethodPost, "/v1/services/booking/fees", account, "{}", "Idempotency-Key", key)
				case 1:
					got[n] = proc.do(keepAliveClients[n], http.MethodPost, "/v1/completions", account, completionBody("guide_1", 4))
				default:
					got[n] = proc.do(keepAliveClients[n], http.MethodGet, fmt.Sprintf("/v1/services/booking/status/late_%d", n), account, "")
				}
			})
		}
		time.Sleep(revocationLimit + time.Second)
		services, engines := len(f.runs()), f.engineRunCount()
		f.signalVM(proc, syscall.SIGCONT)
		wg.Wait()
		for n, reply := range got {
			// Each request must be refused with an error code. Its run field may be not_run or unknown, and is not checked.
			if code, _ := reply.refusal(); reply.status == http.StatusOK || code == "" {
				t.Errorf("%s, just resumed, answered request %d of the revoked key with status %d, body %s, error %v", proc.vm.ID, n, reply.status, reply.body, reply.err)
			}
		}
		if ran := len(f.runs()) - services + f.engineRunCount() - engines; ran != 0 {
			t.Errorf("%d requests of the revoked key ran after %s was resumed", ran, proc.vm.ID)
		}
		f.eventually(10*time.Second, proc.vm.ID+" serves another client account", func() bool {
			return proc.do(defaultClient, http.MethodGet, "/v1/services/booking/status/1", "schools", "").status == http.StatusOK
		})
	}
}

// TestRevokedKeyIsRefusedByAPartitionedVM partitions one VM from the platform and from its peers, and revokes a key. The VM can't
// receive the revocation and must stop serving the key by itself.
func TestRevokedKeyIsRefusedByAPartitionedVM(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, fleetConfig{vms: 3, engines: 3, services: 1, accounts: list})
	leaseHolder := f.leaseHolders()["account/newcomers"]
	proc := f.vms[0]
	for _, other := range f.vms {
		if other.vm.ID == leaseHolder {
			proc = other
		}
	}
	others := make([]*vmProcess, 0, 2)
	for _, other := range f.vms {
		if other != proc {
			others = append(others, other)
		}
	}
	proc.platformProxy.setClosed(true)
	f.links.setPartitioned([]*vmProcess{proc}, others, true)
	f.publishKeys(list, "newcomers")
	revokedAt := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	lastServedAfter, requestCount, served := time.Duration(0), 0, 0
	keepAliveClient := newKeepAliveClient(t)
	for ; time.Since(revokedAt) < 2*revocationLimit; requestCount++ {
		path, method, body := "/v1/services/booking/status/1", http.MethodGet, ""
		if requestCount%2 == 0 {
			path, method, body = "/v1/completions", http.MethodPost, completionBody("guide_1", 1)
		}
		sentAfter := time.Since(revokedAt)
		wg.Go(func() {
			got := proc.do(keepAliveClient, method, path, "newcomers", body)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
				lastServedAfter = max(lastServedAfter, sentAfter)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	f.links.setPartitioned([]*vmProcess{proc}, others, false)
	proc.platformProxy.setClosed(false)
	t.Logf("seed %d: %s held the client account's lease: %v; it served %d of %d requests, the last sent %v after the revocation", *seed, proc.vm.ID, proc.vm.ID == leaseHolder, served, requestCount, lastServedAfter)
	if lastServedAfter > revocationLimit {
		t.Errorf("%s, partitioned, served a request of the revoked key sent %v after the revocation", proc.vm.ID, lastServedAfter)
	}
	f.eventually(revocationLimit, "the key is refused as key_withdrawn", func() bool {
		code, _ := proc.do(keepAliveClient, http.MethodGet, "/v1/models", "newcomers", "").refusal()
		return code == string(fuchsiaspoke.CodeKeyWithdrawn)
	})
	f.eventually(15*time.Second, "another client account is served", func() bool {
		return proc.do(keepAliveClient, http.MethodGet, "/v1/services/booking/status/1", "hosts", "").status == http.StatusOK
	})
}

// TestKeysWithoutAccessAreRefusedAndNoKeyReachesAnUpstream checks that a private profile refuses the keys of other client accounts,
// that an open profile needs no key, and that a key in an unusual part of a request does not reach an upstream.
func TestKeysWithoutAccessAreRefusedAndNoKeyReachesAnUpstream(t *testing.T) {
	list := accounts("newcomers", "hosts")
	f := newFleet(t, fleetConfig{vms: 3, engines: 1, services: 1, accounts: list})
	f.profiles = append(f.profiles,
		fuchsiaspoke.Profile{
			Name: "private", ClientAccounts: []string{"hosts"}, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "private", Version: 1}, MaxOutputTokens: 8,
		},
		fuchsiaspoke.Profile{
			Name: "open", Open: true, OpenAccount: "hosts", BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "open", Version: 1}, MaxOutputTokens: 8,
		})
	requireNoError(t, f.standIns.PublishProfiles(f.profiles))
	for _, proc := range f.vms {
		f.eventually(revocationLimit, "the profiles are in force", func() bool {
			return proc.post("/v1/completions", "", completionBody("open", 1)).status == http.StatusOK
		})
		for account, want := range map[string]int{"newcomers": http.StatusForbidden, "unknown": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			got := proc.post("/v1/completions", account, completionBody("private", 1))
			if _, run := got.refusal(); got.status != want || run != string(fuchsiaspoke.NotRun) {
				t.Errorf("%s answered a request for the private profile by account %q with status %d, body %s", proc.vm.ID, account, got.status, got.body)
			}
		}
		if got := proc.post("/v1/completions", "newcomers", completionBody("no_such", 1)); got.status != http.StatusNotFound {
			t.Errorf("%s answered a request for an unknown profile with status %d, body %s", proc.vm.ID, got.status, got.body)
		}
	}
	for _, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			if r.Adapter.Name == "private" {
				t.Errorf("an engine recorded the private adapter: %+v", r)
			}
		}
	}
	f.sendMisplacedKeys(f.vms[0])
	f.checkNoPlatformWriteAndNoLeakedKey()
	ran := 0
	for _, r := range f.runs() {
		ran++
		if strings.Contains(fmt.Sprintf("%+v", r), "elsewhere") {
			t.Errorf("the service received a header that must not be forwarded: %+v", r)
		}
	}
	t.Logf("seed %d: %d service requests and %d generations ran at upstreams", *seed, ran, f.engineRunCount())
	if ran == 0 {
		t.Error("no request ran at the service; the test proves nothing")
	}
}

// sendMisplacedKeys sends requests that carry the caller's key in other headers, the path, the query, the body, the idempotency key
// and a trailer.
func (f *fleet) sendMisplacedKeys(proc *vmProcess) {
	f.t.Helper()
	key := apiKeyOf("newcomers")
	headers := []string{"X-Api-Key", "Cookie", "X-Request-Id", "Referer", "User-Agent", "Forwarded", "Proxy-Authorization", "Traceparent", "X-Priority", "Elsewhere"}
	for _, name := range headers {
		proc.do(defaultClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "", name, "Bearer "+key, "Odd", "elsewhere")
		proc.do(defaultClient, http.MethodPost, "/v1/completions", "newcomers", completionBody("guide_1", 1), name, key)
	}
	partlyEscaped := url.QueryEscape(key[:4]) + "%" + fmt.Sprintf("%x", key[4]) + key[5:]
	doublyEscaped := strings.ReplaceAll(partlyEscaped, "%", "%25")
	paths := []string{"/status/" + key, "/status/1?key=" + key, "/status/" + partlyEscaped, "/status/1?key=" + partlyEscaped, "/status/" + doublyEscaped, "/status/1?" + doublyEscaped + "=1"}
	for _, path := range paths {
		proc.do(defaultClient, http.MethodGet, "/v1/services/booking"+path, "newcomers", "")
	}
	for _, name := range []string{"Accept", "Content-Type"} {
		proc.do(defaultClient, http.MethodGet, "/v1/services/booking/status/1", "newcomers", "", name, "text/"+key)
	}
	for _, body := range []string{`{"model":"guide_1","prompt":"` + key + `"}`, `{"model":"guide_1","prompt":"a","user":"` + key + `"}`, `{"model":"guide_1","prompt":"a","stop":["` + key + `"]}`} {
		if got := proc.post("/v1/completions", "newcomers", body); got.status != http.StatusBadRequest {
			f.t.Errorf("a request with the caller's key in its body was not refused with 400: status %d, body %s", got.status, got.body)
		}
	}
	escaped := fmt.Sprintf(`{"model":"guide_1","prompt":"\u%04x%s"}`, key[0], key[1:])
	if got := proc.post("/v1/completions", "newcomers", escaped); got.status != http.StatusBadRequest {
		f.t.Errorf("a request with the caller's key escaped in its body was not refused with 400: status %d, body %s", got.status, got.body)
	}
	idempotencyKey := f.issueIdempotencyKey(proc, "newcomers")
	proc.do(defaultClient, http.MethodPost, "/v1/services/booking/fees", "newcomers", `{"key":"`+key+`"}`, "Idempotency-Key", idempotencyKey)
	proc.do(defaultClient, http.MethodPost, "/v1/services/booking/fees", "newcomers", `{}`, "Idempotency-Key", key)
	f.sendKeyInTrailer(proc, key)
}

func (f *fleet) sendKeyInTrailer(proc *vmProcess, key string) {
	body, w := io.Pipe()
	r, err := http.NewRequest(http.MethodGet, "http://"+proc.vm.CallerAddress+"/v1/services/booking/status/trailer", body)
	requireNoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Trailer = http.Header{"X-Key": nil}
	go func() {
		_, _ = io.WriteString(w, "{}")
		r.Trailer.Set("X-Key", key)
		_ = w.Close()
	}()
	resp, err := defaultClient.Do(r)
	requireNoError(f.t, err)
	resp.Body.Close()
}

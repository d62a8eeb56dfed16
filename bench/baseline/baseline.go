// Package baseline implements a simple entry VM as a baseline for the bench.
//
// It reads the published documents once at its start, does not coordinate with other VMs and has no queue: a request
// waits only for an adapter load and for retries. It places requests round robin or by hash of the adapter, evicts the
// least recently used adapter, and limits each client account to a fixed share of its rate.
package baseline

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/server"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// maxWait bounds the retries of a generation and, separately, each adapter load with its wait for loadSlot.
	maxWait           = 10 * time.Second
	retryInterval     = 50 * time.Millisecond
	entryCacheSeconds = 10
	bytesPerToken     = 4
)

// Baseline runs entry VMs with one policy. The zero value places requests round robin and gives each of n VMs 1/n of
// every rate and burst.
type Baseline struct {
	// ByHash places each adapter on one engine, selected by a hash of the adapter's name.
	ByHash bool
	// Alone lets each VM admit the full rate of every client account, as if there were no other VMs.
	Alone bool
}

// vm is one running entry VM.
type vm struct {
	baseline          Baseline
	vms               []fuchsiaspoke.VM
	engines           []*replica
	services          []fuchsiaspoke.Upstream
	profiles          map[string]fuchsiaspoke.Profile
	accountsByKeyHash map[string]string
	buckets           map[string]*bucket
	nextIndex         atomic.Uint64
}

// replica is one replica of an engine, with this VM's view of its adapters.
type replica struct {
	driver *driver.Driver
	// loadSlot is a semaphore for one adapter load at a time; requests for resident adapters do not acquire it.
	loadSlot chan struct{}

	mu       sync.Mutex
	lastUsed map[fuchsiaspoke.Adapter]time.Time
	loaded   map[fuchsiaspoke.Adapter]bool
}

// bucket is a token bucket with this VM's share of a client account's rate and burst.
type bucket struct {
	mu          sync.Mutex
	rate, burst float64 // tokens per second, tokens
	level       float64
	refilledAt  time.Time
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
}

type document[T any] struct {
	Body struct {
		Items []T `json:"items"`
	} `json:"body"`
}

// Run serves callers at the VM's caller address until ctx ends, then closes all open connections.
func (b Baseline) Run(ctx context.Context, self fuchsiaspoke.VM, platformURL string) error {
	m := &vm{baseline: b}
	if err := m.readDocuments(ctx, platformURL); err != nil {
		return errors.Wrap(err, "read the published documents")
	}
	l, err := net.Listen("tcp", self.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the caller address")
	}
	e := echo.New()
	e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/v1/entry", m.serveEntry)
	e.POST("/v1/completions", m.complete)
	e.POST("/v1/idempotency_keys", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"idempotency_key": rand.Text()})
	})
	e.Any("/v1/services/:profile/*", m.forwardCall)
	return new(server.Server).Serve(ctx, l, e)
}

func (m *vm) readDocuments(ctx context.Context, url string) error {
	upstreams, err := fetchDocument[fuchsiaspoke.Upstream](ctx, url, fuchsiaspoke.UpstreamsDocument)
	if err != nil {
		return err
	}
	profiles, err := fetchDocument[fuchsiaspoke.Profile](ctx, url, fuchsiaspoke.ProfilesDocument)
	if err != nil {
		return err
	}
	accounts, err := fetchDocument[fuchsiaspoke.ClientAccount](ctx, url, fuchsiaspoke.AccountsDocument)
	if err != nil {
		return err
	}
	keys, err := fetchDocument[fuchsiaspoke.Key](ctx, url, fuchsiaspoke.KeysDocument)
	if err != nil {
		return err
	}
	if m.vms, err = fetchDocument[fuchsiaspoke.VM](ctx, url, fuchsiaspoke.VMsDocument); err != nil {
		return err
	}
	m.configure(upstreams, profiles, accounts, keys)
	return nil
}

func (m *vm) configure(
	upstreams []fuchsiaspoke.Upstream, profiles []fuchsiaspoke.Profile,
	accounts []fuchsiaspoke.ClientAccount, keys []fuchsiaspoke.Key,
) {
	m.profiles = make(map[string]fuchsiaspoke.Profile)
	m.accountsByKeyHash = make(map[string]string)
	m.buckets = make(map[string]*bucket)
	for _, u := range upstreams {
		if u.Kind == fuchsiaspoke.ServiceUpstream {
			m.services = append(m.services, u)
			continue
		}
		m.engines = append(m.engines, &replica{
			driver: &driver.Driver{Upstream: u}, loadSlot: make(chan struct{}, 1),
			lastUsed: make(map[fuchsiaspoke.Adapter]time.Time), loaded: make(map[fuchsiaspoke.Adapter]bool),
		})
	}
	for _, p := range profiles {
		m.profiles[p.Name] = p
	}
	for _, k := range keys {
		m.accountsByKeyHash[k.Hash] = k.Account
	}
	rateShare := 1 / float64(len(m.vms))
	if m.baseline.Alone {
		rateShare = 1
	}
	for _, a := range accounts {
		burst := rateShare * a.BurstTokens
		m.buckets[a.Name] = &bucket{rate: rateShare * a.RateTokensPerSecond, burst: burst, level: burst, refilledAt: time.Now()}
	}
}

func fetchDocument[T any](ctx context.Context, url string, kind fuchsiaspoke.DocumentKind) ([]T, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/values/%s", url, kind), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var doc document[T]
	err = json.NewDecoder(resp.Body).Decode(&doc)
	return doc.Body.Items, errors.Wrapf(err, "decode document %s", kind)
}

// serveEntry returns the caller addresses of all VMs, beginning with the one that the round-robin counter selects.
func (m *vm) serveEntry(c echo.Context) error {
	first := int(m.nextIndex.Add(1)) % len(m.vms)
	addresses := make([]string, len(m.vms))
	for i := range m.vms {
		addresses[i] = m.vms[(first+i)%len(m.vms)].CallerAddress
	}
	return c.JSON(http.StatusOK, map[string]any{"addresses": addresses, "keep_seconds": entryCacheSeconds})
}

// accountOf returns the client account of the request's API key, or an empty string if the key is unknown.
func (m *vm) accountOf(r *http.Request) string {
	sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	return m.accountsByKeyHash[hex.EncodeToString(sum[:])]
}

// complete charges the maximum cost of a generation to its client account, streams the answer, and refunds the output
// tokens that were not generated.
func (m *vm) complete(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	var in completionRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return writeRefusal(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeInvalidRequest, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest})
	}
	g := fuchsiaspoke.Generation{
		RequestID: rand.Text(), Adapter: m.profiles[in.Model].Adapter, Body: body, MaxOutputTokens: in.MaxTokens,
		PromptTokens: int64(len(in.Prompt)+bytesPerToken-1) / bytesPerToken,
	}
	account := m.buckets[m.accountOf(c.Request())]
	if account == nil || !account.tryTake(float64(g.CostTokens()), time.Now()) {
		return writeRefusal(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests})
	}
	unusedTokens := g.MaxOutputTokens
	err = m.generateWithRetry(c.Request().Context(), g, func(chunk fuchsiaspoke.Chunk) error {
		unusedTokens -= chunk.Tokens
		return writeChunk(c, chunk)
	})
	account.refund(float64(unusedTokens))
	if err == nil {
		_, err = fmt.Fprint(c.Response(), "data: [DONE]\n\n")
		return err
	}
	var refusal *fuchsiaspoke.Refusal
	if c.Response().Committed || !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	return writeRefusal(c, refusal)
}

// generateWithRetry retries a generation for up to maxWait, as long as the engine refused it without running it.
func (m *vm) generateWithRetry(ctx context.Context, g fuchsiaspoke.Generation, onChunk func(fuchsiaspoke.Chunk) error) error {
	deadline := time.Now().Add(maxWait)
	e := m.pickEngine(g.Adapter)
	for {
		err := e.generate(ctx, g, onChunk)
		var refusal *fuchsiaspoke.Refusal
		if err == nil || !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryInterval)
		if !m.baseline.ByHash {
			e = m.pickEngine(g.Adapter)
		}
	}
}

// pickEngine returns the engine by the hash of the adapter's name if ByHash is set, and otherwise the next in
// round-robin order.
func (m *vm) pickEngine(adapter fuchsiaspoke.Adapter) *replica {
	if !m.baseline.ByHash {
		return m.engines[int(m.nextIndex.Add(1))%len(m.engines)]
	}
	h := fnv.New64a()
	h.Write([]byte(adapter.Name))
	return m.engines[h.Sum64()%uint64(len(m.engines))]
}

func (e *replica) generate(ctx context.Context, g fuchsiaspoke.Generation, onChunk func(fuchsiaspoke.Chunk) error) error {
	if err := e.load(ctx, g.Adapter); err != nil {
		return err
	}
	err := e.driver.Generate(ctx, g, onChunk)
	if err != nil {
		e.mu.Lock()
		delete(e.loaded, g.Adapter)
		e.mu.Unlock()
	}
	return err
}

// load loads the adapter unless it is resident in this VM's view. If the load fails, it evicts an adapter and loads once
// more.
func (e *replica) load(ctx context.Context, adapter fuchsiaspoke.Adapter) error {
	if e.recordUse(adapter) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case e.loadSlot <- struct{}{}:
		defer func() { <-e.loadSlot }()
	case <-ctx.Done():
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeDeadline, Run: fuchsiaspoke.NotRun, Status: http.StatusGatewayTimeout}
	}
	if e.recordUse(adapter) {
		return nil
	}
	err := e.driver.Load(ctx, adapter, 0)
	if err != nil {
		if err := e.evict(ctx); err != nil {
			return err
		}
		err = e.driver.Load(ctx, adapter, 0)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded[adapter] = err == nil
	return err
}

// recordUse records the time of an adapter's use and reports whether the adapter is resident in this VM's view.
func (e *replica) recordUse(adapter fuchsiaspoke.Adapter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed[adapter] = time.Now()
	return e.loaded[adapter]
}

// evict unloads the adapter that this VM used least recently among those that the engine reports as resident and not
// in use.
func (e *replica) evict(ctx context.Context) error {
	report, err := e.driver.Report(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	var leastRecent fuchsiaspoke.Adapter
	for _, resident := range report.Resident {
		inUse := slices.ContainsFunc(report.Running, func(u fuchsiaspoke.AdapterUse) bool { return u.Adapter == resident })
		if !inUse && (leastRecent.Name == "" || e.lastUsed[resident].Before(e.lastUsed[leastRecent])) {
			leastRecent = resident
		}
	}
	delete(e.loaded, leastRecent)
	e.mu.Unlock()
	return e.driver.Unload(ctx, leastRecent, 0)
}

// forwardCall sends a service call once, to the next service replica in round-robin order.
func (m *vm) forwardCall(c echo.Context) error {
	account := m.buckets[m.accountOf(c.Request())]
	if account == nil || !account.tryTake(1, time.Now()) {
		return writeRefusal(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests})
	}
	service := m.services[int(m.nextIndex.Add(1))%len(m.services)]
	req, err := http.NewRequestWithContext(
		c.Request().Context(), c.Request().Method, "http://"+service.Address+"/"+c.Param("*"), c.Request().Body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return writeRefusal(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOutcomeUnknown, Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway})
	}
	defer resp.Body.Close()
	return c.Stream(resp.StatusCode, resp.Header.Get("Content-Type"), resp.Body)
}

func writeChunk(c echo.Context, chunk fuchsiaspoke.Chunk) error {
	text, err := json.Marshal(chunk.Text)
	if err != nil {
		return err
	}
	w := c.Response()
	if !w.Committed {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%s}]}\n\n", text); err != nil {
		return err
	}
	w.Flush()
	return nil
}

func writeRefusal(c echo.Context, r *fuchsiaspoke.Refusal) error {
	return c.JSON(r.Status, map[string]any{"error": map[string]any{"code": r.Code, "message": r.Message, "run": r.Run}})
}

// tryTake refills the bucket and takes the tokens; it returns false and takes none if the level is too low.
func (b *bucket) tryTake(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// refund returns tokens that a request did not use.
func (b *bucket) refund(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+tokens)
}

// Package baseline is an entry VM without any of the system's decisions, to measure them against.
//
// It reads what is published once, queues nothing, agrees with no other VM, places requests round robin or by hash of
// the adapter, evicts what it used longest ago, and holds client accounts to a fixed part of their rate.
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
	patience      = 10 * time.Second
	retryInterval = 50 * time.Millisecond
	keepSeconds   = 10
	bytesPerToken = 4
)

// Baseline runs entry VMs of one policy; its zero value places round robin and gives each VM 1/n of every rate.
type Baseline struct {
	// ByHash places each adapter on the one engine that its name's hash picks.
	ByHash bool
	// Alone lets each VM give out the whole rate, as if it were the only one.
	Alone bool
}

// vm is one running VM.
type vm struct {
	baseline Baseline
	list     []fuchsiaspoke.VM
	engines  []*replica
	services []fuchsiaspoke.Upstream
	profiles map[string]fuchsiaspoke.Profile
	accounts map[string]string
	buckets  map[string]*bucket
	turn     atomic.Uint64
}

// replica is one engine as this VM knows it.
type replica struct {
	driver *driver.Driver
	// loading has room for the one request that loads; others wait, and requests for resident adapters pass.
	loading chan struct{}

	mu     sync.Mutex
	used   map[fuchsiaspoke.Adapter]time.Time
	loaded map[fuchsiaspoke.Adapter]bool
}

// bucket is a client account's part of its rate and burst.
type bucket struct {
	mu          sync.Mutex
	rate, burst float64
	level       float64
	at          time.Time
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
}

type document[T any] struct {
	Body struct {
		Items []T `json:"items"`
	} `json:"body"`
}

// Run serves callers at the VM's address until ctx ends; it cuts what runs then.
func (b Baseline) Run(ctx context.Context, self fuchsiaspoke.VM, platformURL string) error {
	m := &vm{baseline: b}
	if err := m.read(ctx, platformURL); err != nil {
		return errors.Wrap(err, "read what is published")
	}
	l, err := net.Listen("tcp", self.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e := echo.New()
	e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/v1/entry", m.entry)
	e.POST("/v1/completions", m.complete)
	e.POST("/v1/idempotency_keys", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]string{"idempotency_key": rand.Text()})
	})
	e.Any("/v1/services/:profile/*", m.call)
	return new(server.Server).Serve(ctx, l, e)
}

func (m *vm) read(ctx context.Context, url string) error {
	upstreams, err := fetch[fuchsiaspoke.Upstream](ctx, url, fuchsiaspoke.UpstreamsDocument)
	if err != nil {
		return err
	}
	profiles, err := fetch[fuchsiaspoke.Profile](ctx, url, fuchsiaspoke.ProfilesDocument)
	if err != nil {
		return err
	}
	accounts, err := fetch[fuchsiaspoke.ClientAccount](ctx, url, fuchsiaspoke.AccountsDocument)
	if err != nil {
		return err
	}
	keys, err := fetch[fuchsiaspoke.Key](ctx, url, fuchsiaspoke.KeysDocument)
	if err != nil {
		return err
	}
	if m.list, err = fetch[fuchsiaspoke.VM](ctx, url, fuchsiaspoke.VMsDocument); err != nil {
		return err
	}
	m.take(upstreams, profiles, accounts, keys)
	return nil
}

func (m *vm) take(
	upstreams []fuchsiaspoke.Upstream, profiles []fuchsiaspoke.Profile,
	accounts []fuchsiaspoke.ClientAccount, keys []fuchsiaspoke.Key,
) {
	m.profiles = make(map[string]fuchsiaspoke.Profile)
	m.accounts = make(map[string]string)
	m.buckets = make(map[string]*bucket)
	for _, u := range upstreams {
		if u.Kind == fuchsiaspoke.ServiceUpstream {
			m.services = append(m.services, u)
			continue
		}
		m.engines = append(m.engines, &replica{
			driver: &driver.Driver{Upstream: u}, loading: make(chan struct{}, 1),
			used: make(map[fuchsiaspoke.Adapter]time.Time), loaded: make(map[fuchsiaspoke.Adapter]bool),
		})
	}
	for _, p := range profiles {
		m.profiles[p.Name] = p
	}
	for _, k := range keys {
		m.accounts[k.Hash] = k.Account
	}
	part := 1 / float64(len(m.list))
	if m.baseline.Alone {
		part = 1
	}
	for _, a := range accounts {
		burst := part * a.BurstTokens
		m.buckets[a.Name] = &bucket{rate: part * a.RateTokensPerSecond, burst: burst, level: burst, at: time.Now()}
	}
}

func fetch[T any](ctx context.Context, url string, kind fuchsiaspoke.DocumentKind) ([]T, error) {
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

func (m *vm) entry(c echo.Context) error {
	at := int(m.turn.Add(1)) % len(m.list)
	addresses := make([]string, len(m.list))
	for i := range m.list {
		addresses[i] = m.list[(at+i)%len(m.list)].CallerAddress
	}
	return c.JSON(http.StatusOK, map[string]any{"addresses": addresses, "keep_seconds": keepSeconds})
}

func (m *vm) account(r *http.Request) string {
	sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	return m.accounts[hex.EncodeToString(sum[:])]
}

func (m *vm) complete(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	var in completion
	if err := json.Unmarshal(body, &in); err != nil {
		return refuse(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeInvalidRequest, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest})
	}
	g := fuchsiaspoke.Generation{
		RequestID: rand.Text(), Adapter: m.profiles[in.Model].Adapter, Body: body, MaxOutputTokens: in.MaxTokens,
		PromptTokens: int64(len(in.Prompt)+bytesPerToken-1) / bytesPerToken,
	}
	account := m.buckets[m.account(c.Request())]
	if account == nil || !account.take(float64(g.CostTokens()), time.Now()) {
		return refuse(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests})
	}
	left := g.MaxOutputTokens
	err = m.run(c.Request().Context(), g, func(chunk fuchsiaspoke.Chunk) error {
		left -= chunk.Tokens
		return write(c, chunk)
	})
	account.give(float64(left))
	if err == nil {
		_, err = fmt.Fprint(c.Response(), "data: [DONE]\n\n")
		return err
	}
	var refusal *fuchsiaspoke.Refusal
	if c.Response().Committed || !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	return refuse(c, refusal)
}

// run tries until patience ends, as long as nothing ran.
func (m *vm) run(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	deadline := time.Now().Add(patience)
	e := m.pick(g.Adapter)
	for {
		err := e.generate(ctx, g, sink)
		var refusal *fuchsiaspoke.Refusal
		if err == nil || !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryInterval)
		if !m.baseline.ByHash {
			e = m.pick(g.Adapter)
		}
	}
}

func (m *vm) pick(adapter fuchsiaspoke.Adapter) *replica {
	if !m.baseline.ByHash {
		return m.engines[int(m.turn.Add(1))%len(m.engines)]
	}
	h := fnv.New64a()
	h.Write([]byte(adapter.Name))
	return m.engines[h.Sum64()%uint64(len(m.engines))]
}

func (e *replica) generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	if err := e.load(ctx, g.Adapter); err != nil {
		return err
	}
	err := e.driver.Generate(ctx, g, sink)
	if err != nil {
		e.mu.Lock()
		delete(e.loaded, g.Adapter)
		e.mu.Unlock()
	}
	return err
}

// load loads the adapter unless this VM believes it resident.
func (e *replica) load(ctx context.Context, adapter fuchsiaspoke.Adapter) error {
	if e.use(adapter) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case e.loading <- struct{}{}:
		defer func() { <-e.loading }()
	case <-ctx.Done():
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeDeadline, Run: fuchsiaspoke.NotRun, Status: http.StatusGatewayTimeout}
	}
	if e.use(adapter) {
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

// use notes the use of an adapter and reports whether this VM believes it resident.
func (e *replica) use(adapter fuchsiaspoke.Adapter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.used[adapter] = time.Now()
	return e.loaded[adapter]
}

// evict unloads, of the adapters that the engine's report shows unused, the one that this VM used longest ago.
func (e *replica) evict(ctx context.Context) error {
	report, err := e.driver.Report(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	var oldest fuchsiaspoke.Adapter
	for _, resident := range report.Resident {
		inUse := slices.ContainsFunc(report.Running, func(u fuchsiaspoke.AdapterUse) bool { return u.Adapter == resident })
		if !inUse && (oldest.Name == "" || e.used[resident].Before(e.used[oldest])) {
			oldest = resident
		}
	}
	delete(e.loaded, oldest)
	e.mu.Unlock()
	return e.driver.Unload(ctx, oldest, 0)
}

// call passes one call on, once, to the services in turn.
func (m *vm) call(c echo.Context) error {
	account := m.buckets[m.account(c.Request())]
	if account == nil || !account.take(1, time.Now()) {
		return refuse(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests})
	}
	to := m.services[int(m.turn.Add(1))%len(m.services)]
	req, err := http.NewRequestWithContext(
		c.Request().Context(), c.Request().Method, "http://"+to.Address+"/"+c.Param("*"), c.Request().Body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return refuse(c, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOutcomeUnknown, Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway})
	}
	defer resp.Body.Close()
	return c.Stream(resp.StatusCode, resp.Header.Get("Content-Type"), resp.Body)
}

func write(c echo.Context, chunk fuchsiaspoke.Chunk) error {
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

func refuse(c echo.Context, r *fuchsiaspoke.Refusal) error {
	return c.JSON(r.Status, map[string]any{"error": map[string]any{"code": r.Code, "message": r.Message, "run": r.Run}})
}

func (b *bucket) take(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

func (b *bucket) give(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+tokens)
}

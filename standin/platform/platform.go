// Package platform stands in for the platform's configuration service in tests and demonstrations.
//
// The system reads with GET /v1/values/{name} and watches with GET /v1/changes?after=REVISION&wait_ms=N; any other
// method under /v1 is recorded as a write and refused with 405. Operators publish with PUT /operator/values/{name}.
// GET and POST /fault read and set the faults Down, LateMillis, StaleAt, ListLagMillis, Backwards and Silence, and
// GET /records gives the record.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/server"
	"github.com/labstack/echo/v4"
)

const (
	maxBodyBytes          = 1 << 20
	defaultCallsPerSecond = 2000
	defaultMaxWait        = 30 * time.Second
)

// Platform is the configuration service: values that can be read and watched, with one global rising revision.
type Platform struct {
	// CallsPerSecond is the limit over all readers; zero stands for 2,000.
	CallsPerSecond int

	server server.Server

	mu       sync.Mutex
	revision int64
	values   map[string][]version
	changed  chan struct{}
	fault    fault.Fault
	reads    int64
	recent   []time.Time
	records  []record.Record
}

type version struct {
	document fuchsiaspoke.Document
	at       time.Time
}

type change struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type changes struct {
	Revision int64    `json:"revision"`
	Changed  []change `json:"changed"`
}

// Publish sets a value and returns its revision, or zero for a body above one megabyte.
func (p *Platform) Publish(name string, body json.RawMessage) int64 {
	if len(body) > maxBodyBytes {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	doc := fuchsiaspoke.Document{Name: name, Revision: p.revision, Body: slices.Clone(body)}
	if p.values == nil {
		p.values = make(map[string][]version)
	}
	p.values[name] = append(p.values[name], version{document: doc, at: time.Now()})
	p.wake()
	return p.revision
}

// Revision returns the highest revision that was published.
func (p *Platform) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// SetFault replaces the faults in force.
func (p *Platform) SetFault(f fault.Fault) {
	if f.Silence {
		p.server.Silence()
		f.Silence = false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

// Fault returns the faults in force.
func (p *Platform) Fault() fault.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Records returns a copy of every call that the system made, in order of arrival.
func (p *Platform) Records() []record.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.records)
}

// Serve answers on l until ctx ends.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	return p.server.Serve(ctx, l, p.Handler())
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	v1 := e.Group("/v1", p.admit)
	v1.GET("/values/:name", p.read)
	v1.GET("/changes", p.watch)
	v1.Any("/*", func(c echo.Context) error { return echo.ErrNotFound })
	e.PUT("/operator/values/:name", p.put)
	e.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Records()) })
	e.GET("/fault", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Fault()) })
	e.POST("/fault", p.postFault)
	return e
}

func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// admit records each call, refuses writes and holds all readers to the rate.
func (p *Platform) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.Method != http.MethodGet {
			p.record(r, "write", http.StatusMethodNotAllowed)
			return echo.ErrMethodNotAllowed
		}
		if !p.take(time.Now()) {
			p.record(r, "call", http.StatusTooManyRequests)
			return echo.ErrTooManyRequests
		}
		p.record(r, "call", http.StatusOK)
		f := p.Fault()
		if f.LateMillis > 0 {
			sleep(r.Context(), time.Duration(f.LateMillis)*time.Millisecond)
		}
		if f.Down {
			return echo.ErrServiceUnavailable
		}
		return next(c)
	}
}

func (p *Platform) record(r *http.Request, kind string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, record.Record{
		Kind: kind, Start: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Status: status,
	})
}

// take counts one call against the last second.
func (p *Platform) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.CallsPerSecond
	if limit == 0 {
		limit = defaultCallsPerSecond
	}
	old := 0
	for old < len(p.recent) && now.Sub(p.recent[old]) >= time.Second {
		old++
	}
	p.recent = p.recent[old:]
	if len(p.recent) >= limit {
		return false
	}
	p.recent = append(p.recent, now)
	return true
}

func (p *Platform) read(c echo.Context) error {
	doc, ok := p.lookup(c.Param("name"), time.Now())
	if !ok {
		return echo.ErrNotFound
	}
	return c.JSON(http.StatusOK, doc)
}

// lookup returns the value as the faults in force show it.
func (p *Platform) lookup(name string, now time.Time) (fuchsiaspoke.Document, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	visible := p.visible(name, now)
	if len(visible) == 0 {
		return fuchsiaspoke.Document{}, false
	}
	last := len(visible) - 1
	if p.fault.Backwards && last > 0 && p.reads%2 == 0 {
		last--
	}
	return visible[last].document, true
}

func (p *Platform) visible(name string, now time.Time) []version {
	all := p.values[name]
	lag := time.Duration(0)
	if name == string(fuchsiaspoke.VMsDocument) {
		lag = time.Duration(p.fault.ListLagMillis) * time.Millisecond
	}
	n := 0
	for n < len(all) {
		v := all[n]
		if p.fault.StaleAt > 0 && v.document.Revision > p.fault.StaleAt {
			break
		}
		if lag > 0 && now.Sub(v.at) < lag {
			break
		}
		n++
	}
	return all[:n]
}

func (p *Platform) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.ErrBadRequest
	}
	wait, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		return echo.ErrBadRequest
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, defaultMaxWait))
	defer timer.Stop()
	for {
		got, changed, lagging := p.since(after, time.Now())
		if len(got.Changed) > 0 {
			return c.JSON(http.StatusOK, got)
		}
		select {
		case <-changed:
		case <-lagging:
		case <-timer.C:
			return c.JSON(http.StatusOK, got)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

const lagPoll = 50 * time.Millisecond

// since returns what changed after a revision and the channels that tell when to look again.
func (p *Platform) since(after int64, now time.Time) (changes, <-chan struct{}, <-chan time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := changes{Changed: []change{}}
	for name := range p.values {
		visible := p.visible(name, now)
		if len(visible) == 0 {
			continue
		}
		rev := visible[len(visible)-1].document.Revision
		got.Revision = max(got.Revision, rev)
		if rev > after {
			got.Changed = append(got.Changed, change{Name: name, Revision: rev})
		}
	}
	slices.SortFunc(got.Changed, func(a, b change) int { return strings.Compare(a.Name, b.Name) })
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if p.fault.ListLagMillis > 0 {
		return got, p.changed, time.After(lagPoll)
	}
	return got, p.changed, nil
}

func (p *Platform) put(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return echo.ErrBadRequest
	}
	name := c.Param("name")
	rev := p.Publish(name, body)
	if rev == 0 {
		return echo.ErrStatusRequestEntityTooLarge
	}
	return c.JSON(http.StatusOK, change{Name: name, Revision: rev})
}

func (p *Platform) postFault(c echo.Context) error {
	f := p.Fault()
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.ErrBadRequest
	}
	p.SetFault(f)
	return c.JSON(http.StatusOK, p.Fault())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

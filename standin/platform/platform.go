// Package platform simulates the platform's configuration service.
//
// Clients read values with GET /v1/values/{name} and long-poll for changes with
// GET /v1/changes?after=REVISION&wait_ms=N; any other method under /v1 is recorded as a write and refused with 405.
// Operators publish with PUT /operator/values/{name}. GET and POST /fault read and set the injected faults, of which the
// platform applies Down, DelayMillis, MaxVisibleRevision, ListLagMillis, AlternateOldRevisions and StallConnections. GET /records
// returns the records.
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
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/labstack/echo/v4"
)

const (
	maxBodyBytes          = 1 << 20
	defaultCallsPerSecond = 2000
	// maxWatchWait caps wait_ms of a long poll.
	maxWatchWait = 30 * time.Second
)

// Platform holds versioned values that can be read and watched; one revision counter covers all values.
type Platform struct {
	// CallsPerSecond is the rate limit over all clients together; zero means 2,000.
	CallsPerSecond int

	server server.Server

	mu       sync.Mutex
	revision int64
	values   map[string][]version
	// notify is closed and set to nil when values or faults change; the next long poll creates it again.
	notify      chan struct{}
	fault       fault.Fault
	readCount   int64
	recentCalls []time.Time
	records     []record.Record
}

// version is one published revision of a value.
type version struct {
	document    fuchsiaspoke.Document
	publishedAt time.Time
}

type change struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// changes is the response to GET /v1/changes.
type changes struct {
	Revision int64    `json:"revision"`
	Changed  []change `json:"changed"`
}

// Publish sets a value and returns its revision, or zero if the body exceeds 1 MiB.
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
	p.values[name] = append(p.values[name], version{document: doc, publishedAt: time.Now()})
	p.notifyWatchers()
	return p.revision
}

// Revision returns the highest published revision.
func (p *Platform) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// SetFault replaces the injected faults. StallConnections takes effect once and is not kept.
func (p *Platform) SetFault(f fault.Fault) {
	if f.StallConnections {
		p.server.StallOpenConnections()
		f.StallConnections = false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.notifyWatchers()
}

// Fault returns the injected faults.
func (p *Platform) Fault() fault.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Records returns a copy of the records of all calls under /v1, in order of arrival.
func (p *Platform) Records() []record.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.records)
}

// Serve serves HTTP on l until ctx ends.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	return p.server.Serve(ctx, l, p.Handler())
}

// Handler returns the HTTP handler.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	v1 := e.Group("/v1", p.admitCall)
	v1.GET("/values/:name", p.getValue)
	v1.GET("/changes", p.getChanges)
	v1.Any("/*", func(c echo.Context) error { return echo.ErrNotFound })
	e.PUT("/operator/values/:name", p.putValue)
	e.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Records()) })
	e.GET("/fault", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Fault()) })
	e.POST("/fault", p.postFault)
	return e
}

// notifyWatchers makes all long polls check for changes; the caller holds the lock.
func (p *Platform) notifyWatchers() {
	if p.notify != nil {
		close(p.notify)
		p.notify = nil
	}
}

// admitCall is middleware that records each call, refuses writes, enforces the rate limit and injects DelayMillis and Down.
func (p *Platform) admitCall(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.Method != http.MethodGet {
			p.record(r, "write", http.StatusMethodNotAllowed)
			return echo.ErrMethodNotAllowed
		}
		if !p.allowCall(time.Now()) {
			p.record(r, "call", http.StatusTooManyRequests)
			return echo.ErrTooManyRequests
		}
		p.record(r, "call", http.StatusOK)
		f := p.Fault()
		if f.DelayMillis > 0 {
			sleeper.Sleep(r.Context(), time.Duration(f.DelayMillis)*time.Millisecond)
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

// allowCall reports whether the last second had fewer calls than the limit, and counts this call if so.
func (p *Platform) allowCall(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.CallsPerSecond
	if limit == 0 {
		limit = defaultCallsPerSecond
	}
	expired := 0
	for expired < len(p.recentCalls) && now.Sub(p.recentCalls[expired]) >= time.Second {
		expired++
	}
	p.recentCalls = p.recentCalls[expired:]
	if len(p.recentCalls) >= limit {
		return false
	}
	p.recentCalls = append(p.recentCalls, now)
	return true
}

func (p *Platform) getValue(c echo.Context) error {
	doc, ok := p.lookup(c.Param("name"), time.Now())
	if !ok {
		return echo.ErrNotFound
	}
	return c.JSON(http.StatusOK, doc)
}

// lookup returns the latest visible version of a value. Under fault AlternateOldRevisions every second read of the platform
// returns the version before it, if there is one.
func (p *Platform) lookup(name string, now time.Time) (fuchsiaspoke.Document, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readCount++
	visibleVersions := p.visibleVersions(name, now)
	if len(visibleVersions) == 0 {
		return fuchsiaspoke.Document{}, false
	}
	last := len(visibleVersions) - 1
	if p.fault.AlternateOldRevisions && last > 0 && p.readCount%2 == 0 {
		last--
	}
	return visibleVersions[last].document, true
}

// visibleVersions returns the versions of a value that MaxVisibleRevision and ListLagMillis do not hide; the caller
// holds the lock.
func (p *Platform) visibleVersions(name string, now time.Time) []version {
	all := p.values[name]
	lag := time.Duration(0)
	if name == string(fuchsiaspoke.VMsDocument) {
		lag = time.Duration(p.fault.ListLagMillis) * time.Millisecond
	}
	n := 0
	for n < len(all) {
		v := all[n]
		if p.fault.MaxVisibleRevision > 0 && v.document.Revision > p.fault.MaxVisibleRevision {
			break
		}
		if lag > 0 && now.Sub(v.publishedAt) < lag {
			break
		}
		n++
	}
	return all[:n]
}

// getChanges responds as soon as a value has a revision above after, or when the wait time ends.
func (p *Platform) getChanges(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.ErrBadRequest
	}
	wait, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		return echo.ErrBadRequest
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		got, changed, recheck := p.changesAfter(after, time.Now())
		if len(got.Changed) > 0 {
			return c.JSON(http.StatusOK, got)
		}
		select {
		case <-changed:
		case <-recheck:
		case <-timer.C:
			return c.JSON(http.StatusOK, got)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// listLagPollInterval is how often a long poll checks for versions that ListLagMillis no longer hides.
const listLagPollInterval = 50 * time.Millisecond

// changesAfter returns the values with a visible revision above after, and two channels that signal when to check again:
// on a publication or new faults, and, under fault ListLagMillis, after listLagPollInterval.
func (p *Platform) changesAfter(after int64, now time.Time) (changes, <-chan struct{}, <-chan time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := changes{Changed: []change{}}
	for name := range p.values {
		visibleVersions := p.visibleVersions(name, now)
		if len(visibleVersions) == 0 {
			continue
		}
		rev := visibleVersions[len(visibleVersions)-1].document.Revision
		got.Revision = max(got.Revision, rev)
		if rev > after {
			got.Changed = append(got.Changed, change{Name: name, Revision: rev})
		}
	}
	slices.SortFunc(got.Changed, func(a, b change) int { return strings.Compare(a.Name, b.Name) })
	if p.notify == nil {
		p.notify = make(chan struct{})
	}
	if p.fault.ListLagMillis > 0 {
		return got, p.notify, time.After(listLagPollInterval)
	}
	return got, p.notify, nil
}

func (p *Platform) putValue(c echo.Context) error {
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

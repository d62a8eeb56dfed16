package engine

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
)

// run is one completion request, kept from its arrival until finishedRunRetention after its end.
type run struct {
	id              string
	adapter         fuchsiaspoke.Adapter
	prompt          string
	promptHash      string
	promptTokens    int64
	cachedTokens    int64
	maxOutputTokens int64
	priority        int64
	sequence        int64
	headers         map[string][]string

	arrivedAt  time.Time
	admittedAt time.Time
	endedAt    time.Time
	// outcome is empty until the run has ended; only "length" means that all chunks were generated.
	outcome string
	chunks  []fuchsiaspoke.Chunk
	// updated is closed and replaced whenever chunks or outcome change.
	updated chan struct{}
	// readers is the number of open connections that receive chunks; lastDisconnect is when one last closed.
	readers        int
	lastDisconnect time.Time
}

// runBatchLoop runs batch steps while there are requests, and returns when ctx ends.
func (e *Engine) runBatchLoop(ctx context.Context) {
	tick := time.NewTicker(disconnectedRunTimeout / 4)
	defer tick.Stop()
	for {
		stepTime, hasRunning := e.admitWaiting(time.Now())
		if !hasRunning {
			select {
			case <-ctx.Done():
				return
			case <-e.runQueued:
			case <-tick.C:
			}
			continue
		}
		timer := time.NewTimer(stepTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		e.decodeStep()
	}
}

// admitWaiting fills the batch from the waiting queue. It returns the time of the next step and whether the batch has
// any requests.
func (e *Engine) admitWaiting(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireRuns(now)
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sequence, b.sequence))
	})
	var uncachedTokens int64
	changed := false
	for len(e.running) < e.BatchSize() && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.admittedAt = now
		r.cachedTokens = min(r.promptTokens, e.cache.matchAndInsert(r.adapter, r.prompt, now))
		uncachedTokens += r.promptTokens - r.cachedTokens
		changed = true
	}
	if changed {
		e.recordSnapshot()
	}
	return e.stepTime(uncachedTokens), len(e.running) > 0
}

// stepTime returns the time of one step that also prefills uncachedTokens prompt tokens.
func (e *Engine) stepTime(uncachedTokens int64) time.Duration {
	distinct := make(map[fuchsiaspoke.Adapter]struct{})
	for _, r := range e.running {
		distinct[r.adapter] = struct{}{}
	}
	total := orDefault(e.StepBase, defaultStepBase)
	total += time.Duration(len(e.running)) * orDefault(e.StepPerRequest, defaultStepPerRequest)
	total += time.Duration(len(distinct)) * orDefault(e.StepPerAdapter, defaultStepPerAdapter)
	total += time.Duration(uncachedTokens) * orDefault(e.PrefillPerToken, defaultPrefillPerToken)
	return total
}

// decodeStep generates one token for each running request.
func (e *Engine) decodeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.running) {
		n := int64(len(r.chunks))
		chunk := fuchsiaspoke.Chunk{
			PromptTokens: r.promptTokens,
			RequestID:    r.id, Index: n, Adapter: r.adapter, Tokens: 1,
			Text: fmt.Sprintf("%s@%d/%s/%d ", r.adapter.Name, r.adapter.Version, r.promptHash[:8], n),
		}
		if n+1 >= r.maxOutputTokens {
			chunk.FinishReason = "length"
		}
		r.chunks = append(r.chunks, chunk)
		if chunk.FinishReason != "" {
			e.endRun(r, chunk.FinishReason)
			continue
		}
		r.notifyReaders()
	}
}

// expireRuns cancels runs that have had no connection for disconnectedRunTimeout and deletes those that ended more than
// finishedRunRetention ago; the caller holds the lock.
func (e *Engine) expireRuns(now time.Time) {
	for id, r := range e.runsByID {
		if r.outcome != "" {
			if now.Sub(r.endedAt) > finishedRunRetention {
				delete(e.runsByID, id)
			}
			continue
		}
		if r.readers == 0 && now.Sub(r.lastDisconnect) > disconnectedRunTimeout {
			e.endRun(r, "connection_lost")
		}
	}
}

// endRun ends and records a run unless it has already ended; the caller holds the lock.
func (e *Engine) endRun(r *run, outcome string) {
	if r.outcome != "" {
		return
	}
	r.outcome = outcome
	r.endedAt = time.Now()
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
	e.waiting = slices.DeleteFunc(e.waiting, func(other *run) bool { return other == r })
	kind := "run"
	if r.admittedAt.IsZero() {
		kind = "not_run"
	}
	e.records = append(e.records, record.Record{
		Kind: kind, Start: r.admittedAt, End: r.endedAt, Arrived: r.arrivedAt, Detail: outcome, RequestID: r.id,
		Adapter: r.adapter, Incarnation: e.incarnation, PromptHash: r.promptHash, Headers: r.headers,
		PromptTokens: r.promptTokens, CachedTokens: r.cachedTokens, OutputTokens: int64(len(r.chunks)),
	})
	r.notifyReaders()
	e.recordSnapshot()
}

func (r *run) notifyReaders() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// countRequests returns the number of running and waiting requests for an adapter.
func (e *Engine) countRequests(adapter fuchsiaspoke.Adapter) int {
	n := 0
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.adapter == adapter {
			n++
		}
	}
	return n
}

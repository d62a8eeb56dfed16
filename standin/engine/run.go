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

// run is one request from its arrival until it is forgotten.
type run struct {
	id           string
	adapter      fuchsiaspoke.Adapter
	prompt       string
	promptHash   string
	promptTokens int64
	cachedTokens int64
	limit        int64
	priority     int64
	sequence     int64
	headers      map[string][]string

	arrived time.Time
	began   time.Time
	ended   time.Time
	// outcome is empty until the run has ended; only "length" ends with a whole answer.
	outcome string
	chunks  []fuchsiaspoke.Chunk
	// grown is closed and replaced when chunks or outcome change.
	grown chan struct{}
	// readers is the number of open connections; lost is when the last one broke.
	readers int
	lost    time.Time
}

// loop runs steps while there is work and ends with ctx.
func (e *Engine) loop(ctx context.Context) {
	tick := time.NewTicker(orphanGrace / 4)
	defer tick.Stop()
	for {
		took, busy := e.admit(time.Now())
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			case <-tick.C:
			}
			continue
		}
		timer := time.NewTimer(took)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		e.decode()
	}
}

// admit fills the batch and returns how long the step takes.
func (e *Engine) admit(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(now)
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sequence, b.sequence))
	})
	var fresh int64
	changed := false
	for len(e.running) < e.BatchSize() && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.began = now
		r.cachedTokens = min(r.promptTokens, e.cache.hit(r.adapter, r.prompt, now))
		fresh += r.promptTokens - r.cachedTokens
		changed = true
	}
	if changed {
		e.note()
	}
	return e.stepTime(fresh), len(e.running) > 0
}

func (e *Engine) stepTime(fresh int64) time.Duration {
	distinct := make(map[fuchsiaspoke.Adapter]struct{})
	for _, r := range e.running {
		distinct[r.adapter] = struct{}{}
	}
	took := orDefault(e.StepBase, defaultStepBase)
	took += time.Duration(len(e.running)) * orDefault(e.StepPerRequest, defaultStepPerRequest)
	took += time.Duration(len(distinct)) * orDefault(e.StepPerAdapter, defaultStepPerAdapter)
	took += time.Duration(fresh) * orDefault(e.PrefillPerToken, defaultPrefillPerToken)
	return took
}

// decode gives each running request one token.
func (e *Engine) decode() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.running) {
		n := int64(len(r.chunks))
		chunk := fuchsiaspoke.Chunk{
			PromptTokens: r.promptTokens,
			RequestID:    r.id, Index: n, Adapter: r.adapter, Tokens: 1,
			Text: fmt.Sprintf("%s@%d/%s/%d ", r.adapter.Name, r.adapter.Version, r.promptHash[:8], n),
		}
		if n+1 >= r.limit {
			chunk.FinishReason = "length"
		}
		r.chunks = append(r.chunks, chunk)
		if chunk.FinishReason != "" {
			e.finish(r, chunk.FinishReason)
			continue
		}
		r.grow()
	}
}

// sweep cancels the runs that lost their caller and forgets the ones that ended long ago.
func (e *Engine) sweep(now time.Time) {
	for id, r := range e.runs {
		if r.outcome != "" {
			if now.Sub(r.ended) > keepDone {
				delete(e.runs, id)
			}
			continue
		}
		if r.readers == 0 && now.Sub(r.lost) > orphanGrace {
			e.finish(r, "connection_lost")
		}
	}
}

// finish ends a run, if it has not ended, and records it; the lock is held.
func (e *Engine) finish(r *run, outcome string) {
	if r.outcome != "" {
		return
	}
	r.outcome = outcome
	r.ended = time.Now()
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
	e.waiting = slices.DeleteFunc(e.waiting, func(other *run) bool { return other == r })
	kind := "run"
	if r.began.IsZero() {
		kind = "not_run"
	}
	e.records = append(e.records, record.Record{
		Kind: kind, Start: r.began, End: r.ended, Arrived: r.arrived, Detail: outcome, RequestID: r.id,
		Adapter: r.adapter, Incarnation: e.incarnation, PromptHash: r.promptHash, Headers: r.headers,
		PromptTokens: r.promptTokens, CachedTokens: r.cachedTokens, OutputTokens: int64(len(r.chunks)),
	})
	r.grow()
	e.note()
}

func (r *run) grow() {
	close(r.grown)
	r.grown = make(chan struct{})
}

func (e *Engine) inUse(adapter fuchsiaspoke.Adapter) int {
	n := 0
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.adapter == adapter {
			n++
		}
	}
	return n
}

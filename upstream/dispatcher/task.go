package dispatcher

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// withdrawGrace is how long a running stream may go on after its key was withdrawn.
	withdrawGrace = 2 * time.Second
	// maxAttempts bounds how often one generation is sent when the engine lacked its adapter.
	maxAttempts = 3
	// firstPause and maxPause bound how long sends are kept off an engine that refuses them.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

var (
	errCallerGone = errors.New("caller is gone")
	errWithdrawn  = errors.New("key was withdrawn")
	errStalled    = errors.New("the stream gave nothing for too long")
	errMismatch   = errors.New("answer belongs to another request")
)

// task is one submitted generation.
type task struct {
	generation fuchsiaspoke.Generation
	// verdict has room for the one verdict that a queued task gets: nil to send, or a refusal.
	verdict chan error
	cut     context.CancelCauseFunc
	// generated is the number of output tokens so far.
	generated atomic.Int64

	// run and attempts belong to the caller's goroutine while the task is granted, and to the duty while it is not.
	run      fuchsiaspoke.Run
	attempts int

	// The fields below belong to the duty; a grant publishes fence and deadline to the caller's goroutine.
	charged  int64
	tenure   int64
	fence    int64
	deadline time.Duration
	cutAt    time.Duration
}

// outcome is how one sending of a task ended.
type outcome struct {
	// again asks to queue the task again.
	again bool
	// missing says that the engine lacked the adapter.
	missing bool
	// mayRun says that the engine may still run the request.
	mayRun bool
	// refused says that the engine took no work for another reason.
	refused bool
	// sent says that the engine took the request.
	sent bool
}

// stream is what a caller has seen of its answer.
type stream struct {
	seen     bool
	finished bool
	sinkErr  error
}

// Submit queues the generation, hands its answer to sink, and returns when the answer has ended.
//
// Errors are *fuchsiaspoke.Refusal whose Run is what is known for certain. A generation that surely did not run is sent
// again within its patience; one that may have run is not, since the tokens of a second run were never reserved.
func (d *Dispatcher) Submit(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	d.init()
	if g.Patience <= 0 {
		g.Patience = defaultPatience
	}
	ctx, cut := context.WithCancelCause(ctx)
	defer cut(nil)
	t := &task{generation: g, verdict: make(chan error, 1), cut: cut, run: fuchsiaspoke.NotRun}
	select {
	case d.inbox <- submitted{t}:
	case <-ctx.Done():
		return refusalOf(goneRefusal(), fuchsiaspoke.NotRun)
	case <-d.done:
		return refusalOf(drainingRefusal(), fuchsiaspoke.NotRun)
	}
	for {
		if err := d.await(ctx, t); err != nil {
			return err
		}
		result, err := d.attempt(ctx, t, sink)
		if !d.post(finished{t, result}) && result.again {
			return refusalOf(drainingRefusal(), t.run)
		}
		if !result.again {
			return err
		}
	}
}

// await waits for the task's verdict.
func (d *Dispatcher) await(ctx context.Context, t *task) error {
	gone := ctx.Done()
	for {
		select {
		case err := <-t.verdict:
			return err
		case <-gone:
			gone = nil
			d.post(canceled{t})
		case <-d.done:
			return refusalOf(drainingRefusal(), t.run)
		}
	}
}

// attempt sends the task once, after the last checks, the lease last of all.
func (d *Dispatcher) attempt(ctx context.Context, t *task, sink func(fuchsiaspoke.Chunk) error) (outcome, error) {
	g := t.generation
	g.Fence = t.fence
	if ctx.Err() != nil {
		return outcome{}, d.failed(t, goneRefusal())
	}
	if d.Check != nil {
		if err := d.Check(g); err != nil {
			return outcome{}, d.failed(t, checkRefusal(err))
		}
	}
	sending, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watchdog := time.AfterFunc(d.Stall, func() { stop(errStalled) })
	defer watchdog.Stop()
	s := &stream{}
	d.recordSent(t)
	now := d.Clock()
	if now >= t.deadline {
		return outcome{}, d.failed(t, deadlineRefusal())
	}
	if lease, ok := d.Lease(now); !ok || lease.Fence != t.fence {
		return outcome{}, d.failed(t, leaseRefusal())
	}
	err := d.Engine.Generate(sending, g, func(c fuchsiaspoke.Chunk) error {
		watchdog.Stop()
		defer watchdog.Reset(d.Stall)
		return s.take(t, c, sink)
	})
	if err != nil && errors.Is(context.Cause(sending), errStalled) {
		err = errStalled
	}
	return d.judge(ctx, t, s, err)
}

// take checks one chunk and hands it on.
func (s *stream) take(t *task, c fuchsiaspoke.Chunk, sink func(fuchsiaspoke.Chunk) error) error {
	if c.RequestID != t.generation.RequestID || c.Adapter != t.generation.Adapter {
		s.sinkErr = errMismatch
		return errMismatch
	}
	s.seen = true
	s.finished = c.FinishReason != ""
	t.generated.Add(c.Tokens)
	if err := sink(c); err != nil {
		s.sinkErr = err
		return err
	}
	return nil
}

// judge turns the end of a sending into an outcome and, where the task is over, the caller's error.
func (d *Dispatcher) judge(ctx context.Context, t *task, s *stream, err error) (outcome, error) {
	t.attempts++
	if err == nil && s.finished && s.sinkErr == nil {
		d.recordAnswered(t)
		return outcome{sent: true}, nil
	}
	if refusal := notRun(err); refusal != nil && !s.seen && s.sinkErr == nil {
		return d.judgeNotRun(t, refusal)
	}
	t.run = fuchsiaspoke.RunUnknown
	if s.seen {
		t.run = fuchsiaspoke.Ran
	}
	d.cancelAtEngine(ctx, t)
	result := outcome{sent: true, mayRun: true}
	return result, d.failed(t, brokenRefusal(ctx, s, err))
}

// judgeNotRun queues again what the engine surely did not run.
func (d *Dispatcher) judgeNotRun(t *task, refusal *fuchsiaspoke.Refusal) (outcome, error) {
	if isFinal(refusal.Status) {
		return outcome{sent: true}, d.failed(t, *refusal)
	}
	result := outcome{again: true}
	result.missing = refusal.Status == http.StatusNotFound
	result.refused = !result.missing
	if result.missing && t.attempts >= maxAttempts {
		result.again = false
		return result, d.failed(t, missingRefusal())
	}
	return result, nil
}

// cancelAtEngine asks the engine to stop a broken request; only a later report tells that it did.
func (d *Dispatcher) cancelAtEngine(ctx context.Context, t *task) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = d.Engine.Cancel(ctx, t.generation.RequestID)
}

// failed records and returns the refusal of a granted task, with what is known of its run.
func (d *Dispatcher) failed(t *task, refusal fuchsiaspoke.Refusal) error {
	refusal.Run = t.run
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventRefused,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Detail:    string(refusal.Code) + " " + string(refusal.Run),
	})
	return &refusal
}

// recordSent comes before the last look at the lease, since nothing may come after it; a refusal follows where that fails.
func (d *Dispatcher) recordSent(t *task) {
	g := t.generation
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventSent,
		RequestID: g.RequestID,
		Account:   g.Account,
		Detail:    adapterDetail(g.Adapter),
		Tokens:    g.CostTokens(),
	})
}

func (d *Dispatcher) recordAnswered(t *task) {
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventAnswered,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Tokens:    t.generated.Load(),
	})
}

// pauseSends keeps sends off an engine that refuses them, longer each time.
func (d *Dispatcher) pauseSends(now time.Duration, o outcome) {
	if o.sent {
		d.pauses = 0
	}
	if !o.refused || now < d.pausedUntil {
		return
	}
	wait := min(maxPause, firstPause<<min(d.pauses, maxDoublings))
	d.pauses++
	d.pausedUntil = now + jittered(wait)
	d.reporter.next = now
}

// cutWithdrawn ends streams whose key was withdrawn and whose grace period is over.
func (d *Dispatcher) cutWithdrawn(now time.Duration) {
	for t := range d.running {
		if t.cutAt > 0 && now >= t.cutAt {
			t.cut(errWithdrawn)
		}
	}
}

// notRun returns the refusal of an engine that surely did not run the request.
func notRun(err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun {
		return refusal
	}
	return nil
}

// isFinal reports whether the engine would refuse the same request again.
func isFinal(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

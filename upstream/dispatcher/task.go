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
	// withdrawnKeyGrace is how long a running stream may continue after its key was withdrawn.
	withdrawnKeyGrace = 2 * time.Second
	// maxAttempts is the number of sends after which a generation is refused if the engine still lacks its adapter.
	maxAttempts = 3
	// firstPause and maxPause bound the pause of sends after the engine refused a request.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

var (
	errCallerCanceled = errors.New("the caller canceled the request or disconnected")
	errKeyWithdrawn   = errors.New("the key was withdrawn")
	errStalled        = errors.New("the upstream's stream delivered no chunk within the stall timeout")
	errMismatch       = errors.New("a chunk of the upstream's stream has another request id or adapter")
)

// task is one submitted generation.
type task struct {
	generation fuchsiaspoke.Generation
	// decision receives nil to send the queued task, or a refusal. Its buffer of one keeps Run from blocking.
	decision chan error
	cancel   context.CancelCauseFunc
	// generatedTokens is the number of output tokens received so far.
	generatedTokens atomic.Int64

	// run and attempts belong to the caller's goroutine while the task is in the batch, otherwise to Run's goroutine.
	run      fuchsiaspoke.RunStatus
	attempts int

	// The fields below belong to Run's goroutine; the send on decision publishes fence and deadline to the caller's. Times
	// are those of Dispatcher.Clock.
	chargedTokens int64
	termNumber    int64
	fence         int64
	deadline      time.Duration
	// cancelAt is when the running stream is canceled because its key was withdrawn; zero means that it was not.
	cancelAt time.Duration
}

// outcome is the result of one send attempt of a task.
type outcome struct {
	// shouldRequeue says that the task must be queued again.
	shouldRequeue bool
	// adapterMissing says that the engine lacked the adapter.
	adapterMissing bool
	// mayStillRun says that the engine may still run the request.
	mayStillRun bool
	// refused says that the engine refused the request for a temporary reason other than a missing adapter.
	refused bool
	// resetsPause says that the request was sent and was not refused for a temporary reason, so that the backoff of pauses
	// starts again from firstPause.
	resetsPause bool
}

// streamState is the state of a stream as its caller has received it.
type streamState struct {
	hasChunk bool
	finished bool
	sinkErr  error
}

// Submit queues the generation, passes its chunks to sink, and returns when the stream has ended.
//
// Errors are *fuchsiaspoke.Refusal; Run says whether the generation ran, as far as that is certain. A generation that
// certainly did not run is sent again until its deadline. One that may have run is not, since no tokens were reserved for
// a second run.
func (d *Dispatcher) Submit(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	d.init()
	if g.MaxWait <= 0 {
		g.MaxWait = defaultMaxWait
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &task{generation: g, decision: make(chan error, 1), cancel: cancel, run: fuchsiaspoke.NotRun}
	select {
	case d.inbox <- submitRequest{t}:
	case <-ctx.Done():
		return withRun(callerCanceledRefusal(), fuchsiaspoke.NotRun)
	case <-d.done:
		return withRun(drainingRefusal(), fuchsiaspoke.NotRun)
	}
	for {
		if err := d.awaitDecision(ctx, t); err != nil {
			return err
		}
		result, err := d.attempt(ctx, t, sink)
		if !d.post(attemptEnded{t, result}) && result.shouldRequeue {
			return withRun(drainingRefusal(), t.run)
		}
		if !result.shouldRequeue {
			return err
		}
	}
}

// awaitDecision waits until the task is admitted to the batch or refused.
func (d *Dispatcher) awaitDecision(ctx context.Context, t *task) error {
	callerDone := ctx.Done()
	for {
		select {
		case err := <-t.decision:
			return err
		case <-callerDone:
			callerDone = nil
			d.post(callerCanceled{t})
		case <-d.done:
			return withRun(drainingRefusal(), t.run)
		}
	}
}

// attempt sends the task once, after Check, the deadline and, last of all, the lease were checked.
func (d *Dispatcher) attempt(ctx context.Context, t *task, sink func(fuchsiaspoke.Chunk) error) (outcome, error) {
	g := t.generation
	g.Fence = t.fence
	if ctx.Err() != nil {
		return outcome{}, d.recordRefusal(t, callerCanceledRefusal())
	}
	if d.Check != nil {
		if err := d.Check(g); err != nil {
			return outcome{}, d.recordRefusal(t, checkRefusal(err))
		}
	}
	sending, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watchdog := time.AfterFunc(d.StallTimeout, func() { stop(errStalled) })
	defer watchdog.Stop()
	s := &streamState{}
	d.recordSent(t)
	now := d.Clock()
	if now >= t.deadline {
		return outcome{}, d.recordRefusal(t, deadlineRefusal())
	}
	if lease, ok := d.Lease(now); !ok || lease.Fence != t.fence {
		return outcome{}, d.recordRefusal(t, leaseLostRefusal())
	}
	err := d.Engine.Generate(sending, g, func(c fuchsiaspoke.Chunk) error {
		watchdog.Stop()
		defer watchdog.Reset(d.StallTimeout)
		return s.forward(t, c, sink)
	})
	if err != nil && errors.Is(context.Cause(sending), errStalled) {
		err = errStalled
	}
	return d.classify(ctx, t, s, err)
}

// forward checks that the chunk belongs to the task and passes it to sink.
func (s *streamState) forward(t *task, c fuchsiaspoke.Chunk, sink func(fuchsiaspoke.Chunk) error) error {
	if c.RequestID != t.generation.RequestID || c.Adapter != t.generation.Adapter {
		s.sinkErr = errMismatch
		return errMismatch
	}
	s.hasChunk = true
	s.finished = c.FinishReason != ""
	t.generatedTokens.Add(c.Tokens)
	if err := sink(c); err != nil {
		s.sinkErr = err
		return err
	}
	return nil
}

// classify returns the outcome of an attempt and, if the task is not queued again, the caller's error. It cancels a request
// that may still run at the engine.
func (d *Dispatcher) classify(ctx context.Context, t *task, s *streamState, err error) (outcome, error) {
	t.attempts++
	if err == nil && s.finished && s.sinkErr == nil {
		d.recordAnswered(t)
		return outcome{resetsPause: true}, nil
	}
	if refusal := notRunRefusal(err); refusal != nil && !s.hasChunk && s.sinkErr == nil {
		return d.classifyNotRun(t, refusal)
	}
	t.run = fuchsiaspoke.RunUnknown
	if s.hasChunk {
		t.run = fuchsiaspoke.Ran
	}
	d.cancelAtEngine(ctx, t)
	result := outcome{resetsPause: true, mayStillRun: true}
	return result, d.recordRefusal(t, streamFailedRefusal(ctx, s, err))
}

// classifyNotRun returns the outcome for a request that the engine certainly did not run: it is queued again unless the
// refusal's status is permanent. Status 404 means that the adapter is not resident; only then maxAttempts bounds the attempts.
func (d *Dispatcher) classifyNotRun(t *task, refusal *fuchsiaspoke.Refusal) (outcome, error) {
	if isPermanent(refusal.Status) {
		return outcome{resetsPause: true}, d.recordRefusal(t, *refusal)
	}
	result := outcome{shouldRequeue: true}
	result.adapterMissing = refusal.Status == http.StatusNotFound
	result.refused = !result.adapterMissing
	if result.adapterMissing && t.attempts >= maxAttempts {
		result.shouldRequeue = false
		return result, d.recordRefusal(t, adapterMissingRefusal())
	}
	return result, nil
}

// cancelAtEngine cancels a failed request at the engine; only a later report confirms that it stopped.
func (d *Dispatcher) cancelAtEngine(ctx context.Context, t *task) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = d.Engine.Cancel(ctx, t.generation.RequestID)
}

// recordRefusal records and returns the refusal of a task that was admitted to the batch; its Run is the task's.
func (d *Dispatcher) recordRefusal(t *task, refusal fuchsiaspoke.Refusal) error {
	refusal.Run = t.run
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventRefused,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Detail:    string(refusal.Code) + " " + string(refusal.Run),
	})
	return &refusal
}

// recordSent records the send. It is called before the last lease check, since nothing may run between that check and the
// send; if the check fails, a refusal event follows.
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

// recordAnswered records that the task's stream was delivered completely.
func (d *Dispatcher) recordAnswered(t *task) {
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventAnswered,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Tokens:    t.generatedTokens.Load(),
	})
}

// pauseSends pauses sends with exponential backoff if the engine refused the request for a temporary reason, and makes the
// next report due at once.
func (d *Dispatcher) pauseSends(now time.Duration, o outcome) {
	if o.resetsPause {
		d.consecutivePauses = 0
	}
	if !o.refused || now < d.pausedUntil {
		return
	}
	wait := min(maxPause, firstPause<<min(d.consecutivePauses, maxBackoffExponent))
	d.consecutivePauses++
	d.pausedUntil = now + jittered(wait)
	d.reporter.nextAt = now
}

// cancelWithdrawn cancels the streams of withdrawn keys whose grace period has ended.
func (d *Dispatcher) cancelWithdrawn(now time.Duration) {
	for t := range d.running {
		if t.cancelAt > 0 && now >= t.cancelAt {
			t.cancel(errKeyWithdrawn)
		}
	}
}

// notRunRefusal returns the refusal in err if it says that the engine did not run the request, otherwise nil.
func notRunRefusal(err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun {
		return refusal
	}
	return nil
}

// isPermanent reports whether the status means that the engine would refuse the same request again.
func isPermanent(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

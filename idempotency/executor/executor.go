// Package executor runs calls that may run at most once.
package executor

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/pkg/errors"
)

const (
	defaultMaxAge            = 15 * time.Minute
	defaultRetention         = 24 * time.Hour
	defaultStartTimeout      = 10 * time.Second
	defaultAttemptTimeout    = time.Minute
	defaultMaxRecords        = 100_000
	defaultMaxAccountRecords = 25_000
	defaultMaxReplyBytes     = 64 << 20
	tableFullRetryAfter      = 10 * time.Second
)

// keyVerifier returns how long ago this process issued a key, or a refusal for a key that it did not issue.
type keyVerifier interface {
	Age(key, account string) (time.Duration, error)
}

// sender sends a call. It calls beforeSend right before the first byte may be sent, and sends nothing if that returns
// an error.
type sender interface {
	Send(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error)
}

// admitter acquires what a call needs before it is sent: tokens of the client account, a valid API key, an upstream.
type admitter interface {
	Admit(ctx context.Context, call fuchsiaspoke.Call) error
}

// Executor runs the calls whose idempotency keys this process issued, each at most once, and records their outcomes.
// Keys and Sender must be set.
//
// A key is idle, running, done or unknown. Only the process that issued a key ever sends its call, and sends it once. A
// key goes from idle to running when its attempt starts. It returns to idle only if the sender fails before beforeSend
// has succeeded, with an error that does not say that the call may have run. Once beforeSend has succeeded, the outcome
// is the complete answer or unknown, and does not change. Hence not_run is returned in three cases, which only this
// process can decide: no attempt was started; the attempt ended before beforeSend succeeded; the key is too old for an
// attempt to be started ever again. A caller that stops waiting for a running attempt receives unknown, and the attempt
// continues within AttemptTimeout.
//
// The process may be suspended at any point. The last step before the first byte is beforeSend, which reads a clock
// that includes the time of suspension. If the attempt is older than StartTimeout, it sends nothing, because the VM
// that forwarded the call may have returned a final answer to the caller by then. A process that is suspended between
// beforeSend and the first byte may send late, but it never returns not_run for the attempt after beforeSend succeeded.
//
// The answer not_run refers only to the submission that it answers. An earlier submission with the same key, for which
// a caller received unknown, may still be in transit and run when it arrives.
//
// A process that restarts has lost its records. It has a new incarnation, by which Keys recognises the keys of the old
// one.
type Executor struct {
	Keys   keyVerifier
	Sender sender
	// Admitter admits or refuses each attempt; nil admits all.
	Admitter admitter
	// Clock is a monotonic clock that includes the time of suspension; nil reads CLOCK_BOOTTIME.
	Clock func() time.Duration
	// MaxAge is the age of a key from which its call is no longer started; zero means 15 min.
	MaxAge time.Duration
	// Retention is how long an outcome is kept; it is at least MaxAge. Zero means 24 h.
	Retention time.Duration
	// StartTimeout bounds the time from an attempt's start to beforeSend; zero means 10 s.
	StartTimeout time.Duration
	// AttemptTimeout bounds the duration of an attempt; zero means 1 min.
	AttemptTimeout time.Duration
	// MaxRecords is the number of records from which new keys are refused; zero means 100,000.
	MaxRecords int
	// MaxAccountRecords bounds the records of one client account, so that none fills the table; zero means 25,000.
	MaxAccountRecords int
	// MaxReplyBytes is the total size of recorded answers from which new keys are refused; attempts already running may
	// exceed it. Zero means 64 MiB.
	MaxReplyBytes int

	mu                sync.Mutex
	records           map[string]*record
	recordsPerAccount map[string]int
	byExpiry          []*record // completed records, ordered by expiry
	replyBytes        int
	runningAttempts   int
}

// record is the state of one key. The attempt is running until done is closed; reply and err are its outcome.
type record struct {
	key          string
	account      string
	fingerprint  [sha256.Size]byte
	startedAt    time.Duration
	sendStarted  bool
	attemptEnded bool
	done         chan struct{}

	reply     fuchsiaspoke.Reply
	err       error
	expiresAt time.Duration
}

// Do runs the call, or returns the recorded outcome of its key: an answer, whose body must not be modified, or an error
// that wraps a *fuchsiaspoke.Refusal.
func (e *Executor) Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	r, started, err := e.findOrStart(ctx, call)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if !started && isDone(r) {
		return replay(r)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		if isDone(r) {
			return replay(r)
		}
		return fuchsiaspoke.Reply{}, outcomeUnknown("the caller stopped waiting while the call was still running")
	}
	if started {
		return r.reply, r.err
	}
	return replay(r)
}

// Running returns the number of running attempts; a graceful shutdown waits until it is zero.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningAttempts
}

// findOrStart returns the key's record and whether this call started its attempt.
func (e *Executor) findOrStart(ctx context.Context, call fuchsiaspoke.Call) (*record, bool, error) {
	callFingerprint := fingerprint(call)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.removeExpired(now)
	// The age is read after expired records are removed. A key whose record was just removed is thus never young enough
	// to start again.
	age, err := e.Keys.Age(call.IdempotencyKey, call.Account)
	if err != nil {
		return nil, false, err
	}
	if r, ok := e.records[call.IdempotencyKey]; ok {
		if r.fingerprint != callFingerprint {
			return nil, false, keyReused()
		}
		return r, false, nil
	}
	if err := e.checkStart(ctx, call, age); err != nil {
		return nil, false, err
	}
	r := &record{
		key: call.IdempotencyKey, account: call.Account, fingerprint: callFingerprint, startedAt: now, done: make(chan struct{}),
	}
	e.addRecord(r)
	e.runningAttempts++
	go e.runAttempt(context.WithoutCancel(ctx), r, call)
	return r, true, nil
}

// checkStart returns a refusal if an attempt may not be started for a key without a record.
func (e *Executor) checkStart(ctx context.Context, call fuchsiaspoke.Call, age time.Duration) error {
	if age >= e.retention() {
		return outcomeUnknown("the record of the idempotency key has expired")
	}
	if age >= e.maxAge() {
		return notRun(fuchsiaspoke.CodeKeyNotIssued, http.StatusBadRequest, "the idempotency key is too old to start its call")
	}
	if ctx.Err() != nil {
		return notRun(fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout, "the caller's deadline passed or the caller disconnected before the call started")
	}
	if e.tableFull(call.Account) {
		tableFull := notRun(fuchsiaspoke.CodeOverloaded, http.StatusServiceUnavailable, "the table of idempotency keys is full")
		return tableFull.WithRetryAfter(tableFullRetryAfter)
	}
	return nil
}

func (e *Executor) tableFull(account string) bool {
	return len(e.records) >= valueOrDefault(e.MaxRecords, defaultMaxRecords) ||
		e.recordsPerAccount[account] >= valueOrDefault(e.MaxAccountRecords, defaultMaxAccountRecords) ||
		e.replyBytes >= valueOrDefault(e.MaxReplyBytes, defaultMaxReplyBytes)
}

func (e *Executor) addRecord(r *record) {
	if e.records == nil {
		e.records = map[string]*record{}
		e.recordsPerAccount = map[string]int{}
	}
	e.records[r.key] = r
	e.recordsPerAccount[r.account]++
}

func (e *Executor) removeRecord(r *record) {
	e.replyBytes -= len(r.reply.Body)
	delete(e.records, r.key)
	e.recordsPerAccount[r.account]--
	if e.recordsPerAccount[r.account] == 0 {
		delete(e.recordsPerAccount, r.account)
	}
}

// runAttempt admits and sends the call, records its outcome and closes the record's done channel, on which all callers
// with this key wait.
func (e *Executor) runAttempt(ctx context.Context, r *record, call fuchsiaspoke.Call) {
	ctx, cancel := context.WithTimeout(ctx, valueOrDefault(e.AttemptTimeout, defaultAttemptTimeout))
	defer cancel()
	reply, err := e.admitAndSend(ctx, r, call)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(r.done)
	e.runningAttempts--
	r.attemptEnded = true
	if err != nil && !r.sendStarted && !mayHaveRun(err) {
		r.err = asNotRun(err)
		e.removeRecord(r)
		return
	}
	if err != nil {
		r.err = errors.Wrapf(outcomeUnknown("the call may have been sent, and its complete answer was not received"), "%v", err)
	} else {
		r.reply = reply
		e.replyBytes += len(reply.Body)
	}
	r.expiresAt = e.now() + e.retention()
	e.byExpiry = append(e.byExpiry, r)
}

func (e *Executor) admitAndSend(ctx context.Context, r *record, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	if e.Admitter != nil {
		if err := e.Admitter.Admit(ctx, call); err != nil {
			return fuchsiaspoke.Reply{}, errors.WithMessage(err, "admit call")
		}
	}
	return e.Sender.Send(ctx, call, func() error { return e.startSend(r) })
}

// startSend is the last check before the first byte is sent. It succeeds at most once per attempt.
func (e *Executor) startSend(r *record) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.sendStarted || r.attemptEnded {
		return errors.New("the call was already sent or its attempt has ended")
	}
	if e.now()-r.startedAt >= valueOrDefault(e.StartTimeout, defaultStartTimeout) {
		return notRun(fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout, "the call could not be sent in time")
	}
	r.sendStarted = true
	return nil
}

// removeExpired removes the completed records whose retention is over.
func (e *Executor) removeExpired(now time.Duration) {
	n := 0
	for n < len(e.byExpiry) && e.byExpiry[n].expiresAt <= now {
		e.removeRecord(e.byExpiry[n])
		e.byExpiry[n] = nil
		n++
	}
	e.byExpiry = e.byExpiry[n:]
}

func (e *Executor) maxAge() time.Duration {
	return valueOrDefault(e.MaxAge, defaultMaxAge)
}

func (e *Executor) retention() time.Duration {
	return max(valueOrDefault(e.Retention, defaultRetention), e.maxAge())
}

func (e *Executor) now() time.Duration {
	if e.Clock == nil {
		return timer.Boot()
	}
	return e.Clock()
}

func isDone(r *record) bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func replay(r *record) (fuchsiaspoke.Reply, error) {
	reply := r.reply
	reply.Replayed = r.err == nil
	return reply, r.err
}

// fingerprint returns a hash by which calls with the same idempotency key are recognised as the same call.
func fingerprint(call fuchsiaspoke.Call) [sha256.Size]byte {
	h := sha256.New()
	body := sha256.Sum256(call.Body)
	for _, part := range []string{call.Account, call.Profile, call.Method, call.Path, string(body[:])} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// mayHaveRun reports whether the error says that the call may have run, even though beforeSend was not called.
func mayHaveRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run != fuchsiaspoke.NotRun && refusal.Run != ""
}

// asNotRun returns err if it says not_run, and otherwise wraps it in a refusal that does, since no byte was sent.
func asNotRun(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun {
		return err
	}
	unsent := notRun(fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway, "the call could not be sent")
	return errors.Wrapf(unsent, "%v", err)
}

func keyReused() *fuchsiaspoke.Refusal {
	const message = "the idempotency key was already used for a different call"
	return notRun(fuchsiaspoke.CodeKeyReused, http.StatusUnprocessableEntity, message)
}

func notRun(code fuchsiaspoke.RefusalCode, status int, message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{Code: code, Message: message, Run: fuchsiaspoke.NotRun, Status: status}
}

func outcomeUnknown(message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeOutcomeUnknown,
		Message: message,
		Run:     fuchsiaspoke.RunUnknown,
		Status:  http.StatusGatewayTimeout,
	}
}

func valueOrDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Package executor carries out calls that may run at most once.
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
	defaultMaxAge        = 15 * time.Minute
	defaultRetention     = 24 * time.Hour
	defaultStartWithin   = 10 * time.Second
	defaultAttemptBound  = time.Minute
	defaultMaxRecords    = 100_000
	defaultMaxOfAccount  = 25_000
	defaultMaxReplyBytes = 64 << 20
	fullRetryAfter       = 10 * time.Second
)

// keys tells how long ago this process issued a key, or refuses keys that it did not issue.
type keys interface {
	Age(key, account string) (time.Duration, error)
}

// sender sends a call; it calls begun right before the first byte may leave and sends nothing when begun returns an error.
type sender interface {
	Send(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error)
}

// admission takes what a call needs before it may be sent: its account's rate, a key in force, an upstream.
type admission interface {
	Admit(ctx context.Context, call fuchsiaspoke.Call) error
}

// Executor is one process's record of the calls whose idempotency keys it issued; Keys and Sender must be set.
//
// A key is idle, running, done or unknown. Only the process that issued a key ever sends its call, and it sends once: a
// call goes from idle to running when its attempt starts, and back to idle only when the sender returned without begun
// having said yes. From begun on, the outcome is the whole answer or unknown, and either stays. So not_run is said in
// three cases, all of which only this process can decide: no attempt was started; the attempt ended before begun; the
// key is too old to be started ever again. A caller that gives up on a running attempt is told unknown, and the attempt
// goes on, within its bound.
//
// A process may be suspended at any point. The last step before the first byte is begun, which reads a clock that goes
// on while suspended: when the attempt is older than StartWithin, whoever passed the call on may long have given its
// caller a final answer, and nothing is sent. A process suspended between begun and the first byte may send late, but
// from begun on nobody has been told not_run by it, nor will be.
//
// What not_run says, it says of the submission that it answers. Where a caller gave up on an earlier submission with the
// same key, and was told unknown for it, that one may still be under way and be carried out when it arrives.
//
// A process that restarts has forgotten its records, and has another incarnation, which Keys tells from the first.
type Executor struct {
	Keys   keys
	Sender sender
	// Admission is asked before each attempt; nil admits all.
	Admission admission
	// Clock is any clock that goes on while suspended; nil reads CLOCK_BOOTTIME.
	Clock func() time.Duration
	// MaxAge is the age from which on a key's call isn't started; zero means 15 min.
	MaxAge time.Duration
	// Retention is how long an outcome is kept, and at least MaxAge; zero means 24 h.
	Retention time.Duration
	// StartWithin bounds the time from an attempt's start to its first byte; zero means 10 s.
	StartWithin time.Duration
	// AttemptBound bounds an attempt; zero means 1 min.
	AttemptBound time.Duration
	// MaxRecords bounds the records; new keys are refused beyond it. Zero means 100,000.
	MaxRecords int
	// MaxAccountRecords bounds the records of one client account, so that none fills the table for all; zero means 25,000.
	MaxAccountRecords int
	// MaxReplyBytes bounds the recorded answers, but for those that are running; zero means 64 MiB.
	MaxReplyBytes int

	mu         sync.Mutex
	records    map[string]*record
	accounts   map[string]int
	finished   []*record
	replyBytes int
	running    int
}

// record is one key's state: running until done is closed, then its outcome.
type record struct {
	key         string
	account     string
	fingerprint [sha256.Size]byte
	started     time.Duration
	begun       bool
	ended       bool
	done        chan struct{}

	reply   fuchsiaspoke.Reply
	err     error
	expires time.Duration
}

// Do returns the call's answer, or an error with a *fuchsiaspoke.Refusal inside; an answer's body must not be changed.
func (e *Executor) Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	r, first, err := e.join(ctx, call)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if !first && ended(r) {
		return replay(r)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		if ended(r) {
			return replay(r)
		}
		return fuchsiaspoke.Reply{}, unknown("the call was still running when its caller gave up")
	}
	if first {
		return r.reply, r.err
	}
	return replay(r)
}

// Running returns the number of attempts that have not ended, for a graceful shutdown to wait on.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// join returns the key's record and whether this call started it.
func (e *Executor) join(ctx context.Context, call fuchsiaspoke.Call) (*record, bool, error) {
	print := fingerprint(call)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.expire(now)
	// The age is read after records expired, so that a key whose record was dropped is never taken for a young one.
	age, err := e.Keys.Age(call.IdempotencyKey, call.Account)
	if err != nil {
		return nil, false, err
	}
	if r, ok := e.records[call.IdempotencyKey]; ok {
		if r.fingerprint != print {
			return nil, false, keyReused()
		}
		return r, false, nil
	}
	if err := e.mayStart(ctx, call, age); err != nil {
		return nil, false, err
	}
	r := &record{
		key: call.IdempotencyKey, account: call.Account, fingerprint: print, started: now, done: make(chan struct{}),
	}
	e.add(r)
	e.running++
	go e.attempt(context.WithoutCancel(ctx), r, call)
	return r, true, nil
}

// mayStart decides on a key without a record.
func (e *Executor) mayStart(ctx context.Context, call fuchsiaspoke.Call, age time.Duration) error {
	if age >= e.retention() {
		return unknown("the record of the idempotency key has expired")
	}
	if age >= e.maxAge() {
		return notRun(fuchsiaspoke.CodeKeyNotIssued, http.StatusBadRequest, "the idempotency key is too old")
	}
	if ctx.Err() != nil {
		return notRun(fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout, "the caller's time ran out before the call started")
	}
	if e.full(call.Account) {
		full := notRun(fuchsiaspoke.CodeOverloaded, http.StatusServiceUnavailable, "the record of idempotency keys is full")
		return full.WithRetryAfter(fullRetryAfter)
	}
	return nil
}

func (e *Executor) full(account string) bool {
	return len(e.records) >= orElse(e.MaxRecords, defaultMaxRecords) ||
		e.accounts[account] >= orElse(e.MaxAccountRecords, defaultMaxOfAccount) ||
		e.replyBytes >= orElse(e.MaxReplyBytes, defaultMaxReplyBytes)
}

func (e *Executor) add(r *record) {
	if e.records == nil {
		e.records = map[string]*record{}
		e.accounts = map[string]int{}
	}
	e.records[r.key] = r
	e.accounts[r.account]++
}

func (e *Executor) drop(r *record) {
	e.replyBytes -= len(r.reply.Body)
	delete(e.records, r.key)
	e.accounts[r.account]--
	if e.accounts[r.account] == 0 {
		delete(e.accounts, r.account)
	}
}

// attempt admits and sends the call, and closes the record's done channel, which those that joined read.
func (e *Executor) attempt(ctx context.Context, r *record, call fuchsiaspoke.Call) {
	ctx, cancel := context.WithTimeout(ctx, orElse(e.AttemptBound, defaultAttemptBound))
	defer cancel()
	reply, err := e.send(ctx, r, call)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(r.done)
	e.running--
	r.ended = true
	if err != nil && !r.begun && !mayHaveRun(err) {
		r.err = asNotRun(err)
		e.drop(r)
		return
	}
	if err != nil {
		r.err = errors.Wrapf(unknown("the call was sent and its whole answer did not arrive"), "%v", err)
	} else {
		r.reply = reply
		e.replyBytes += len(reply.Body)
	}
	r.expires = e.now() + e.retention()
	e.finished = append(e.finished, r)
}

func (e *Executor) send(ctx context.Context, r *record, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	if e.Admission != nil {
		if err := e.Admission.Admit(ctx, call); err != nil {
			return fuchsiaspoke.Reply{}, errors.WithMessage(err, "admit call")
		}
	}
	return e.Sender.Send(ctx, call, func() error { return e.begin(r) })
}

// begin is the last check before the first byte; it says yes once.
func (e *Executor) begin(r *record) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.begun || r.ended {
		return errors.New("the call was begun or given up before")
	}
	if e.now()-r.started >= orElse(e.StartWithin, defaultStartWithin) {
		return notRun(fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout, "the call could not be started in time")
	}
	r.begun = true
	return nil
}

// expire drops the records whose retention is over; finished is ordered by expiry.
func (e *Executor) expire(now time.Duration) {
	n := 0
	for n < len(e.finished) && e.finished[n].expires <= now {
		e.drop(e.finished[n])
		e.finished[n] = nil
		n++
	}
	e.finished = e.finished[n:]
}

func (e *Executor) maxAge() time.Duration {
	return orElse(e.MaxAge, defaultMaxAge)
}

func (e *Executor) retention() time.Duration {
	return max(orElse(e.Retention, defaultRetention), e.maxAge())
}

func (e *Executor) now() time.Duration {
	if e.Clock == nil {
		return timer.Boot()
	}
	return e.Clock()
}

func ended(r *record) bool {
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

// fingerprint is equal for calls that a key may stand for alike.
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

// mayHaveRun reports whether a sender knows better than its never having called begun.
func mayHaveRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run != fuchsiaspoke.NotRun && refusal.Run != ""
}

// asNotRun keeps a cause that says not_run and puts one that doesn't, as no byte has left, into one that does.
func asNotRun(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun {
		return err
	}
	failed := notRun(fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway, "the call could not be sent")
	return errors.Wrapf(failed, "%v", err)
}

func keyReused() *fuchsiaspoke.Refusal {
	const message = "the idempotency key stands for another call"
	return notRun(fuchsiaspoke.CodeKeyReused, http.StatusUnprocessableEntity, message)
}

func notRun(code fuchsiaspoke.Code, status int, message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{Code: code, Message: message, Run: fuchsiaspoke.NotRun, Status: status}
}

func unknown(message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeOutcomeUnknown,
		Message: message,
		Run:     fuchsiaspoke.RunUnknown,
		Status:  http.StatusGatewayTimeout,
	}
}

func orElse[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

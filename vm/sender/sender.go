// Package sender carries admitted requests to replicas and their answers back; it is the one path of all requests.
package sender

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/assessor"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/broker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/exchanger"
	"github.com/pkg/errors"
)

const (
	// answerMargin is kept between the end of the time that there is and the final answer.
	answerMargin = 40 * time.Millisecond
	// leastTime is the least time left with which a request is still sent.
	leastTime = 25 * time.Millisecond
	// maxAnswerBytes bounds a plain service's answer.
	maxAnswerBytes = 16 << 20
	// tryShare is how many objectives the first try of an idempotent request may take.
	tryShare = 2
	// comeBack is when a caller is told to come back after nothing could be sent.
	comeBack = 500 * time.Millisecond
)

// ErrCut is the cause of an answer that broke off after its head had gone out; the caller's connection must not end cleanly.
var ErrCut = errors.New("the answer broke off")

// ErrCallerLeft is the cause of a request whose caller is gone.
var ErrCallerLeft = errors.New("the caller left")

type dialect interface {
	Dress(m fuchsiaspoke.Message, w fuchsiaspoke.Work, s fuchsiaspoke.Send) fuchsiaspoke.Message
	Mine(w fuchsiaspoke.Work, h http.Header) bool
	Read(w fuchsiaspoke.Work, status int, h http.Header) fuchsiaspoke.Reading
}

type budget interface {
	Add(service string)
	Take(service string) bool
}

// Sink takes an answer; it is the caller's side.
type sink interface {
	// Head begins the answer; length is -1 for streams.
	Head(status int, h http.Header, length int)
	// Body sends a part on at once.
	Body(p []byte) error
}

// Sender sends requests; all fields are set before its use.
type Sender struct {
	Published func() *fuchsiaspoke.Published
	Exchanger *exchanger.Exchanger
	Dialect   dialect
	Broker    *broker.Broker
	Assessor  *assessor.Assessor
	Budget    budget
	Clock     func() time.Duration
	Log       func(event string, keysAndValues ...any)
	// Observe is told how long a generation's first event took, and how long it was predicted to take.
	Observe func(predicted, real time.Duration)
	// OpensIn is when VMs will likely order for engines again, as after the start of all; 0 is now.
	OpensIn func() time.Duration
}

// Serve answers one request. Its error is a *fuchsiaspoke.Refusal where nothing went out yet, ErrCut, or ErrCallerLeft.
func (s *Sender) Serve(ctx context.Context, w fuchsiaspoke.Work, m fuchsiaspoke.Message, out sink) error {
	s.Budget.Add(w.Service)
	limit := min(w.Deadline, w.Arrived+w.Route.Timeout) - answerMargin
	inner, cancel := context.WithTimeout(ctx, max(limit-s.Clock(), 0))
	defer cancel()
	t := &try{Sender: s, work: w, message: m, out: out, limit: limit, caller: ctx}
	if w.Demand.Model != "" && s.engineService(w.Service) {
		return t.generate(inner)
	}
	return t.plain(inner)
}

func (s *Sender) engineService(name string) bool {
	c := s.Published().Contract
	return c != nil && c.Services[name].Engine != nil
}

// replicas returns the replicas of the service that take work.
func (s *Sender) replicas(service string, tried map[string]bool) []fuchsiaspoke.Replica {
	var out []fuchsiaspoke.Replica
	for _, r := range s.Published().Replicas {
		if r.Service == service && r.State == fuchsiaspoke.ReplicaReady && !tried[r.ID] {
			out = append(out, r)
		}
	}
	return out
}

// takesWork reports whether the replica, in this start of it, still takes work.
func (s *Sender) takesWork(r fuchsiaspoke.Replica) bool {
	for _, now := range s.Published().Replicas {
		if now.ID == r.ID {
			return now.State == fuchsiaspoke.ReplicaReady && now.Address == r.Address && now.Born == r.Born
		}
	}
	return false
}

// try is one request on its way.
type try struct {
	*Sender
	work    fuchsiaspoke.Work
	message fuchsiaspoke.Message
	out     sink
	limit   time.Duration
	caller  context.Context
	tried   map[string]bool
	// sends counts sends that may have reached a replica, and unknown those of which nobody knows whether they ran.
	sends   int
	unknown bool
	ran     bool
}

func (t *try) repeatable() bool {
	return t.work.Route.Idempotent || t.work.Route.Streaming && t.work.Route.Resumable
}

// again reports whether the request may go to one more replica, and takes that from the budget.
func (t *try) again(notRun bool) bool {
	if !notRun && !t.repeatable() || t.sends >= t.work.Route.MaxAttempts {
		return false
	}
	if t.Clock() > t.limit-leastTime || t.caller.Err() != nil {
		return false
	}
	return t.Budget.Take(t.work.Service)
}

func (t *try) mark(id string) {
	if t.tried == nil {
		t.tried = make(map[string]bool)
	}
	t.tried[id] = true
}

// plain answers a request to a plain service.
func (t *try) plain(ctx context.Context) error {
	var last *reply
	for {
		replicas := t.Assessor.Pick(t.Clock(), t.replicas(t.work.Service, t.tried))
		if len(replicas) == 0 || t.Clock() > t.limit-leastTime {
			return t.finish(ctx, last, "no replica is left to try")
		}
		r, err := t.call(ctx, replicas[0])
		t.mark(replicas[0].ID)
		if t.caller.Err() != nil {
			return ErrCallerLeft
		}
		if err == nil && (!r.failed || !t.again(r.notRun)) {
			if r.notRun {
				return t.refuse(r.status, "the replica was full")
			}
			return t.deliver(r)
		}
		if err == nil {
			last = keepReply(last, r)
			continue
		}
		if notSent(err) {
			continue
		}
		t.unknown = true
		if !t.again(false) {
			return t.finish(ctx, last, err.Error())
		}
	}
}

// keepReply keeps the replica's own failure, which may be passed on if nothing better comes.
func keepReply(last, r *reply) *reply {
	if r.notRun {
		return last
	}
	return r
}

// finish gives the final answer when no replica gave a good one.
func (t *try) finish(ctx context.Context, last *reply, reason string) error {
	if t.caller.Err() != nil {
		return ErrCallerLeft
	}
	if last != nil {
		return t.deliver(last)
	}
	if t.unknown || t.ran {
		status, code := http.StatusBadGateway, fuchsiaspoke.CodeUpstreamFailed
		if ctx.Err() != nil {
			status, code = http.StatusGatewayTimeout, fuchsiaspoke.CodeDeadline
		}
		return &fuchsiaspoke.Refusal{Code: code, Message: reason, Run: fuchsiaspoke.RunUnknown, Status: status}
	}
	return t.refuse(http.StatusServiceUnavailable, reason)
}

// refuse answers that the request has not run and never will, unless that isn't sure.
func (t *try) refuse(status int, reason string) error {
	if t.unknown || t.ran {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeUpstreamFailed, Message: reason, Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway,
		}
	}
	if status != http.StatusTooManyRequests {
		status = http.StatusServiceUnavailable
	}
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Message: reason, Run: fuchsiaspoke.NotRun, Status: status,
	}.WithRetryAfter(comeBack)
}

// refuseUntil refuses what nobody can serve for some time; callers come back spread over half of that time more.
func (t *try) refuseUntil(opens time.Duration, reason string) error {
	err := t.refuse(http.StatusServiceUnavailable, reason)
	var r *fuchsiaspoke.Refusal
	if !errors.As(err, &r) || r.Run != fuchsiaspoke.NotRun {
		return err
	}
	spread := time.Duration(rand.Float64() * float64(opens) / 2)
	return r.WithRetryAfter(max(opens+spread, comeBack))
}

func (t *try) deliver(r *reply) error {
	t.out.Head(r.status, r.header, len(r.body))
	if err := t.out.Body(r.body); err != nil {
		return ErrCallerLeft
	}
	return nil
}

// reply is a plain service's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	notRun bool
	// failed replies are worth another try where one is allowed.
	failed bool
}

// call sends the request to one replica and reads its whole answer.
func (t *try) call(ctx context.Context, r fuchsiaspoke.Replica) (*reply, error) {
	ctx, cancel := t.bound(ctx)
	defer cancel()
	began := t.Clock()
	t.Assessor.Begin(began, r.ID)
	answer, err := t.send(ctx, fuchsiaspoke.Send{Replica: r, Left: t.limit - began})
	if err != nil {
		t.note(r, began, err)
		return nil, err
	}
	defer answer.Close()
	reading := t.Dialect.Read(t.work, answer.Status, answer.Header)
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	if err == nil && !reading.Usable && !reading.NotRun {
		err = errors.New("the answer isn't the replica's own")
	}
	if err != nil {
		t.sends++
		err = &fuchsiaspoke.SendError{Peer: r.Address, Step: "read answer", Cause: err}
		t.note(r, began, err)
		return nil, err
	}
	if !reading.Elsewhere {
		t.sends++
	}
	failed := answer.Status >= http.StatusInternalServerError || reading.NotRun
	t.Assessor.Answered(t.Clock(), r.ID, t.Clock()-began, failed)
	t.ran = t.ran || !reading.NotRun
	t.Log("replica answered", "request", t.work.ID, "replica", r.ID, "status", answer.Status, "not_run", reading.NotRun,
		"took_ms", (t.Clock() - began).Milliseconds())
	return &reply{answer.Status, answer.Header, body, reading.NotRun, failed}, nil
}

// bound limits a try that may be followed by another.
func (t *try) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if !t.work.Route.Idempotent || t.sends+1 >= t.work.Route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, tryShare*t.work.Route.Objective)
}

// note records why a send brought no answer.
func (t *try) note(r fuchsiaspoke.Replica, began time.Duration, err error) {
	if t.caller.Err() != nil {
		t.Assessor.Left(r.ID)
	} else {
		t.Assessor.Silent(t.Clock(), r.ID)
		t.Exchanger.Forget(r.Address)
	}
	t.Log("send failed", "request", t.work.ID, "replica", r.ID, "address", r.Address, "not_sent", notSent(err),
		"caller_left", t.caller.Err() != nil, "took_ms", (t.Clock() - began).Milliseconds(), "error", err.Error())
}

func (t *try) send(ctx context.Context, send fuchsiaspoke.Send) (*exchanger.Answer, error) {
	m := t.Dialect.Dress(t.message, t.work, send)
	answer, err := t.Exchanger.Send(ctx, send.Replica.Address, m, func(h http.Header) bool {
		return t.Dialect.Mine(t.work, h)
	})
	if err != nil && !notSent(err) {
		t.sends++
	}
	return answer, err
}

// notSent reports whether surely nothing reached the replica.
func notSent(err error) bool {
	var sendErr *fuchsiaspoke.SendError
	return errors.As(err, &sendErr) && sendErr.NotSent
}

// Package sender forwards admitted requests to replicas, of plain services as well as of model engines, and relays the
// responses.
//
// Requests to a model engine first need an admission, which the engine's owner grants. The owner is the VM that sends the
// engine's load and unload orders.
package sender

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/estimator"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/hedger"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/quarantiner"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/tracker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/durationmeter"
	"github.com/pkg/errors"
)

const (
	// responseMargin is the time reserved before the request's deadline for writing the final response.
	responseMargin = 40 * time.Millisecond
	// minSendTime is the shortest remaining time with which a request is still sent to a replica.
	minSendTime = 25 * time.Millisecond
	// maxResponseBytes limits how much of a response that is not a stream is read.
	maxResponseBytes = 16 << 20
	// attemptObjectives is how long an attempt may last before another replica is looked for, as a multiple of the route's latency
	// objective.
	attemptObjectives = 2
	// defaultRetryAfter is the Retry-After of requests that no replica ran.
	defaultRetryAfter = 500 * time.Millisecond
)

// ErrResponseInterrupted is returned when a response stream fails after its head was sent. The caller's connection must then be
// aborted, so that the response does not look complete.
var ErrResponseInterrupted = errors.New("response stream failed after its head was sent")

// ErrCallerDisconnected is returned when the caller disconnects before the response is complete.
var ErrCallerDisconnected = errors.New("caller disconnected before the response was complete")

// Causes with which the VM itself ends an attempt.
var (
	errRequestTimeout = errors.New("the request's deadline or its route's timeout was reached")
	errStalled        = errors.New("the replica sent nothing for too long, and another one was found")
	errNotNeeded      = errors.New("the stalled replica went on")
	errCallerLeft     = errors.New("the caller left")
	errOtherAnswered  = errors.WithMessage(transport.ErrAbandoned, "another replica has answered the request first")
	// errRegionNotAllowed guards against replicas that no search should have returned.
	errRegionNotAllowed = errors.New("the replica is in a region that is not allowed")
)

// protocol is how requests and responses are encoded between a VM and a replica.
type protocol interface {
	// PrepareMessage returns the message with the headers that a replica expects.
	PrepareMessage(m fuchsiaspoke.Message, req fuchsiaspoke.AdmittedRequest, s fuchsiaspoke.SendOptions) fuchsiaspoke.Message
	// MatchResponse states whether a response head belongs to the request.
	MatchResponse(req fuchsiaspoke.AdmittedRequest, h http.Header) fuchsiaspoke.ResponseMatch
	// InterpretHead classifies a response by its status and headers.
	InterpretHead(req fuchsiaspoke.AdmittedRequest, status int, h http.Header) fuchsiaspoke.ResponseInfo
}

type engineFinder interface {
	// Find returns the service's ready engines in the regions, any if nil, that were not tried yet, shortest estimated wait first.
	Find(
		ctx context.Context, service, account string, d fuchsiaspoke.Demand, tried map[string]bool, regions []fuchsiaspoke.Region,
	) []selector.Choice
}

// origins knows at which software version streams began.
type origins interface {
	// Record notes the origin of the stream that an attempt began, which its caller may resume for the time ttl.
	Record(begunBy string, origin fuchsiaspoke.StreamOrigin, ttl time.Duration)
	// Find returns where a stream began, and whether that is known.
	Find(ctx context.Context, q fuchsiaspoke.StreamQuestion) (origin fuchsiaspoke.StreamOrigin, known bool)
}

// ramps finds the rates of replicas that start or recover.
type ramps interface {
	// Observe records the outcome of a request to a replica; load is what its response stated, or nil.
	Observe(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome, load *fuchsiaspoke.ReplicaLoad)
}

// partition knows whether this VM is partitioned from all replicas.
type partition interface {
	Partitioned() bool
	// ReachesOther reports whether a replica at another address is reached now.
	ReachesOther(ctx context.Context, address string) bool
}

type retryBudget interface {
	Add(service string)
	Take(service string) bool
	// Return gives back a retry that was not made.
	Return(service string)
}

// responseWriter writes the response to the caller.
type responseWriter interface {
	// Head writes the status and the headers; length is -1 for streams.
	Head(status int, h http.Header, length int)
	// Body writes a part of the body and flushes it.
	Body(p []byte) error
}

// Sender forwards requests to replicas. All fields must be set before the first call.
type Sender struct {
	Published   func() *fuchsiaspoke.PublishedState
	Transport   *transport.Transport
	Protocol    protocol
	Requester   *requester.Requester
	Finder      engineFinder
	Origins     origins
	Tracker     *tracker.Tracker
	Permitter   *permitter.Permitter
	Quarantiner *quarantiner.Quarantiner
	RetryBudget retryBudget
	Clock       func() time.Duration
	Log         func(event string, keysAndValues ...any)
	// Observe records the predicted and the measured time to the first event of a generation.
	Observe func(predicted, measured time.Duration)
	// ObserveBodyEnd records how the body of each replica's response ended.
	ObserveBodyEnd func(fuchsiaspoke.Framing, fuchsiaspoke.BodyEnd)
	// Count counts an event by its name.
	Count func(event string)
	// TimeUntilOwned estimates how long it takes until engines have owners, such as after a start of all VMs; 0 is now.
	TimeUntilOwned func() time.Duration
	// Regions holds the region of each availability zone.
	Regions map[fuchsiaspoke.Zone]fuchsiaspoke.Region
	// Ramps is nil where no such rate is found.
	Ramps ramps
	// Partition tells faults of replicas from those of this VM's own links; nil takes all for faults of replicas.
	Partition partition
	// Drainer ends what waits and what runs when the VM stops; nil is that of a VM that does not stop.
	Drainer *drainer.Drainer
	// Responses lends the bytes of whole responses and incomplete events, beyond the first few of each, until they are sent to their callers;
	// nil sets no bound.
	Responses *bytelender.Lender

	loadFaults loadFaultLog
	estimator  estimator.Estimator
	durations  durationmeter.DurationMeter
	hedger     hedger.Hedger
}

// Serve forwards one request and writes the response to out. Its time limit is the request's deadline or the end of the route's timeout,
// whichever is earlier. A stream that has begun may last until then, all else until responseMargin before it. On failure it returns a
// *fuchsiaspoke.Refusal if nothing was written to the caller, or else ErrResponseInterrupted or ErrCallerDisconnected.
func (s *Sender) Serve(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out responseWriter) error {
	limit := min(req.Deadline, req.Arrived+req.Route.Timeout) - responseMargin
	running, stopRunning := s.Drainer.WithRuns(ctx)
	defer stopRunning()
	inner, cancel := context.WithCancelCause(running)
	defer cancel(context.Canceled)
	expires := time.AfterFunc(max(limit-s.Clock(), 0), func() { cancel(errRequestTimeout) })
	defer expires.Stop()
	waits, stopWaits := s.Drainer.WithWaits(inner)
	defer stopWaits()
	t := &requestTask{
		Sender: s, request: req, message: m, out: out, sendDeadline: limit, callerCtx: ctx, waits: waits, expires: expires,
		traits: fuchsiaspoke.Traits(req, m), loan: &loan{lender: s.Responses},
	}
	defer t.loan.end()
	began := s.Clock()
	longest := limit + responseMargin - began
	if s.Drainer.Draining() && !s.Drainer.Takes(longest, s.durations.Usual(req.Route.Name)) {
		return t.refuseAsDraining("may last longer than it")
	}
	err := t.serve(waits, inner)
	if err == nil {
		s.durations.Record(req.Route.Name, s.Clock()-began)
	}
	return err
}

// serve forwards the request within the context of its runs; waits is that of what happens before a send.
func (t *requestTask) serve(waits, runs context.Context) error {
	if refusal := t.findOrigin(waits); refusal != nil {
		return refusal
	}
	if refusal := t.admitTraits(); refusal != nil {
		return refusal
	}
	t.RetryBudget.Add(t.request.Service)
	if t.request.Demand.Model != "" && t.isEngineService(t.request.Service) {
		return t.serveGeneration(runs)
	}
	return t.servePlain(runs)
}

func (s *Sender) isEngineService(name string) bool {
	c := s.Published().Contract
	return c != nil && c.Services[name].Engine != nil
}

// reply is a complete response that is not a stream.
type reply struct {
	status int
	header http.Header
	body   *wholeBody
	notRun bool
	// softwareVersion is that of the replica.
	softwareVersion string
	// failed replies are retried where a retry is allowed.
	failed bool
}

// recordSendFailure logs the cause of a send without a complete response; ctx is that of the attempt. Unless the caller disconnected,
// it also counts the failure against the replica and closes the idle connections to it.
func (t *requestTask) recordSendFailure(ctx context.Context, r fuchsiaspoke.Replica, started time.Duration, err error) {
	switch {
	case t.callerCtx.Err() != nil:
		t.Tracker.RecordEnd(r.ID)
	case errors.Is(context.Cause(ctx), errNotNeeded), errors.Is(context.Cause(ctx), errOtherAnswered):
		t.Tracker.RecordEnd(r.ID)
	case errors.Is(context.Cause(ctx), errStalled):
		// The stall was recorded when it began.
		t.Tracker.RecordEnd(r.ID)
		t.Transport.CloseIdle(r.Address)
	default:
		t.Tracker.RecordNoAnswer(t.Clock(), r.ID)
		t.Transport.CloseIdle(r.Address)
	}
	t.logRequest("send failed", "replica", r.ID, "address", r.Address, "not_sent", notSent(err),
		"caller_left", t.callerCtx.Err() != nil, "took_ms", (t.Clock() - started).Milliseconds(), "ended_by", t.endedBy(ctx),
		"content", t.content().String(), "parts", partIDs(t.request.Demand), "error", err.Error())
}

// partIDs returns the ids of the prompt's parts.
func partIDs(d fuchsiaspoke.Demand) string {
	ids := make([]string, 0, len(d.Parts))
	for _, part := range d.Parts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// endedBy says who ended a failed attempt: this VM and why, or the replica with its connection.
func (t *requestTask) endedBy(ctx context.Context) string {
	switch {
	case t.callerCtx.Err() != nil:
		return errCallerLeft.Error()
	case ctx.Err() != nil:
		return context.Cause(ctx).Error()
	}
	return "replica"
}

// interpretHead interprets the head of a response to the request, and records what the replica says of itself in it. That a head names no
// limit says nothing if the request was misdirected, as another replica may have answered it.
func (t *requestTask) interpretHead(r fuchsiaspoke.Replica, response *transport.Response, sentAt time.Duration) fuchsiaspoke.ResponseInfo {
	info := t.Protocol.InterpretHead(t.request, response.Status, response.Header)
	if info.Misdirected {
		t.Permitter.Observe(r, info.Notice)
		return info
	}
	t.RecordLoad(r, info.Notice)
	t.Permitter.ObserveAnswer(r, info.Notice, sentAt)
	return info
}

// logRequest logs an admission, a refusal, a response or an interruption, and names the request, its client account, its route and its
// priority, and while the VM stops, since when.
func (t *requestTask) logRequest(event string, keysAndValues ...any) {
	fields := make([]any, 0, 8+len(keysAndValues))
	fields = append(fields, "request", t.request.ID, "account", t.request.Account, "route", t.request.Route.Name, "priority", t.request.Priority)
	if since := t.Drainer.Since(); since > 0 {
		fields = append(fields, "stopping_ms", since.Milliseconds())
	}
	t.Log(event, append(fields, keysAndValues...)...)
}

// recordBodyEnd counts how a body ended, and logs one that is incomplete.
func (t *requestTask) recordBodyEnd(r fuchsiaspoke.Replica, framing fuchsiaspoke.Framing, end fuchsiaspoke.BodyEnd) {
	t.ObserveBodyEnd(framing, end)
	if end != fuchsiaspoke.BodyComplete {
		t.logRequest("response incomplete", "replica", r.ID, "framing", string(framing), "end", string(end))
	}
}

// send sends the request once and returns the head of the response.
func (t *requestTask) send(ctx context.Context, send fuchsiaspoke.SendOptions) (*transport.Response, error) {
	if !t.isAllowed(send.Replica) {
		return nil, &fuchsiaspoke.SendError{Peer: send.Replica.Address, Step: "check region", NotSent: true, Cause: errRegionNotAllowed}
	}
	m := t.Protocol.PrepareMessage(t.message, t.request, send)
	transmit := t.Transport.Send
	if t.abandonable {
		transmit = t.Transport.SendAbandonable
	}
	response, err := transmit(ctx, send.Replica.Address, m, func(h http.Header) fuchsiaspoke.ResponseMatch {
		return t.Protocol.MatchResponse(t.request, h)
	})
	if err != nil && !notSent(err) {
		t.sendCount++
	}
	return response, err
}

// notSent reports whether the replica certainly received nothing.
func notSent(err error) bool {
	var sendErr *fuchsiaspoke.SendError
	return errors.As(err, &sendErr) && sendErr.NotSent
}

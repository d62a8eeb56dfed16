package sender

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/broker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/pkg/errors"
)

const (
	// maxAsks bounds the engines that one request asks for a place.
	maxAsks = 3
	// silence is how long an engine may send nothing before a stream that can go on elsewhere is taken from it; a step of a
	// full engine takes a quarter of that, and callers wait for twice as long.
	silence = 1500 * time.Millisecond
	// maxPlaces bounds the places that one request uses, however many replicas refuse it.
	maxPlaces = 4
)

// errLeft is the cause of a place that isn't used.
var errLeft = errors.New("the engine began to leave")

// generate answers a request to a model engine.
func (t *try) generate(ctx context.Context) error {
	relay := &relay{out: t.out, last: t.work.LastEvent, resumable: t.work.Route.Resumable}
	for range maxPlaces {
		place, replica, refusal := t.place(ctx)
		if t.caller.Err() != nil {
			return ErrCallerLeft
		}
		if refusal != nil {
			return t.ended(relay, refusal)
		}
		outcome := t.run(ctx, place, replica, relay)
		place.End()
		if outcome.done || t.caller.Err() != nil {
			return outcome.err
		}
		t.mark(replica.ID)
		if !outcome.notSent && !t.again(outcome.notRun) {
			return t.ended(relay, t.final(ctx, outcome))
		}
	}
	return t.ended(relay, t.refuse(http.StatusServiceUnavailable, "several engines refused"))
}

// ended turns a refusal into a cut where the stream has begun.
func (t *try) ended(r *relay, err error) error {
	if r.begun {
		t.Log("stream cut", "request", t.work.ID, "last_event", r.last, "reason", err.Error())
		return ErrCut
	}
	return err
}

func (t *try) final(ctx context.Context, o outcome) error {
	if o.notRun {
		return t.refuse(o.status, "the engine refused")
	}
	t.unknown = true
	reason := "the engine failed"
	if o.err != nil {
		reason = o.err.Error()
	}
	return t.finish(ctx, o.reply, reason)
}

// place gets a place at the engine with the least wait: engines that need longer than others seem to are asked again last.
func (t *try) place(ctx context.Context) (*broker.Place, fuchsiaspoke.Replica, error) {
	var refused *fuchsiaspoke.Refusal
	var best selector.Choice
	answered := time.Duration(0)
	asked, open := 0, false
	choices := t.choices()
	for at, choice := range choices {
		if asked >= maxAsks || ctx.Err() != nil {
			break
		}
		open = open || choice.Open
		if !choice.Open && !t.keeps(choice) || !t.takesWork(choice.Replica) {
			continue
		}
		asked++
		place, err := t.placeAt(ctx, choice, selector.Limit(choices, at, answered))
		if place != nil {
			return place, choice.Replica, nil
		}
		var slower *broker.SlowerError
		if errors.As(err, &slower) {
			best, answered = choice, slower.Wait
		}
		refused = sooner(refused, err)
	}
	if answered > 0 && ctx.Err() == nil {
		place, err := t.placeAt(ctx, best, 0)
		if place != nil {
			return place, best.Replica, nil
		}
		refused = sooner(refused, err)
	}
	return nil, fuchsiaspoke.Replica{}, t.noPlace(refused, open)
}

// noPlace says that no engine took the request.
func (t *try) noPlace(refused *fuchsiaspoke.Refusal, open bool) error {
	switch {
	case refused != nil && !t.unknown && !t.ran:
		return refused
	case !open:
		return t.refuseUntil(t.OpensIn(), "no VM orders for engines yet")
	default:
		return t.refuse(http.StatusServiceUnavailable, "no engine has a place in time")
	}
}

// placeAt gets a place at one engine, unless the engine began to leave while the request waited for it.
func (t *try) placeAt(ctx context.Context, choice selector.Choice, limit time.Duration) (*broker.Place, error) {
	place, err := t.askAt(ctx, choice, limit)
	if err != nil || t.takesWork(choice.Replica) {
		return place, err
	}
	place.End()
	t.Log("place given back", "request", t.work.ID, "engine", choice.Replica.ID, "reason", "the engine began to leave")
	return nil, errLeft
}

// askAt asks the VM that orders for one engine; where there is none, the request may go to what the engine holds.
func (t *try) askAt(ctx context.Context, choice selector.Choice, limit time.Duration) (*broker.Place, error) {
	err := broker.ErrNoHolder
	if choice.Open {
		var place *broker.Place
		if place, err = t.Broker.Ask(ctx, t.ask(choice, limit)); err == nil {
			t.Log("place granted", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter,
				"predicted_ms", choice.Wait.Milliseconds(), "resident", choice.Resident)
			return place, nil
		}
		t.Log("place refused", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter,
			"predicted_ms", choice.Wait.Milliseconds(), "limit_ms", limit.Milliseconds(), "error", err.Error())
	}
	if errors.Is(err, broker.ErrNoHolder) && t.keeps(choice) && ctx.Err() == nil {
		t.Log("place without a holder", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter)
		return unheld(choice), nil
	}
	return nil, err
}

// keeps reports whether the engine can serve the request though nobody orders for it: what it holds or loads doesn't change.
func (t *try) keeps(c selector.Choice) bool {
	return t.work.Demand.Adapter == "" || c.Resident || c.Coming
}

// sooner returns the refusal that lets the caller come back first.
func sooner(known *fuchsiaspoke.Refusal, err error) *fuchsiaspoke.Refusal {
	var r *fuchsiaspoke.Refusal
	if !errors.As(err, &r) || known != nil && known.RetryAfter <= r.RetryAfter {
		return known
	}
	return r
}

// unheld is a place at an engine that no VM orders for at the moment: what it holds can't change.
func unheld(c selector.Choice) *broker.Place {
	return &broker.Place{
		EngineGrant: fuchsiaspoke.EngineGrant{Granted: true, Incarnation: c.Replica.Incarnation()},
		Progress:    func(bool) {},
		End:         func() {},
	}
}

func (t *try) ask(c selector.Choice, limit time.Duration) fuchsiaspoke.EngineAsk {
	now := t.Clock()
	return fuchsiaspoke.EngineAsk{
		ID: t.work.ID, Engine: c.Replica.ID, Demand: t.work.Demand, Urgency: t.work.Urgency,
		DueIn: max(t.work.Due-now, 0), LeftIn: max(t.limit-now, 0), MaxWait: limit,
	}
}

func (t *try) choices() []selector.Choice {
	contract := t.Published().Contract
	limits := contract.Services[t.work.Service].Engine
	now := t.Clock()
	var candidates []selector.Candidate
	for _, r := range t.replicas(t.work.Service, t.tried) {
		c := selector.Candidate{Replica: r, Failing: t.Assessor.Failing(now, r.ID)}
		if view, _, known := t.Broker.View(r.ID); known && (view.Engine.Born == r.Born || r.Born == 0) {
			c.View = &view
		}
		candidates = append(candidates, c)
	}
	return selector.Selector{Slots: limits.AdapterSlots}.Select(t.work.Demand, candidates)
}

// outcome is what one run at one engine came to.
type outcome struct {
	// done says that the answer is complete, or that its caller is gone.
	done    bool
	notRun  bool
	notSent bool
	status  int
	reply   *reply
	err     error
}

// run sends the request to one engine and passes the events on as they come.
func (t *try) run(ctx context.Context, place *broker.Place, r fuchsiaspoke.Replica, relay *relay) outcome {
	began := t.Clock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := t.watch(place, cancel)
	defer watch.Stop()
	t.Assessor.Begin(began, r.ID)
	answer, err := t.send(ctx, fuchsiaspoke.Send{
		Replica: r, Left: t.limit - began, Version: place.Version, LastEvent: relay.last,
	})
	if err != nil {
		t.note(r, began, err)
		return outcome{err: err, notSent: notSent(err), done: t.caller.Err() != nil}
	}
	defer answer.Close()
	reading := t.Dialect.Read(t.work, answer.Status, answer.Header)
	if reading.NotRun {
		return t.refusedBy(place, r, reading, answer)
	}
	t.sends++
	if !reading.Usable || answer.Status != http.StatusOK {
		return t.failedBy(r, began, reading, answer)
	}
	t.ran = true
	return t.pass(answer, place, r, relay, began, watch)
}

// watch ends the run when its engine falls silent, where the stream may go on at another.
func (t *try) watch(place *broker.Place, cancel func()) *time.Timer {
	if !t.repeatable() || t.sends+1 >= t.work.Route.MaxAttempts {
		cancel = func() {}
	}
	return time.AfterFunc(place.Wait+silence, cancel)
}

func (t *try) refusedBy(place *broker.Place, r fuchsiaspoke.Replica, reading fuchsiaspoke.Reading, answer *exchanger.Answer) outcome {
	t.drain(answer)
	t.Assessor.Answered(t.Clock(), r.ID, 0, !reading.Elsewhere)
	if reading.Elsewhere || answer.Status == http.StatusServiceUnavailable {
		place.Progress(true)
	}
	t.Log("engine refused", "request", t.work.ID, "engine", r.ID, "adapter", t.work.Demand.Adapter, "status", answer.Status)
	if !reading.Elsewhere {
		t.sends++
	}
	return outcome{notRun: true, status: answer.Status}
}

func (t *try) failedBy(r fuchsiaspoke.Replica, began time.Duration, reading fuchsiaspoke.Reading, answer *exchanger.Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	t.Assessor.Answered(t.Clock(), r.ID, t.Clock()-began, true)
	t.Log("engine failed", "request", t.work.ID, "engine", r.ID, "status", answer.Status, "usable", reading.Usable)
	t.ran = true
	if err != nil || !reading.Usable {
		return outcome{err: errors.New("the engine's answer isn't whole"), status: answer.Status}
	}
	return outcome{reply: &reply{status: answer.Status, header: answer.Header, body: body, failed: true}, status: answer.Status}
}

func (t *try) drain(answer *exchanger.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxAnswerBytes)); err != nil {
		t.Log("answer not whole", "request", t.work.ID, "error", err.Error())
	}
}

// pass hands the events on until the stream ends.
func (t *try) pass(answer *exchanger.Answer, place *broker.Place, r fuchsiaspoke.Replica, relay *relay, began time.Duration, watch *time.Timer) outcome {
	first := true
	firstTook := time.Duration(0)
	err := relay.copy(answer, func() {
		watch.Reset(silence)
		if !first {
			return
		}
		first = false
		place.Progress(false)
		firstTook = t.Clock() - began
		t.Observe(place.Wait, firstTook)
		t.Assessor.Answered(t.Clock(), r.ID, firstTook, false)
		t.Assessor.Begin(t.Clock(), r.ID)
	})
	switch {
	case err == nil:
		t.Assessor.Left(r.ID)
		t.Log("stream complete", "request", t.work.ID, "engine", r.ID, "last_event", relay.last,
			"took_ms", (t.Clock() - began).Milliseconds(), "wait_ms", (began - t.work.Arrived).Milliseconds(),
			"first_ms", firstTook.Milliseconds(), "predicted_ms", place.Wait.Milliseconds(), "longest_pause_ms", relay.pause.Milliseconds(),
			"objective_ms", t.work.Route.Objective.Milliseconds(), "prompt_tokens", t.work.Demand.PromptTokens)
		return outcome{done: true}
	case errors.Is(err, ErrCallerLeft) || t.caller.Err() != nil:
		t.Assessor.Left(r.ID)
		return outcome{done: true, err: ErrCallerLeft}
	}
	t.note(r, began, &fuchsiaspoke.SendError{Peer: r.Address, Step: "read stream", Cause: err})
	return outcome{err: err}
}

// Package requester requests admission to engines: from this VM's own controllers, or from the VM that owns the engine.
package requester

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodRequest is the link method that requests admission to an engine.
	MethodRequest = "engine.ask"
	// MethodProgress is the link method that reports the first event of an admitted request, or its refusal by the engine.
	MethodProgress = "engine.progress"

	// ackTimeout bounds the wait for the first reply to an admission request, usually that it is queued; a message to another VM
	// takes a few milliseconds.
	ackTimeout = 350 * time.Millisecond
	// progressTimeout bounds one MethodProgress call.
	progressTimeout = time.Second
)

// ErrNoOwner is the cause of an admission request that failed because no VM owns the engine, or because the owner could not be
// reached or ended the call without a decision.
var ErrNoOwner = errors.New("no VM owns the engine")

// WaitLimitError is the cause of an admission request that was not queued because its predicted wait exceeds its limit.
type WaitLimitError struct {
	// Wait is the predicted time to the first event.
	Wait time.Duration
}

func (e *WaitLimitError) Error() string { return "the engine needs " + e.Wait.String() }

type peers interface {
	View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool)
	VM(id string) (fuchsiaspoke.VM, bool)
	// PeerTimeout is the age beyond which another VM's claim on an engine is stale, so that the engine does not count as
	// accepting.
	PeerTimeout() time.Duration
}

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Requester routes admission requests to the controllers of this VM and to the owners of the other engines.
type Requester struct {
	Peers  peers
	Dialer dialer
	Clock  func() time.Duration

	// Self is this VM.
	Self fuchsiaspoke.VM

	mu          sync.Mutex
	controllers map[string]*controller.Controller
	// released holds the last views of the engines that this VM has owned.
	released map[string]releasedView
}

// releasedView is the view of an engine as this VM released it.
type releasedView struct {
	fuchsiaspoke.EngineView
	at time.Duration
}

// Admission is the right to send one request to an engine, until Release.
type Admission struct {
	fuchsiaspoke.AdmissionReply
	// Progress reports to the engine's owner the first event, or with notHeld that the engine refused the request, and the factor of work
	// that the response states; 0 is none.
	Progress func(notHeld bool, workFactor float64)
	Release  func()
}

// Add registers the controller of an engine that this VM owns.
func (r *Requester) Add(engine string, c *controller.Controller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.controllers == nil {
		r.controllers = make(map[string]*controller.Controller)
	}
	r.controllers[engine] = c
	delete(r.released, engine)
}

// Remove unregisters the controller of an engine. Its last view remains, without an owner, until another VM owns the engine.
func (r *Requester) Remove(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.controllers[engine]
	if c == nil {
		return
	}
	delete(r.controllers, engine)
	if r.released == nil {
		r.released = make(map[string]releasedView)
	}
	view := c.View()
	view.Accepting = false
	r.released[engine] = releasedView{EngineView: view, at: r.Clock()}
}

// ObserveWork records the factor of work that an engine of this VM stated in the response to an order or a report call.
func (r *Requester) ObserveWork(engine string, factor float64) {
	if c := r.controller(engine); c != nil {
		c.ObserveWork(factor)
	}
}

// Views returns the views of the engines that this VM owns.
func (r *Requester) Views() []fuchsiaspoke.EngineView {
	r.mu.Lock()
	controllers := slices.Collect(maps.Values(r.controllers))
	r.mu.Unlock()
	out := make([]fuchsiaspoke.EngineView, 0, len(controllers))
	for _, c := range controllers {
		out = append(out, c.View())
	}
	return out
}

// View returns the latest view of an engine and the time at which it was received. A view from another VM is not
// accepting once that VM's claim on the engine has ended or is older than Peers.PeerTimeout, and neither is that of an engine which this VM
// has released.
func (r *Requester) View(engine string) (fuchsiaspoke.EngineView, time.Duration, bool) {
	r.mu.Lock()
	c := r.controllers[engine]
	released, wasOwned := r.released[engine]
	r.mu.Unlock()
	if c != nil {
		return c.View(), r.Clock(), true
	}
	view, claim, known := r.Peers.View(engine)
	if isSucceeded := known && (view.Fence > released.Fence || claim.ReceivedAt > released.at); wasOwned && !isSucceeded {
		return released.EngineView, released.at, true
	}
	view.Accepting = view.Accepting && !claim.Ended && r.Clock()-claim.ReceivedAt <= r.Peers.PeerTimeout()
	return view, claim.ReceivedAt, known
}

func (r *Requester) controller(engine string) *controller.Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[engine]
}

// Owner returns this VM if it owns the engine, or else the VM whose heartbeats claim it, and whether there is one.
func (r *Requester) Owner(engine string) (fuchsiaspoke.VM, bool) {
	if r.controller(engine) != nil {
		return r.Self, true
	}
	_, claim, claimed := r.Peers.View(engine)
	if !claimed {
		return fuchsiaspoke.VM{}, false
	}
	return r.Peers.VM(claim.VM)
}

// Request waits for admission. The argument owner is the engine's owner as a hub reported it; if it has no id, the result of Owner is
// used. The error is a *fuchsiaspoke.Refusal, a *WaitLimitError or ctx's error, or has ErrNoOwner among its causes.
func (r *Requester) Request(ctx context.Context, req fuchsiaspoke.AdmissionRequest, owner fuchsiaspoke.VM) (*Admission, error) {
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan fuchsiaspoke.AdmissionReply, 2)
	finished := make(chan error, 1)
	send := func(reply fuchsiaspoke.AdmissionReply) error {
		replies <- reply
		return nil
	}
	progress, err := r.start(ctx, req, owner, send, finished)
	if err != nil {
		cancel()
		return nil, err
	}
	grant, err := awaitGrant(ctx, replies, finished)
	if err != nil {
		cancel()
		return nil, err
	}
	return &Admission{AdmissionReply: grant, Progress: progress, Release: cancel}, nil
}

// start passes the request to this VM's controller of the engine, or else sends it to the engine's owner, and returns the
// function that reports progress. In the background, send receives the replies, and finished the error with which the call ends.
func (r *Requester) start(
	ctx context.Context, req fuchsiaspoke.AdmissionRequest, owner fuchsiaspoke.VM, send func(fuchsiaspoke.AdmissionReply) error,
	finished chan<- error,
) (func(bool, float64), error) {
	if c := r.controller(req.Engine); c != nil {
		go func() { finished <- c.Admit(ctx, req, send) }()
		return func(notHeld bool, workFactor float64) {
			c.Progress(fuchsiaspoke.AdmissionProgress{ID: req.ID, Engine: req.Engine, NotHeld: notHeld, WorkFactor: workFactor})
		}, nil
	}
	if owner.ID == "" {
		var known bool
		if owner, known = r.Owner(req.Engine); !known {
			return nil, ErrNoOwner
		}
	}
	go func() {
		finished <- r.Dialer.Call(ctx, owner, MethodRequest, req, func(raw cbor.RawMessage) error {
			var reply fuchsiaspoke.AdmissionReply
			if err := cbor.Unmarshal(raw, &reply); err != nil {
				return errors.Wrapf(err, "decode admission reply from VM %s", owner.ID)
			}
			return send(reply)
		})
	}()
	return func(notHeld bool, workFactor float64) {
		go r.sendProgress(owner, fuchsiaspoke.AdmissionProgress{ID: req.ID, Engine: req.Engine, NotHeld: notHeld, WorkFactor: workFactor})
	}, nil
}

// sendProgress reports a request's progress to the engine's owner. An error is ignored, as the owner releases the admission at the
// end of the MethodRequest call anyway.
func (r *Requester) sendProgress(vm fuchsiaspoke.VM, p fuchsiaspoke.AdmissionProgress) {
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	_ = r.Dialer.Call(ctx, vm, MethodProgress, p, nil)
}

// awaitGrant waits for the grant. If no reply arrives within ackTimeout, not even that the request is queued, it fails with
// ErrNoOwner.
func awaitGrant(ctx context.Context, replies <-chan fuchsiaspoke.AdmissionReply, finished <-chan error) (fuchsiaspoke.AdmissionReply, error) {
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.WaitLimitExceeded {
				return reply, &WaitLimitError{reply.Wait}
			}
			if reply.Granted {
				return reply, nil
			}
			t.Stop()
		case err := <-finished:
			return fuchsiaspoke.AdmissionReply{}, finalError(replies, err)
		case <-ctx.Done():
			return fuchsiaspoke.AdmissionReply{}, ctx.Err()
		case <-t.C:
			return fuchsiaspoke.AdmissionReply{}, errors.Wrap(ErrNoOwner,
				"owner of the engine did not acknowledge the admission request in time")
		}
	}
}

// finalError returns why an admission request ended without a grant. A reply with WaitLimitExceeded may still be buffered when
// the end of the call is received; it then takes precedence over err.
func finalError(replies <-chan fuchsiaspoke.AdmissionReply, err error) error {
	for len(replies) > 0 {
		if reply := <-replies; reply.WaitLimitExceeded {
			return &WaitLimitError{reply.Wait}
		}
	}
	return refusalOrNoOwner(err)
}

// refusalOrNoOwner returns the refusal that err contains, or else ErrNoOwner with err as its reason.
func refusalOrNoOwner(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if err == nil {
		return ErrNoOwner
	}
	return errors.Wrap(ErrNoOwner, err.Error())
}

// Serve handles MethodRequest calls of other VMs.
func (r *Requester) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var req fuchsiaspoke.AdmissionRequest
	if err := cbor.Unmarshal(request.Body, &req); err != nil {
		return errors.Wrap(err, "decode admission request")
	}
	c := r.controller(req.Engine)
	if c == nil {
		return ErrNoOwner
	}
	err := c.Admit(ctx, req, func(reply fuchsiaspoke.AdmissionReply) error { return send(reply) })
	if req.Account != "" {
		return err
	}
	return withoutBasis(err)
}

// withoutBasis removes from a refusal the figures that are for this VM's logs alone.
func withoutBasis(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Basis == nil {
		return err
	}
	sent := *refusal
	sent.Basis = nil
	return &sent
}

// ServeProgress handles MethodProgress calls of other VMs.
func (r *Requester) ServeProgress(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var p fuchsiaspoke.AdmissionProgress
	if err := cbor.Unmarshal(request.Body, &p); err != nil {
		return errors.Wrap(err, "decode admission progress")
	}
	if c := r.controller(p.Engine); c != nil {
		c.Progress(p)
	}
	return nil
}

// Package requester requests admission to engines: from this VM's own keepers, or from the VM that controls the engine.
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
	// MethodRequest is the link method that asks for admission to an engine.
	MethodRequest = "engine.ask"
	// MethodProgress is the link method that reports the first event of an admitted request, or its refusal by the engine.
	MethodProgress = "engine.progress"

	// ackTimeout bounds the wait for the first message of another VM, usually that the ask is queued; one hop takes a few
	// milliseconds.
	ackTimeout = 350 * time.Millisecond
	// progressTimeout bounds one MethodProgress call.
	progressTimeout = time.Second
)

// ErrNoOwner is the cause of an ask that failed because no VM controls the engine, or because the VM that does could not be
// reached or ended the call without a decision.
var ErrNoOwner = errors.New("no VM controls the engine")

// WaitLimitError is the cause of an ask that was not queued because its predicted wait exceeds its limit.
type WaitLimitError struct {
	// Wait is the predicted time to the first event.
	Wait time.Duration
}

func (e *WaitLimitError) Error() string { return "the engine needs " + e.Wait.String() }

type peers interface {
	View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool)
	VM(id string) (fuchsiaspoke.VM, bool)
	// PeerTimeout is the age beyond which another VM's claim on an engine is stale, so that the engine does not count as open.
	PeerTimeout() time.Duration
}

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Requester routes asks to the keepers of this VM and to the VMs that claim the other engines.
type Requester struct {
	Peers  peers
	Dialer dialer
	Clock  func() time.Duration

	mu          sync.Mutex
	controllers map[string]*controller.Controller
}

// Admission is an admission that was granted; End releases it.
type Admission struct {
	fuchsiaspoke.AdmissionReply
	// Progress reports the first event, or with notHeld that the engine refused the request.
	Progress func(notHeld bool)
	Release  func()
}

// Add registers the keeper of an engine that this VM controls.
func (b *Requester) Add(engine string, k *controller.Controller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.controllers == nil {
		b.controllers = make(map[string]*controller.Controller)
	}
	b.controllers[engine] = k
}

// Remove unregisters the keeper of an engine.
func (b *Requester) Remove(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.controllers, engine)
}

// Views returns the views of the engines that this VM controls.
func (b *Requester) Views() []fuchsiaspoke.EngineView {
	b.mu.Lock()
	keepers := slices.Collect(maps.Values(b.controllers))
	b.mu.Unlock()
	out := make([]fuchsiaspoke.EngineView, 0, len(keepers))
	for _, k := range keepers {
		out = append(out, k.View())
	}
	return out
}

// View returns the latest view of an engine and the time at which it was received. A view from another VM is closed once that
// VM's claim on the engine has ended or is older than Peers.Silence.
func (b *Requester) View(engine string) (fuchsiaspoke.EngineView, time.Duration, bool) {
	if k := b.controller(engine); k != nil {
		return k.View(), b.Clock(), true
	}
	view, claim, known := b.Peers.View(engine)
	view.Accepting = view.Accepting && !claim.Ended && b.Clock()-claim.ReceivedAt <= b.Peers.PeerTimeout()
	return view, claim.ReceivedAt, known
}

func (b *Requester) controller(engine string) *controller.Controller {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controllers[engine]
}

// Request waits for admission. Its error is a *fuchsiaspoke.Refusal, a *SlowerError or ctx's error, or has ErrNoHolder among its causes.
func (b *Requester) Request(ctx context.Context, ask fuchsiaspoke.AdmissionRequest) (*Admission, error) {
	ctx, cancel := context.WithCancel(ctx)
	grants := make(chan fuchsiaspoke.AdmissionReply, 2)
	finished := make(chan error, 1)
	send := func(g fuchsiaspoke.AdmissionReply) error {
		grants <- g
		return nil
	}
	progress, err := b.start(ctx, ask, send, finished)
	if err != nil {
		cancel()
		return nil, err
	}
	grant, err := awaitGrant(ctx, grants, finished)
	if err != nil {
		cancel()
		return nil, err
	}
	return &Admission{AdmissionReply: grant, Progress: progress, Release: cancel}, nil
}

func (b *Requester) start(
	ctx context.Context, ask fuchsiaspoke.AdmissionRequest, send func(fuchsiaspoke.AdmissionReply) error, finished chan<- error,
) (func(bool), error) {
	if k := b.controller(ask.Engine); k != nil {
		go func() { finished <- k.Admit(ctx, ask, send) }()
		return func(notHeld bool) {
			k.Progress(fuchsiaspoke.AdmissionProgress{ID: ask.ID, Engine: ask.Engine, NotHeld: notHeld})
		}, nil
	}
	_, claim, known := b.Peers.View(ask.Engine)
	if !known {
		return nil, ErrNoOwner
	}
	vm, known := b.Peers.VM(claim.VM)
	if !known {
		return nil, ErrNoOwner
	}
	go func() {
		finished <- b.Dialer.Call(ctx, vm, MethodRequest, ask, func(raw cbor.RawMessage) error {
			var g fuchsiaspoke.AdmissionReply
			if err := cbor.Unmarshal(raw, &g); err != nil {
				return errors.Wrapf(err, "decode engine grant from VM %s", vm.ID)
			}
			return send(g)
		})
	}()
	return func(notHeld bool) { go b.sendProgress(vm, ask, notHeld) }, nil
}

// sendProgress reports a request's progress to the VM that controls the engine. An error is ignored:
// the end of the ask ends the request there too.
func (b *Requester) sendProgress(vm fuchsiaspoke.VM, ask fuchsiaspoke.AdmissionRequest, notHeld bool) {
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	_ = b.Dialer.Call(ctx, vm, MethodProgress, fuchsiaspoke.AdmissionProgress{ID: ask.ID, Engine: ask.Engine, NotHeld: notHeld}, nil)
}

// awaitGrant waits for the grant. If not even the message that the ask is queued arrives within ackTimeout, it fails
// with ErrNoHolder.
func awaitGrant(ctx context.Context, grants <-chan fuchsiaspoke.AdmissionReply, finished <-chan error) (fuchsiaspoke.AdmissionReply, error) {
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	for {
		select {
		case g := <-grants:
			if g.WaitLimitExceeded {
				return g, &WaitLimitError{g.Wait}
			}
			if g.Granted {
				return g, nil
			}
			t.Stop()
		case err := <-finished:
			return fuchsiaspoke.AdmissionReply{}, finalError(grants, err)
		case <-ctx.Done():
			return fuchsiaspoke.AdmissionReply{}, ctx.Err()
		case <-t.C:
			return fuchsiaspoke.AdmissionReply{}, errors.Wrap(ErrNoOwner, "controlling VM did not acknowledge the ask in time")
		}
	}
}

// finalError returns why an ask ended without a grant. A Slower grant may still be buffered when the end of the call is received,
// and then decides.
func finalError(grants <-chan fuchsiaspoke.AdmissionReply, err error) error {
	for len(grants) > 0 {
		if g := <-grants; g.WaitLimitExceeded {
			return &WaitLimitError{g.Wait}
		}
	}
	return asRefusal(err)
}

// asRefusal returns the refusal that the other VM sent, or else ErrNoHolder with err as its reason.
func asRefusal(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if err == nil {
		return ErrNoOwner
	}
	return errors.Wrap(ErrNoOwner, err.Error())
}

// Serve handles MethodAsk calls of other VMs.
func (b *Requester) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var ask fuchsiaspoke.AdmissionRequest
	if err := cbor.Unmarshal(request.Body, &ask); err != nil {
		return errors.Wrap(err, "decode engine ask")
	}
	k := b.controller(ask.Engine)
	if k == nil {
		return ErrNoOwner
	}
	return k.Admit(ctx, ask, func(g fuchsiaspoke.AdmissionReply) error { return send(g) })
}

// ServeProgress handles MethodProgress calls of other VMs.
func (b *Requester) ServeProgress(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var p fuchsiaspoke.AdmissionProgress
	if err := cbor.Unmarshal(request.Body, &p); err != nil {
		return errors.Wrap(err, "decode engine progress")
	}
	if k := b.controller(p.Engine); k != nil {
		k.Progress(p)
	}
	return nil
}

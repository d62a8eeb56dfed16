// Package broker gets places at engines: from this VM's own keepers, or from the VM that orders for the engine.
package broker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/keeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodAsk is the call for a place at an engine.
	MethodAsk = "engine.ask"
	// MethodProgress is the call that tells what became of a place.
	MethodProgress = "engine.progress"

	// ackTimeout bounds the first answer of another VM; one hop takes a few milliseconds.
	ackTimeout = 350 * time.Millisecond
	// progressTimeout bounds a report of progress.
	progressTimeout = time.Second
)

// ErrNoHolder is the cause of an ask that no VM took, so that nothing was queued.
var ErrNoHolder = errors.New("no VM orders for the engine")

// SlowerError is the cause of an ask that wasn't taken on, since it would wait beyond its limit.
type SlowerError struct {
	// Wait is the predicted time to the first event.
	Wait time.Duration
}

func (e *SlowerError) Error() string { return "the engine needs " + e.Wait.String() }

type peers interface {
	View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool)
	VM(id string) (fuchsiaspoke.VM, bool)
	// Silence is how old what another VM told of an engine may be for the engine to count as open.
	Silence() time.Duration
}

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Broker knows the keepers of this VM and those that other VMs told of.
type Broker struct {
	Peers  peers
	Dialer dialer
	Clock  func() time.Duration

	mu      sync.Mutex
	keepers map[string]*keeper.Keeper
}

// Place is a granted place; End gives it back.
type Place struct {
	fuchsiaspoke.EngineGrant
	// Progress tells of the first event, or of a refusal for want of the adapter.
	Progress func(notHeld bool)
	End      func()
}

// Add makes a keeper known, and Remove takes it away.
func (b *Broker) Add(engine string, k *keeper.Keeper) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keepers == nil {
		b.keepers = make(map[string]*keeper.Keeper)
	}
	b.keepers[engine] = k
}

// Remove makes a keeper unknown.
func (b *Broker) Remove(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.keepers, engine)
}

// Views returns what this VM's own keepers tell of their engines.
func (b *Broker) Views() []fuchsiaspoke.EngineView {
	b.mu.Lock()
	keepers := slices.Collect(maps.Values(b.keepers))
	b.mu.Unlock()
	out := make([]fuchsiaspoke.EngineView, 0, len(keepers))
	for _, k := range keepers {
		out = append(out, k.View())
	}
	return out
}

// View returns what is known of an engine, and when it was told; a view is closed where its VM fell silent.
func (b *Broker) View(engine string) (fuchsiaspoke.EngineView, time.Duration, bool) {
	if k := b.keeper(engine); k != nil {
		return k.View(), b.Clock(), true
	}
	view, claim, known := b.Peers.View(engine)
	view.Open = view.Open && !claim.Over && b.Clock()-claim.Heard <= b.Peers.Silence()
	return view, claim.Heard, known
}

func (b *Broker) keeper(engine string) *keeper.Keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keepers[engine]
}

// Ask waits for a place; its error is a *fuchsiaspoke.Refusal or a *SlowerError, or has ErrNoHolder among its causes.
func (b *Broker) Ask(ctx context.Context, ask fuchsiaspoke.EngineAsk) (*Place, error) {
	ctx, cancel := context.WithCancel(ctx)
	grants := make(chan fuchsiaspoke.EngineGrant, 2)
	finished := make(chan error, 1)
	send := func(g fuchsiaspoke.EngineGrant) error {
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
	return &Place{EngineGrant: grant, Progress: progress, End: cancel}, nil
}

func (b *Broker) start(
	ctx context.Context, ask fuchsiaspoke.EngineAsk, send func(fuchsiaspoke.EngineGrant) error, finished chan<- error,
) (func(bool), error) {
	if k := b.keeper(ask.Engine); k != nil {
		go func() { finished <- k.Ask(ctx, ask, send) }()
		return func(notHeld bool) {
			k.Progress(fuchsiaspoke.EngineProgress{ID: ask.ID, Engine: ask.Engine, NotHeld: notHeld})
		}, nil
	}
	_, claim, known := b.Peers.View(ask.Engine)
	if !known {
		return nil, ErrNoHolder
	}
	vm, known := b.Peers.VM(claim.VM)
	if !known {
		return nil, ErrNoHolder
	}
	go func() {
		finished <- b.Dialer.Call(ctx, vm, MethodAsk, ask, func(raw cbor.RawMessage) error {
			var g fuchsiaspoke.EngineGrant
			if err := cbor.Unmarshal(raw, &g); err != nil {
				return errors.Wrapf(err, "read grant of VM %s", vm.ID)
			}
			return send(g)
		})
	}()
	return func(notHeld bool) { go b.sendProgress(vm, ask, notHeld) }, nil
}

// sendProgress tells another VM what became of a place; if it is lost, the place's end tells enough.
func (b *Broker) sendProgress(vm fuchsiaspoke.VM, ask fuchsiaspoke.EngineAsk, notHeld bool) {
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	_ = b.Dialer.Call(ctx, vm, MethodProgress, fuchsiaspoke.EngineProgress{ID: ask.ID, Engine: ask.Engine, NotHeld: notHeld}, nil)
}

// awaitGrant returns the grant; a VM that doesn't even answer that the ask waits is given up early.
func awaitGrant(ctx context.Context, grants <-chan fuchsiaspoke.EngineGrant, finished <-chan error) (fuchsiaspoke.EngineGrant, error) {
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	for {
		select {
		case g := <-grants:
			if g.Slower {
				return g, &SlowerError{g.Wait}
			}
			if g.Granted {
				return g, nil
			}
			t.Stop()
		case err := <-finished:
			return fuchsiaspoke.EngineGrant{}, finalError(grants, err)
		case <-ctx.Done():
			return fuchsiaspoke.EngineGrant{}, ctx.Err()
		case <-t.C:
			return fuchsiaspoke.EngineGrant{}, errors.Wrap(ErrNoHolder, "no answer in time")
		}
	}
}

// finalError is why an ask ended: its finalError part may say so.
func finalError(grants <-chan fuchsiaspoke.EngineGrant, err error) error {
	for len(grants) > 0 {
		if g := <-grants; g.Slower {
			return &SlowerError{g.Wait}
		}
	}
	return asRefusal(err)
}

func asRefusal(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if err == nil {
		return ErrNoHolder
	}
	return errors.Wrap(ErrNoHolder, err.Error())
}

// Serve answers the asks of other VMs.
func (b *Broker) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var ask fuchsiaspoke.EngineAsk
	if err := cbor.Unmarshal(request.Body, &ask); err != nil {
		return errors.Wrap(err, "read ask")
	}
	k := b.keeper(ask.Engine)
	if k == nil {
		return ErrNoHolder
	}
	return k.Ask(ctx, ask, func(g fuchsiaspoke.EngineGrant) error { return send(g) })
}

// ServeProgress answers the reports of other VMs.
func (b *Broker) ServeProgress(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var p fuchsiaspoke.EngineProgress
	if err := cbor.Unmarshal(request.Body, &p); err != nil {
		return errors.Wrap(err, "read progress")
	}
	if k := b.keeper(p.Engine); k != nil {
		k.Progress(p)
	}
	return nil
}

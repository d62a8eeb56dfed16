// Package entry is one entry VM: it joins the duties that serve callers through the platform's door.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/follower"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/sharer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/assessor"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/broker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/keeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/gatekeeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/beater"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/roster"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/steward"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// stopSlack is how much longer a leaving VM serves than callers keep answers.
	stopSlack = 300 * time.Millisecond
	// answerKept is how long callers may keep an answer about addresses; some keep it three times as long.
	answerKept = time.Second
	// keptFactor is how many times answerKept some callers keep an answer.
	keptFactor = 3
	// stopMargin is kept between the last work and the end of the time that a stopping process has.
	stopMargin = 600 * time.Millisecond
)

// Platform is what the VM reads from and speaks with; it is the same for all VMs.
type Platform struct {
	Publisher interface {
		List(ctx context.Context) (fuchsiaspoke.PublicationList, error)
		Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error)
		Decode(raw []byte) (*fuchsiaspoke.Contract, error)
	}
	Replicas interface {
		Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
		Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
		Dress(m fuchsiaspoke.Message, w fuchsiaspoke.Work, s fuchsiaspoke.Send) fuchsiaspoke.Message
		Mine(w fuchsiaspoke.Work, h http.Header) bool
		Read(w fuchsiaspoke.Work, status int, h http.Header) fuchsiaspoke.Reading
	}
}

// Entry is one VM; its fields are set before Run.
type Entry struct {
	VM       fuchsiaspoke.VM
	Bounds   fuchsiaspoke.Bounds
	Platform Platform
	// BeatAddress is where heartbeats go, SeedBeats those of VMs that may be there.
	BeatAddress string
	SeedBeats   []string
	// FirstStart says that no VM of the fleet ran before.
	FirstStart bool
	// LinkSecret is what the keys of the links between VMs are derived from.
	LinkSecret string
	Log        func(event string, keysAndValues ...any)
	// Observe is told how long a generation's first event took, and how long it was predicted to take.
	Observe func(predicted, real time.Duration)

	timer       timer.Timer
	incarnation string
	follower    *follower.Follower
	sharer      sharer.Sharer
	roster      roster.Roster
	assessor    assessor.Assessor
	exchanger   exchanger.Exchanger
	broker      *broker.Broker
	sender      *sender.Sender
	gatekeeper  *gatekeeper.Gatekeeper
	budgets     budgets
	beat        atomic.Uint64
	leaving     atomic.Bool

	mu       sync.Mutex
	steward  steward.Steward
	keepers  map[string]*held
	pulling  atomic.Bool
	duties   sync.WaitGroup
	dialer   *dialer.Dialer
	tls      *tls.Config
	seenPeer map[string]bool
}

// held is a keeper with what ends it.
type held struct {
	keeper *keeper.Keeper
	cancel context.CancelFunc
	born   int64
}

// Start begins the VM's duties; they end with the context, which the channel reports.
func (e *Entry) Start(ctx context.Context) (<-chan error, error) {
	if err := e.prepare(); err != nil {
		return nil, err
	}
	transport, err := e.listen()
	if err != nil {
		return nil, err
	}
	b := &beater.Beater{Listen: e.BeatAddress, Interval: e.roster.Interval, State: e.state, Targets: e.targets, Heard: e.heard, Log: e.Log}
	beats, err := b.Run(ctx)
	if err != nil {
		return nil, err
	}
	accepting := make(chan error, 1)
	go func() { accepting <- e.acceptor().Serve(ctx, transport) }()
	following := e.follower.Run(ctx)
	done := make(chan error, 1)
	go func() {
		e.tick(ctx)
		for _, end := range []<-chan error{beats, following, accepting} {
			e.ended(<-end)
		}
		e.duties.Wait()
		e.dialer.Close()
		e.exchanger.Close()
		done <- errors.Wrap(transport.Close(), "close links")
	}()
	return done, nil
}

// ended tells of a duty that ended for another reason than the end of its context.
func (e *Entry) ended(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		e.Log("duty ended", "error", err.Error())
	}
}

func (e *Entry) prepare() error {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return errors.Wrap(err, "make an incarnation")
	}
	e.incarnation = hex.EncodeToString(id[:])
	e.timer.Now()
	secret := sha256.Sum256([]byte(e.LinkSecret))
	ring, err := keyring.New(hex.EncodeToString(secret[:]))
	if err != nil {
		return err
	}
	if e.tls, err = ring.TLS(e.VM.ID, e.incarnation); err != nil {
		return err
	}
	e.keepers = make(map[string]*held)
	e.seenPeer = make(map[string]bool)
	e.steward.Lease = e.Bounds.OrderLease
	e.sharer.Self = e.VM.ID
	e.sharer.Overage = e.Bounds.QuotaOverage
	if e.expectsOthers() {
		e.sharer.Fleet = unknownFleet
		e.sharer.Restarted = !e.FirstStart
	}
	e.dialer = &dialer.Dialer{TLS: e.tls}
	e.follower = &follower.Follower{
		Platform: e.Platform.Publisher, Clock: e.timer.Now, Limit: e.Bounds.LeavingLimit,
		Reads: e.reads, Log: e.Log,
	}
	e.broker = &broker.Broker{Peers: &e.roster, Dialer: e.dialer, Clock: e.timer.Now}
	e.budgets = budgets{ratio: e.Bounds.RetryRatio, slack: e.Bounds.RetrySlack, vms: e.fleet}
	e.gatekeeper = &gatekeeper.Gatekeeper{Published: e.follower.Published, Sharer: &e.sharer, Clock: e.timer.Now}
	e.sender = &sender.Sender{
		Published: e.follower.Published, Exchanger: &e.exchanger, Dialect: e.Platform.Replicas, Broker: e.broker,
		Assessor: &e.assessor, Budget: &e.budgets, Clock: e.timer.Now, Log: e.Log, Observe: e.Observe,
		OpensIn: e.opensIn,
	}
	return nil
}

func (e *Entry) listen() (*quic.Transport, error) {
	address, err := net.ResolveUDPAddr("udp", e.VM.LinkAddress)
	if err != nil {
		return nil, errors.Wrap(err, "links")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "links: listen")
	}
	transport := &quic.Transport{Conn: conn}
	e.dialer.Transport = transport
	return transport, nil
}

func (e *Entry) acceptor() *acceptor.Acceptor {
	a := &acceptor.Acceptor{TLS: e.tls}
	a.Handle(broker.MethodAsk, e.broker.Serve)
	a.Handle(broker.MethodProgress, e.broker.ServeProgress)
	a.Handle(methodPublished, e.servePublished)
	return a
}

// Admit admits a caller's request.
func (e *Entry) Admit(r fuchsiaspoke.Request) (fuchsiaspoke.Work, *fuchsiaspoke.Refusal) {
	return e.gatekeeper.Admit(r)
}

// Return gives a request's tokens back.
func (e *Entry) Return(w fuchsiaspoke.Work) { e.gatekeeper.Return(w) }

// Sender carries requests out.
func (e *Entry) Sender() *sender.Sender { return e.sender }

// Limits returns the bounds on callers' requests.
func (e *Entry) Limits() fuchsiaspoke.RequestLimits {
	if c := e.follower.Published().Contract; c != nil {
		return c.Limits
	}
	return fuchsiaspoke.RequestLimits{}
}

// Ready reports whether the VM serves callers and is not about to stop.
func (e *Entry) Ready() bool {
	p := e.follower.Published()
	return !e.leaving.Load() && p.Contract != nil && len(p.Replicas) > 0
}

// Leaving reports whether the VM is about to stop.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Leave takes the VM out of the answers to callers, and returns how long to go on serving those that kept an old one.
func (e *Entry) Leave() time.Duration {
	e.leaving.Store(true)
	return min(keptFactor*answerKept+stopSlack, e.Bounds.Grace/2)
}

// StopTime is how long running requests may go on after Leave and its wait.
func (e *Entry) StopTime(waited time.Duration) time.Duration {
	return max(e.Bounds.Grace-waited-stopMargin, 0)
}

// Choose returns the callers' addresses of the VMs that are ready, those of the zone alone where there are several.
func (e *Entry) Choose(zone fuchsiaspoke.Zone) ([]string, time.Duration) {
	var near, all []string
	add := func(vm fuchsiaspoke.VM) {
		all = append(all, vm.CallerAddress)
		if vm.Zone == zone {
			near = append(near, vm.CallerAddress)
		}
	}
	if e.Ready() {
		add(e.VM)
	}
	for _, p := range e.roster.Live(e.timer.Now()) {
		if p.State.Ready {
			add(p.State.VM)
		}
	}
	if len(near) > 1 {
		return near, answerKept
	}
	return all, answerKept
}

// Package entry runs one entry VM: it connects admission, forwarding, heartbeats, the links between VMs and the ownership
// of engines.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/ratelimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/refresher"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/finder"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/pacer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/partitiondetector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/quarantiner"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampdetector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/sharer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/tracker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/warmupdetector"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/authorizer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/delegator"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/claimer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/heartbeater"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/registrar"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// addressTTLMargin is how much longer a draining VM serves than callers cache its address.
	addressTTLMargin = 300 * time.Millisecond
	// addressTTL is how long callers may cache the VMs' addresses.
	addressTTL = time.Second
	// addressTTLFactor is the multiple of addressTTL for which some callers cache addresses.
	addressTTLFactor = 3
	// linkIdleTimeout is how long a link may receive nothing before it is closed. Links to VMs whose heartbeats stop are closed
	// without waiting for it.
	linkIdleTimeout = 20 * time.Second
	// maxLinkCloseTime bounds how long links are kept, as the VM ends, for responses that are not acknowledged.
	maxLinkCloseTime = 500 * time.Millisecond
	// maxCallerAddresses is the largest number of addresses that callers accept.
	maxCallerAddresses = 64
)

// Platform is the platform's API: the published configuration, and the protocol of replicas.
type Platform struct {
	Publisher interface {
		List(ctx context.Context) (fuchsiaspoke.PublicationList, error)
		Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error)
		Decode(raw []byte) (*fuchsiaspoke.Contract, error)
	}
	Replicas interface {
		Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
		Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
		PrepareMessage(m fuchsiaspoke.Message, req fuchsiaspoke.AdmittedRequest, s fuchsiaspoke.SendOptions) fuchsiaspoke.Message
		MatchResponse(req fuchsiaspoke.AdmittedRequest, h http.Header) fuchsiaspoke.ResponseMatch
		InterpretHead(req fuchsiaspoke.AdmittedRequest, status int, h http.Header) fuchsiaspoke.ResponseInfo
	}
}

// Entry is one entry VM. Its exported fields must be set before Start.
type Entry struct {
	VM       fuchsiaspoke.VM
	Bounds   fuchsiaspoke.Bounds
	Platform Platform
	// Regions holds the region of each availability zone; it is empty where none is known.
	Regions map[fuchsiaspoke.Zone]fuchsiaspoke.Region
	// HeartbeatAddress is where this VM receives heartbeats.
	HeartbeatAddress string
	// SeedAddresses are the heartbeat addresses of VMs that may be running; Reseed replaces them.
	SeedAddresses []string
	// FirstStart means that no VM of the fleet has run before.
	FirstStart bool
	// DialReplica opens a connection to a replica; nil means net.Dialer.DialContext.
	DialReplica func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxResponseMemory is how many bytes of replicas' whole responses may be held at once; 0 is any.
	MaxResponseMemory int64
	// LinkSecret is the secret from which the keys of the links between VMs are derived.
	LinkSecret string
	Log        func(event string, keysAndValues ...any)
	// Observe records the predicted and the measured time to the first event of a generation.
	Observe func(predicted, measured time.Duration)
	// ObserveBodyEnd records how the body of each replica's response ended.
	ObserveBodyEnd func(fuchsiaspoke.Framing, fuchsiaspoke.BodyEnd)
	// CountEvent counts an event of the fleet by its name.
	CountEvent func(event string)

	timer          timer.Timer
	incarnation    string
	watcher        *watcher.Watcher
	refresher      *refresher.Refresher
	registrar      *registrar.Registrar
	rateLimiter    ratelimiter.RateLimiter
	membership     membership.Membership
	exchanger      exchanger.Exchanger
	tracker        tracker.Tracker
	pacer          *pacer.Pacer
	warmUps        *warmupdetector.WarmupDetector
	sharer         sharer.Sharer
	ramps          *rampdetector.RampDetector
	permitter      *permitter.Permitter
	quarantiner    *quarantiner.Quarantiner
	transport      transport.Transport
	requester      *requester.Requester
	finder         *finder.Finder
	sender         *sender.Sender
	partition      partitiondetector.PartitionDetector
	delegator      *delegator.Delegator
	authorizer     *authorizer.Authorizer
	retryLimiters  retryLimiters
	heartbeatCount atomic.Uint64
	drainer        drainer.Drainer

	// mu guards SeedAddresses, claimer and controllers.
	mu              sync.Mutex
	claimer         claimer.Claimer
	controllers     map[string]*ownedEngine
	background      sync.WaitGroup
	dialer          *dialer.Dialer
	tls             *tls.Config
	linkResetKey    *quic.StatelessResetKey
	peerUnreachable map[string]bool
	peerFailed      map[string]bool
}

// ownedEngine is the controller of an engine that this VM owns, with the function that stops it.
type ownedEngine struct {
	controller  *controller.Controller
	cancel      context.CancelFunc
	startedAtMs int64
}

// Start starts the VM's background tasks. They run until the context ends; the channel then receives the result.
func (e *Entry) Start(ctx context.Context) (<-chan error, error) {
	if err := e.initialize(); err != nil {
		return nil, err
	}
	quicTransport, err := e.listenForLinks()
	if err != nil {
		return nil, err
	}
	hb := &heartbeater.Heartbeater{
		Listen: e.HeartbeatAddress, Interval: e.membership.HeartbeatInterval, Compose: e.composeHeartbeats,
		OnHeartbeat: e.receiveHeartbeat, Log: e.Log,
	}
	heartbeating, err := hb.Run(ctx)
	if err != nil {
		return nil, err
	}
	accepting := make(chan error, 1)
	go func() { accepting <- e.newAcceptor(ctx).Serve(ctx, quicTransport) }()
	watching := e.watcher.Run(ctx)
	refreshing := e.refresher.Run(ctx)
	registering := e.registrar.Run(ctx)
	detecting := e.partition.Run(ctx)
	done := make(chan error, 1)
	go func() {
		e.manageEngines(ctx)
		for _, end := range []<-chan error{heartbeating, watching, refreshing, accepting, registering, detecting} {
			e.logFailure(<-end)
		}
		e.background.Wait()
		e.dialer.Close()
		e.transport.Close()
		done <- errors.Wrap(quicTransport.Close(), "close link socket")
	}()
	return done, nil
}

// logFailure logs the error of a background task, unless its context was cancelled.
func (e *Entry) logFailure(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		e.Log("background task failed", "error", err.Error())
	}
}

// propagationLimit returns the time within which a published change must be in force: half of the bound of evacuations is left for work
// that was begun before.
func (e *Entry) propagationLimit() time.Duration {
	if half := e.Bounds.Evacuation / 2; half > 0 && (e.Bounds.DrainLimit == 0 || half < e.Bounds.DrainLimit) {
		return half
	}
	return e.Bounds.DrainLimit
}

// listenForLinks opens the UDP socket that links to and from other VMs share.
func (e *Entry) listenForLinks() (*quic.Transport, error) {
	address, err := net.ResolveUDPAddr("udp", e.VM.LinkAddress)
	if err != nil {
		return nil, errors.Wrap(err, "links")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on link address")
	}
	quicTransport := &quic.Transport{Conn: conn, StatelessResetKey: e.linkResetKey}
	e.dialer.Transport = quicTransport
	return quicTransport, nil
}

// newAcceptor returns the acceptor of the links from other VMs. The admissions that it serves end with the context: they last as long as the
// requests of those VMs.
func (e *Entry) newAcceptor(ctx context.Context) *acceptor.Acceptor {
	a := &acceptor.Acceptor{
		TLS: e.tls, IdleTimeout: linkIdleTimeout, CloseTime: func() time.Duration { return e.drainer.CloseLeft(maxLinkCloseTime) },
	}
	a.Handle(requester.MethodRequest, untilDone(ctx, e.requester.Serve))
	a.Handle(requester.MethodProgress, e.requester.ServeProgress)
	a.Handle(methodPublished, e.servePublished)
	a.Handle(delegator.MethodServe, e.delegator.Handle)
	a.Handle(finder.MethodRank, e.finder.Serve)
	a.Handle(pacer.MethodToken, e.pacer.Serve)
	a.Handle(registrar.MethodRecord, e.registrar.ServeRecord)
	a.Handle(registrar.MethodOrigin, e.registrar.ServeOrigin)
	return a
}

// untilDone returns a handler of calls whose context ends with ctx.
func untilDone(
	ctx context.Context, handle func(ctx context.Context, peer string, request frame.Frame, send func(any) error) error,
) func(context.Context, string, frame.Frame, func(any) error) error {
	return func(call context.Context, peer string, request frame.Frame, send func(any) error) error {
		call, cancel := context.WithCancel(call)
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		return handle(call, peer, request, send)
	}
}

// ObserveNotice records what a replica said of itself in the response to an order or a report call.
func (e *Entry) ObserveNotice(r fuchsiaspoke.Replica, n fuchsiaspoke.ReplicaNotice) {
	e.permitter.Observe(r, n)
	e.sender.RecordLoad(r, n)
	if n.Load != nil {
		e.requester.ObserveWork(r.ID, n.Load.WorkFactor())
	}
}

// Admit admits a caller's request or refuses it.
func (e *Entry) Admit(r fuchsiaspoke.Request) (fuchsiaspoke.AdmittedRequest, *fuchsiaspoke.Refusal) {
	return e.authorizer.Admit(r)
}

// Return refunds the tokens of a request that certainly did not run.
func (e *Entry) Return(req fuchsiaspoke.AdmittedRequest) { e.authorizer.Return(req) }

// Serve serves an admitted request: at this VM, or through another one while this VM reaches no replica. Its errors are those of
// sender.Sender.Serve.
func (e *Entry) Serve(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out delegator.ResponseWriter) error {
	return e.delegator.Serve(ctx, req, m, out)
}

// Contacts learns from the connections of orders and report calls whether replicas are reached. It must not be used before Start.
func (e *Entry) Contacts() *partitiondetector.PartitionDetector { return &e.partition }

// Limits returns the size limits of callers' requests.
func (e *Entry) Limits() fuchsiaspoke.RequestLimits {
	if c := e.watcher.Published().Contract; c != nil {
		return c.Limits
	}
	return fuchsiaspoke.RequestLimits{}
}

// Ready reports whether the VM has a contract and replicas, and is not draining.
func (e *Entry) Ready() bool {
	p := e.watcher.Published()
	return !e.Leaving() && p.Contract != nil && len(p.Replicas) > 0
}

// Leaving reports whether the VM is draining.
func (e *Entry) Leaving() bool { return e.drainer.Draining() }

// StoppingFor returns for how long the VM has been draining; 0 if it isn't.
func (e *Entry) StoppingFor() time.Duration { return e.drainer.Since() }

// AwaitDelegated waits until no request of another VM is served here, or ctx ends.
func (e *Entry) AwaitDelegated(ctx context.Context) error { return e.delegator.AwaitServed(ctx) }

// Leave starts draining: the VM's address is no longer returned to callers. It returns how long callers that have the address cached are
// served; later requests are refused at once.
func (e *Entry) Leave() time.Duration {
	phases := fuchsiaspoke.NewStopPhases(e.Bounds.Grace, addressTTLFactor*addressTTL+addressTTLMargin)
	e.drainer.Begin(phases)
	return phases.Waits
}

// StopTime returns how much longer the process goes on after Leave, whatever runs.
func (e *Entry) StopTime() time.Duration { return e.drainer.Left(e.Bounds.Grace) }

package runner

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenclient"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenserver"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/executor"
	"github.com/fuchsiaspoke/fuchsiaspoke/invariant/asserter"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/meter"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/recorder"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/balancer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/admitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/forwarder"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/lingerer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/listener"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/reporter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/retrylimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/router"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/gossiper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/holder"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/relayer"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// fleetKeyBytes is the length of the decoded fleet key.
	fleetKeyBytes = 32
	// leaseDuration is how long a lease lasts without renewal.
	leaseDuration = 3 * time.Second
	// maxLeaseGrantors bounds the number of VMs of which a majority must grant a lease.
	maxLeaseGrantors = 7
	// unresponsiveGrantorTimeout is how long a grantor must not have responded to lease requests before the lease protocol
	// continues without it: a grantor that the platform no longer lists, or a minority of the grantors after a start of this VM.
	unresponsiveGrantorTimeout = 30 * time.Second
	// configurationMaxAge is how long a VM sends requests under its configuration without a confirmation by the platform or
	// another VM that it is current.
	configurationMaxAge = 2500 * time.Millisecond
	// leaseGroup is the name of the only group of leased resources.
	leaseGroup = "group_0"
	// watchersPerZone bounds the VMs of an availability zone that watch the platform.
	watchersPerZone = 2
)

// process holds the components of one VM and connects them.
type process struct {
	settings    *Runner
	incarnation string
	timer       timer.Timer
	draining    atomic.Bool

	dialer   *dialer.Dialer
	acceptor *acceptor.Acceptor
	recorder *recorder.Recorder
	asserter *asserter.Asserter
	meter    *meter.Meter

	relayer     *relayer.Relayer
	gossiper    *gossiper.Gossiper
	holder      *holder.Holder
	tokenServer *tokenserver.TokenServer
	tokenClient *tokenclient.TokenClient
	manager     *manager.Manager

	admitter  *admitter.Admitter
	router    *router.Router
	balancer  *balancer.Balancer
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	listener  *listener.Listener
	reporter  *reporter.Reporter

	retryBudget retrylimiter.RetryLimiter
	// rotation is the number of calls of entryVMs, by which rotate chooses the first VM.
	rotation atomic.Uint64
	// knownPeers holds the ids of the VMs that were live at the last call of observePeers. Only the goroutine of
	// rebalanceLeases accesses it.
	knownPeers     map[string]bool
	callerListener *lingerer.Lingerer
	adminListener  net.Listener
	linkTransport  *quic.Transport
	stopListener   context.CancelFunc
	listenerDone   chan error
}

func (r *Runner) build() (*process, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	p := &process{settings: r, incarnation: incarnation, listenerDone: make(chan error, 1)}
	p.recorder = &recorder.Recorder{VM: r.VM.ID, Clock: &clock.Clock{}}
	p.meter = &meter.Meter{}
	p.asserter = &asserter.Asserter{OnViolation: r.OnViolation, Recorder: p.recorder, Meter: p.meter}
	if err := p.listen(); err != nil {
		p.close()
		return nil, err
	}
	ring, err := keyring.New(r.FleetKey)
	if err != nil {
		p.close()
		return nil, err
	}
	if err := p.buildLink(ring); err != nil {
		p.close()
		return nil, err
	}
	p.buildZone()
	p.buildUpstream()
	return p, p.buildCallerAPI(ring)
}

// listen opens the sockets for other VMs, for callers and for the administration API.
func (p *process) listen() error {
	address := p.settings.LinkListen
	if address == "" {
		address = p.settings.VM.LinkAddress
	}
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for other VMs on UDP %s", address)
	}
	p.linkTransport = &quic.Transport{Conn: conn}
	if p.callerListener, err = lingerer.New(p.settings.VM.CallerAddress); err != nil {
		return errors.Wrap(err, "open listener for callers")
	}
	p.adminListener, err = listenTCP(p.settings.AdminAddress)
	return errors.Wrap(err, "open listener of the administration API")
}

func (p *process) close() {
	if p.linkTransport != nil {
		_ = p.linkTransport.Close()
		p.linkTransport.Conn.Close()
	}
	if p.callerListener != nil {
		_ = p.callerListener.Close()
	}
	if p.adminListener != nil {
		p.adminListener.Close()
	}
}

func (p *process) buildLink(ring keyring.Keyring) error {
	config, err := ring.TLS(p.settings.VM.ID, p.incarnation)
	if err != nil {
		return err
	}
	if p.linkTransport.StatelessResetKey, err = ring.ResetKey(p.settings.VM.ID); err != nil {
		return err
	}
	p.dialer = &dialer.Dialer{TLS: config, Transport: p.linkTransport, Clock: p.recorder.Clock}
	p.acceptor = &acceptor.Acceptor{TLS: config, Clock: p.recorder.Clock}
	return nil
}

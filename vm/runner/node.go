package runner

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/granter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/spender"
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
	// fleetKeyBytes is the size of the fleet key.
	fleetKeyBytes = 32
	// leaseLength is how long a lease lasts without renewal.
	leaseLength = 3 * time.Second
	// councilSize bounds the VMs whose promises make a lease.
	councilSize = 7
	// abandonAfter is how long a VM that the platform no longer lists must be silent before its promises count as gone.
	abandonAfter = 30 * time.Second
	// freshFor is how long a VM acts on what it has in force without hearing that it is still so.
	freshFor = 2500 * time.Millisecond
	// leaseGroup names the one group of resources that today's fleets need.
	leaseGroup = "group_0"
	// watchersPerZone is the number of VMs of an availability zone that watch the platform.
	watchersPerZone = 2
)

// node holds the duties of one VM and what joins them.
type node struct {
	settings    *Runner
	incarnation string
	timer       timer.Timer
	draining    atomic.Bool

	dialer   *dialer.Dialer
	acceptor *acceptor.Acceptor
	recorder *recorder.Recorder
	asserter *asserter.Asserter
	meter    *meter.Meter

	relayer  *relayer.Relayer
	gossiper *gossiper.Gossiper
	holder   *holder.Holder
	granter  *granter.Granter
	spender  *spender.Spender
	manager  *manager.Manager

	admitter  *admitter.Admitter
	router    *router.Router
	balancer  *balancer.Balancer
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	listener  *listener.Listener
	reporter  *reporter.Reporter

	budget retrylimiter.RetryLimiter
	turn   atomic.Uint64
	// seen are the peers that were live at the last look; only the balance duty touches it.
	seen       map[string]bool
	callers    net.Listener
	admin      net.Listener
	links      *quic.Transport
	endCallers context.CancelFunc
	callersEnd chan error
}

func (r *Runner) build() (*node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n := &node{settings: r, incarnation: incarnation, callersEnd: make(chan error, 1)}
	n.recorder = &recorder.Recorder{VM: r.VM.ID, Clock: &clock.Clock{}}
	n.meter = &meter.Meter{}
	n.asserter = &asserter.Asserter{Stop: r.Stop, Recorder: n.recorder, Meter: n.meter}
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	ring, err := keyring.New(r.FleetKey)
	if err != nil {
		n.close()
		return nil, err
	}
	if err := n.join(ring); err != nil {
		n.close()
		return nil, err
	}
	n.buildZone()
	n.buildUpstream()
	return n, n.buildCallers(ring)
}

func (n *node) listen() error {
	address := n.settings.LinkListen
	if address == "" {
		address = n.settings.VM.LinkAddress
	}
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for VMs on %s", address)
	}
	n.links = &quic.Transport{Conn: conn}
	if n.callers, err = listenTCP(n.settings.VM.CallerAddress); err != nil {
		return errors.Wrap(err, "callers")
	}
	n.admin, err = listenTCP(n.settings.AdminAddress)
	return errors.Wrap(err, "administration")
}

func (n *node) close() {
	if n.links != nil {
		_ = n.links.Close()
		n.links.Conn.Close()
	}
	if n.callers != nil {
		n.callers.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
}

func (n *node) join(ring keyring.Keyring) error {
	config, err := ring.TLS(n.settings.VM.ID, n.incarnation)
	if err != nil {
		return err
	}
	n.dialer = &dialer.Dialer{TLS: config, Transport: n.links, Clock: n.recorder.Clock}
	n.acceptor = &acceptor.Acceptor{TLS: config, Clock: n.recorder.Clock}
	return nil
}

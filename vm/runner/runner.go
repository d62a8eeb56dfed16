// Package runner runs one entry VM: it connects its components, starts them, and shuts them down gracefully.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const (
	// drainMargin is added to listener.EntryTTL while draining, since other VMs list this one as an entry VM until they receive
	// the heartbeat that reports the drain.
	drainMargin = 3 * time.Second
	// shutdownTimeout bounds each wait for running requests after the VM has stopped accepting callers.
	shutdownTimeout = 2 * time.Minute
)

// Runner runs the process of one VM; its fields are the settings.
type Runner struct {
	// VM is this VM's id, availability zone, and addresses for callers and other VMs.
	VM fuchsiaspoke.VM
	// LinkListen is the address to bind for other VMs; empty means the VM's link address.
	LinkListen string
	// AdminAddress is the address of the administration API.
	AdminAddress string
	// PlatformURL is the base address of the platform's configuration service.
	PlatformURL string
	// FleetKey is the secret that all VMs of the fleet share, as 64 hexadecimal digits.
	FleetKey string
	// OnViolation, if set, is called when an invariant is violated, instead of counting the violation.
	OnViolation func(message string)
}

// Check returns an error for the first invalid setting, with its value, except for the fleet key, and what is allowed.
func (r *Runner) Check() error {
	if r.VM.ID == "" {
		return errors.New(`vm-id: "" is not allowed; give a name that no other VM has`)
	}
	if r.VM.Zone == "" {
		return errors.New(`availability-zone: "" is not allowed; give the name of the VM's availability zone`)
	}
	addresses := []struct{ name, value string }{
		{"caller-address", r.VM.CallerAddress},
		{"link-address", r.VM.LinkAddress},
		{"admin-address", r.AdminAddress},
	}
	if r.LinkListen != "" {
		addresses = append(addresses, struct{ name, value string }{"link-listen", r.LinkListen})
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return errors.Errorf("%s: %q is not allowed; give an IP address and a port, as in 127.0.0.1:8080", address.name, address.value)
		}
	}
	if err := checkURL(r.PlatformURL); err != nil {
		return err
	}
	if seed, err := hex.DecodeString(r.FleetKey); err != nil || len(seed) != fleetKeyBytes {
		return errors.New("fleet-key: the value is not allowed; give 64 hexadecimal digits, the same on all VMs")
	}
	return nil
}

// Run serves until the context is cancelled, then drains: it waits for running requests and hands over its leases.
//
// Draining cannot be cancelled; to stop at once, end the process.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.Check(); err != nil {
		return err
	}
	p, err := r.build()
	if err != nil {
		return err
	}
	defer p.close()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := p.start(runCtx)
	klog.InfoS("Started", "vm", r.VM.ID, "availability_zone", r.VM.Zone, "incarnation", p.incarnation)
	p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventStarted, Detail: "incarnation " + p.incarnation})
	var failure error
	select {
	case <-ctx.Done():
		p.drain(runCtx)
	case failure = <-tasks.failed:
		klog.ErrorS(failure, "Background task failed; stopping without draining", "vm", r.VM.ID)
	}
	stop()
	tasks.wait()
	return failure
}

func newIncarnation() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", errors.Wrap(err, "generate incarnation id")
	}
	return hex.EncodeToString(id[:]), nil
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on TCP %s", address)
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("platform-url: %q is not allowed; give an address as in http://127.0.0.1:8000", value)
	}
	return nil
}

// Package runner runs one entry VM: it joins all duties and stops them in order.
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
	// drainMargin is added to the time that callers keep an answer, for peers that hear of the drain late.
	drainMargin = 3 * time.Second
	// grace bounds the wait for running requests after callers have stopped coming.
	grace = 2 * time.Minute
)

// Runner is one VM's process; its fields are the process's settings.
type Runner struct {
	// VM is this VM as other VMs and callers reach it.
	VM fuchsiaspoke.VM
	// LinkListen is where the VM itself listens for other VMs; empty means the VM's link address.
	LinkListen string
	// AdminAddress is where operators reach the administration API.
	AdminAddress string
	// PlatformURL is the base address of the platform's configuration service.
	PlatformURL string
	// FleetKey is the secret that all VMs of the fleet share, as 64 hexadecimal digits.
	FleetKey string
	// Stop, if set, is told of a broken invariant instead of counting it.
	Stop func(message string)
}

// Check returns the first setting that is not allowed, with its value and what is allowed.
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
			return errors.Errorf("%s: %q is not allowed; give an IP number and a port, as in 127.0.0.1:8080", address.name, address.value)
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

// Run serves until the context ends, then shuts down gracefully: it cuts no request.
//
// A second cancellation is up to the caller, who may end the process.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.Check(); err != nil {
		return err
	}
	n, err := r.build()
	if err != nil {
		return err
	}
	defer n.close()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	duties := n.start(life)
	klog.InfoS("Started", "vm", r.VM.ID, "availability_zone", r.VM.Zone, "incarnation", n.incarnation)
	n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventStarted, Detail: "incarnation " + n.incarnation})
	var failure error
	select {
	case <-ctx.Done():
		n.drain(life)
	case failure = <-duties.failed:
		klog.ErrorS(failure, "A duty ended", "vm", r.VM.ID)
	}
	end()
	duties.wait()
	return failure
}

func newIncarnation() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", errors.Wrap(err, "name this process")
	}
	return hex.EncodeToString(id[:]), nil
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("platform-url: %q is not allowed; give an address as in http://127.0.0.1:8000", value)
	}
	return nil
}

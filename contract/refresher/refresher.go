// Package refresher takes over from other VMs what the platform publishes, where this VM lacks it.
package refresher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// pullTimeout bounds a pull from one VM.
const pullTimeout = 250 * time.Millisecond

type watcher interface {
	ObservePeer(s fuchsiaspoke.VMState) (fuchsiaspoke.PublicationQuery, bool)
	ObserveMissedRevision(revision fuchsiaspoke.Revision)
	ApplyRelay(c *fuchsiaspoke.Contract, r fuchsiaspoke.PublicationRelay, from string)
}

// Refresher pulls publications from VMs whose heartbeats name newer ones. Its fields must be set before the first call.
type Refresher struct {
	Watcher watcher
	// Pull asks another VM for what this one lacks.
	Pull func(ctx context.Context, vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery) (fuchsiaspoke.PublicationRelay, error)
	// Decode decodes a contract that another VM relays.
	Decode func(raw []byte) (*fuchsiaspoke.Contract, error)
	// Log writes an event with alternating keys and values.
	Log func(event string, keysAndValues ...any)

	pulling atomic.Bool
}

// Observe applies what a heartbeat says of the platform, and pulls its sender's state if that is newer and this VM is not about to read
// it from the platform itself. It does not wait for the pull.
func (r *Refresher) Observe(s fuchsiaspoke.VMState) {
	query, needed := r.Watcher.ObservePeer(s)
	if !needed || !r.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.pulling.Store(false)
		if r.pull(s.VM, query) != nil {
			r.Watcher.ObserveMissedRevision(s.Revision)
		}
	}()
}

// pull takes over what another VM has. The error is that of the call.
func (r *Refresher) pull(vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	relay, err := r.Pull(ctx, vm, query)
	if err != nil {
		r.Log("pull of what is published failed", "peer", vm.ID, "revision", query.Revision.String(), "error", err.Error())
		return errors.Wrapf(err, "pull from %s", vm.ID)
	}
	var newest *fuchsiaspoke.Contract
	if len(relay.ContractRaw) > 0 {
		if newest, err = r.Decode(relay.ContractRaw); err != nil {
			r.Log("contract from peer could not be decoded", "peer", vm.ID, "error", err.Error())
			return nil
		}
	}
	r.Watcher.ApplyRelay(newest, relay, vm.ID)
	return nil
}

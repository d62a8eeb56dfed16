// Package refresher takes over from other VMs what the platform publishes, where this VM lacks it.
package refresher

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// pullTimeout bounds a pull from one VM.
	pullTimeout = 250 * time.Millisecond
	// maxPulls bounds the pulls under way, as all hubs may name the same news.
	maxPulls = 4
)

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

	mu sync.Mutex
	// pulling holds the ids of the VMs from which a pull is under way.
	pulling map[string]bool
}

// Observe applies what a heartbeat says of the platform, and pulls its sender's state if that is newer and this VM is not about to read
// it from the platform itself. It does not wait for the pull. One pull from each VM is under way, so that one that does not answer keeps
// no other back.
func (r *Refresher) Observe(s fuchsiaspoke.VMState) {
	query, needed := r.Watcher.ObservePeer(s)
	if !needed || !r.begin(s.VM.ID) {
		return
	}
	go func() {
		defer r.end(s.VM.ID)
		if r.pull(s.VM, query) != nil {
			r.Watcher.ObserveMissedRevision(s.Revision)
		}
	}()
}

// begin reports whether a pull from the VM may begin, and records that one is under way.
func (r *Refresher) begin(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pulling[vm] || len(r.pulling) == maxPulls {
		return false
	}
	if r.pulling == nil {
		r.pulling = make(map[string]bool)
	}
	r.pulling[vm] = true
	return true
}

func (r *Refresher) end(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pulling, vm)
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

// Package refresher takes over from other VMs what the platform publishes, where this VM lacks it.
package refresher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/pkg/errors"
)

const (
	// pullTimeout bounds a pull from one VM.
	pullTimeout = 250 * time.Millisecond
	// maxPulls bounds the pulls under way, as all hubs may name the same news.
	maxPulls = 4
	// tickInterval is how often Run looks whether news is overdue.
	tickInterval = 50 * time.Millisecond
	// askInterval is the time between two VMs that are asked once news is overdue. It grows by an askGrowth-th of the time for which it
	// has been, up to maxAskInterval, as an outage of the platform may last.
	askInterval    = 100 * time.Millisecond
	askGrowth      = 8
	maxAskInterval = 2 * time.Second
)

type watcher interface {
	ObservePeer(s fuchsiaspoke.VMState) (fuchsiaspoke.PublicationQuery, bool)
	ObserveMissedRevision(revision fuchsiaspoke.Revision)
	ApplyRelay(c *fuchsiaspoke.Contract, r fuchsiaspoke.PublicationRelay, from string)
	ConfirmRevision(revision fuchsiaspoke.Revision, reading fuchsiaspoke.Reading)
	Overdue() (fuchsiaspoke.PublicationQuery, time.Duration)
}

// Refresher pulls publications from VMs whose heartbeats name newer ones, and from any VM while news is overdue. Its fields must be set
// before the first call.
type Refresher struct {
	Watcher watcher
	// Pull asks another VM for what this one lacks.
	Pull func(ctx context.Context, vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery) (fuchsiaspoke.PublicationRelay, error)
	// Decode decodes a contract that another VM relays.
	Decode func(raw []byte) (*fuchsiaspoke.Contract, error)
	// Peers returns the VMs that may be asked while news is overdue.
	Peers func() []fuchsiaspoke.VM
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// Log writes an event with alternating keys and values, and Count counts one by its name.
	Log   func(event string, keysAndValues ...any)
	Count func(event string)

	mu sync.Mutex
	// pulling holds the ids of the VMs from which a pull is under way.
	pulling map[string]bool
}

// Run asks other VMs in a goroutine while news is overdue, such as where the platform does not answer this VM and the VMs whose heartbeats it
// receives have ended. When the context ends, its error is sent on the returned channel.
func (r *Refresher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.askLoop(ctx) }()
	return done
}

func (r *Refresher) askLoop(ctx context.Context) error {
	var nextAsk time.Duration
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, tickInterval)
		query, overdue := r.Watcher.Overdue()
		if overdue <= 0 || r.Clock() < nextAsk {
			continue
		}
		nextAsk = r.Clock() + min(max(overdue/askGrowth, askInterval), maxAskInterval)
		r.askOne(query, overdue)
	}
	return ctx.Err()
}

// askOne pulls from one of the VMs, drawn at random. It does not wait for the pull.
func (r *Refresher) askOne(query fuchsiaspoke.PublicationQuery, overdue time.Duration) {
	peers := r.Peers()
	if len(peers) == 0 {
		return
	}
	vm := peers[rand.IntN(len(peers))]
	if !r.begin(vm.ID) {
		return
	}
	r.Count("overdue_publications_pulled")
	r.Log("news of the platform overdue", "peer", vm.ID, "revision", query.Revision.String(), "contract", query.ContractVersion,
		"overdue_ms", overdue.Milliseconds())
	go func() {
		defer r.end(vm.ID)
		_ = r.pull(vm, query)
	}()
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
	started := r.Clock()
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
	if relay.Reading != nil {
		r.Watcher.ConfirmRevision(relay.Revision, relay.Reading.WithAge(relay.Reading.Age()+r.Clock()-started))
	}
	return nil
}

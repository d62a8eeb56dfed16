package runner

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/listener"
	"k8s.io/klog/v2"
)

const (
	// balanceInterval is how often a VM looks for leases that another should hold.
	balanceInterval = time.Second
	// quietInterval is how often a draining VM looks whether its work has ended.
	quietInterval = 50 * time.Millisecond
)

func (n *node) start(ctx context.Context) *duties {
	d := newDuties()
	d.start(ctx, "link", func(ctx context.Context) error { return n.acceptor.Serve(ctx, n.links) })
	d.start(ctx, "relay", n.relayer.Run)
	d.start(ctx, "gossip", n.gossiper.Run)
	d.start(ctx, "lease", n.holder.Run)
	d.start(ctx, "upstreams", n.manager.Run)
	d.start(ctx, "balance", n.balance)
	d.start(ctx, "administration", func(ctx context.Context) error { return n.reporter.Serve(ctx, n.admin) })
	callers, end := context.WithCancel(ctx)
	n.endCallers = end
	d.wg.Go(func() {
		err := n.listener.Serve(callers, n.callers, grace)
		if callers.Err() == nil && err != nil {
			d.failed <- err
		}
		n.callersEnd <- err
	})
	return d
}

// balance hands over leases that another VM should hold, one at a time.
func (n *node) balance(ctx context.Context) error {
	ticker := time.NewTicker(balanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		n.observePeers()
		if !n.ready() || n.draining.Load() {
			continue
		}
		if surplus := n.surplus(); len(surplus) > 0 {
			n.handOver(ctx, surplus[0])
		}
	}
}

func (n *node) surplus() []string {
	return n.assigner().Surplus(n.resources(), n.gossiper.Live(), func(resource string) bool {
		_, ok := n.holder.Held(resource)
		return ok
	})
}

// handOver ends what runs under the lease in order, then gives the lease back.
func (n *node) handOver(ctx context.Context, resource string) {
	n.manager.Drain(ctx, resource)
	n.granter.HandOver(resource)
	n.holder.Release(ctx, resource)
}

// handOverAll hands leases over side by side, so that a long answer of one engine holds no other lease.
func (n *node) handOverAll(ctx context.Context, resources []string) {
	var wg sync.WaitGroup
	for _, resource := range resources {
		wg.Go(func() { n.handOver(ctx, resource) })
	}
	wg.Wait()
}

// drain is the graceful shutdown: callers stop coming, work ends, leases move, and only then the process may end.
func (n *node) drain(ctx context.Context) {
	klog.InfoS("Draining", "vm", n.settings.VM.ID)
	n.draining.Store(true)
	n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDraining})
	n.gossiper.Wake()
	kept := time.After(listener.KeepAnswer + drainMargin)
	n.handOverAll(ctx, n.surplus())
	<-kept
	n.endCallers()
	if err := <-n.callersEnd; err != nil {
		klog.ErrorS(err, "Callers were still served when the grace time ended", "vm", n.settings.VM.ID)
	}
	n.awaitQuiet()
	n.handOverAll(ctx, n.holder.Holds())
	n.dialer.Close()
}

// awaitQuiet waits until calls that other VMs passed here have ended.
func (n *node) awaitQuiet() {
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) {
		if n.executor.Running() == 0 && n.admitter.Running() == 0 && n.manager.Running() == 0 {
			return
		}
		time.Sleep(quietInterval)
	}
}

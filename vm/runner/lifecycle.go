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
	// rebalanceInterval is how often a VM checks for leases that another VM should hold.
	rebalanceInterval = time.Second
	// drainPollInterval is how often a draining VM checks whether its running work has ended.
	drainPollInterval = 50 * time.Millisecond
)

// start starts the background tasks and the listener for callers.
func (p *process) start(ctx context.Context) *taskGroup {
	tasks := newTaskGroup()
	tasks.start(ctx, "link", func(ctx context.Context) error { return p.acceptor.Serve(ctx, p.linkTransport) })
	tasks.start(ctx, "relay", p.relayer.Run)
	tasks.start(ctx, "gossip", p.gossiper.Run)
	tasks.start(ctx, "lease", p.holder.Run)
	tasks.start(ctx, "upstreams", p.manager.Run)
	tasks.start(ctx, "balance", p.rebalanceLeases)
	tasks.start(ctx, "administration", func(ctx context.Context) error { return p.reporter.Serve(ctx, p.adminListener) })
	callersCtx, stop := context.WithCancel(ctx)
	p.stopListener = stop
	tasks.wg.Go(func() {
		err := p.listener.Serve(callersCtx, p.callerListener, shutdownTimeout)
		if callersCtx.Err() == nil && err != nil {
			tasks.failed <- err
		}
		p.listenerDone <- err
	})
	return tasks
}

// rebalanceLeases hands over leases that another VM should hold, one per interval, and records changes of the live VMs.
func (p *process) rebalanceLeases(ctx context.Context) error {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		p.observePeers()
		if !p.ready() || p.draining.Load() {
			continue
		}
		if surplus := p.surplusLeases(); len(surplus) > 0 {
			p.handOverLease(ctx, surplus[0])
		}
	}
}

// surplusLeases returns the leases of this VM that other live VMs should hold instead.
func (p *process) surplusLeases() []string {
	return p.assigner().Surplus(p.leasedResources(), p.gossiper.Live(), func(resource string) bool {
		_, ok := p.holder.Held(resource)
		return ok
	})
}

// handOverLease drains the work under a lease and releases the lease. For a client account, it first closes the token bucket and
// sends its level to the other VMs.
func (p *process) handOverLease(ctx context.Context, resource string) {
	p.manager.Drain(ctx, resource)
	p.tokenServer.HandOver(resource)
	p.holder.Release(ctx, resource)
}

// handOverLeases hands leases over concurrently, so that a long response of one engine does not delay the other leases.
func (p *process) handOverLeases(ctx context.Context, resources []string) {
	var wg sync.WaitGroup
	for _, resource := range resources {
		wg.Go(func() { p.handOverLease(ctx, resource) })
	}
	wg.Wait()
}

// drain is the graceful shutdown: it waits until no caller's list of entry VMs has this VM, waits for running work, and hands
// over all leases.
func (p *process) drain(ctx context.Context) {
	klog.InfoS("Draining", "vm", p.settings.VM.ID)
	p.draining.Store(true)
	p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDraining})
	p.gossiper.SendNow()
	entriesExpired := time.After(listener.EntryTTL + drainMargin)
	p.handOverLeases(ctx, p.surplusLeases())
	<-entriesExpired
	p.stopListener()
	if err := <-p.listenerDone; err != nil {
		klog.ErrorS(err, "Listener for callers did not shut down gracefully", "vm", p.settings.VM.ID)
	}
	p.awaitRunningWork()
	p.handOverLeases(ctx, p.holder.HeldResources())
	p.dialer.Close()
}

// awaitRunningWork waits up to shutdownTimeout for all running requests, including those received from other VMs.
func (p *process) awaitRunningWork() {
	deadline := time.Now().Add(shutdownTimeout)
	for time.Now().Before(deadline) {
		if p.executor.Running() == 0 && p.admitter.Running() == 0 && p.manager.Running() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

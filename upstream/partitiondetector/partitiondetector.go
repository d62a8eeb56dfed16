// Package partitiondetector finds out whether this VM is partitioned from all replicas, while callers and other VMs may still reach it.
package partitiondetector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
)

const (
	// tickInterval is how often the detector looks whether a probe is due.
	tickInterval = 50 * time.Millisecond
	// silenceLimit is the time without anything from any replica, while something is expected, after which a probe is due.
	silenceLimit = 400 * time.Millisecond
	// probeInterval is the least time between the starts of two probes of a VM that is not partitioned, as each opens connections, and
	// recheckInterval that of one that is.
	probeInterval   = time.Second
	recheckInterval = 200 * time.Millisecond
	// firstTimeout bounds the first connection of a probe, and moreTimeout the further ones; on a network that works one takes milliseconds.
	firstTimeout = 200 * time.Millisecond
	moreTimeout  = 300 * time.Millisecond
	// moreReplicas is the number of further replicas that must fail as well.
	moreReplicas = 7
	// otherReplicas is the number of replicas of which one must be reached for the failure of another one to be its own.
	otherReplicas = 3
	// minReplicas is the number of replicas below which their failure can't be told from that of this VM's links.
	minReplicas = 2
	// confirmations is the number of replicas, of those that are tried, that must be reached for the end of a partition.
	confirmations = 2
)

// PartitionDetector learns from the connections to replicas whether any replica is reached, and opens connections of its own where that is in
// doubt. A VM counts as partitioned if new connections to several replicas fail and none succeeds; connections that were opened before may
// live on. Its exported fields must be set before the first call.
type PartitionDetector struct {
	// Replicas returns the replicas that may be connected to.
	Replicas func() []fuchsiaspoke.Replica
	// Connect opens a connection to an address and closes it.
	Connect func(ctx context.Context, address string) error
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// Log writes an event with alternating keys and values, and Count counts one by its name.
	Log   func(event string, keysAndValues ...any)
	Count func(event string)
	// OnEnd is called when a partition ends; nil is not.
	OnEnd func()

	// expectedSince is the time since which something is expected and nothing was received, in nanoseconds; 0 is none.
	expectedSince atomic.Int64
	// probeWanted means that a connection could not be opened.
	probeWanted atomic.Bool
	partitioned atomic.Bool
	// since is when the partition was found; only Run accesses it.
	since time.Duration
}

// Partitioned reports whether this VM is partitioned from all replicas.
func (d *PartitionDetector) Partitioned() bool { return d.partitioned.Load() }

// ReachesOther reports whether one of some replicas at other addresses is reached now, or whether there are none that could tell.
func (d *PartitionDetector) ReachesOther(ctx context.Context, address string) bool {
	others := slices.DeleteFunc(d.shuffledReplicas(), func(r fuchsiaspoke.Replica) bool { return r.Address == address })
	if len(others) == 0 {
		return true
	}
	return !d.Partitioned() && d.connect(ctx, firstTimeout, others[:min(otherReplicas, len(others))]) > 0
}

// Expect records that a response or a connection is being waited for.
func (d *PartitionDetector) Expect() { d.expectedSince.CompareAndSwap(0, int64(max(d.Clock(), 1))) }

// Reached records that something was received from a replica, or that a connection to one was opened.
func (d *PartitionDetector) Reached() { d.expectedSince.Store(0) }

// Unconnected records that a connection to a replica could not be opened.
func (d *PartitionDetector) Unconnected() { d.probeWanted.Store(true) }

// Run starts the detector in a goroutine. When the context ends, its error is sent on the returned channel.
func (d *PartitionDetector) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- d.loop(ctx) }()
	return done
}

func (d *PartitionDetector) loop(ctx context.Context) error {
	var nextProbe time.Duration
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, tickInterval)
		now := d.Clock()
		if now < nextProbe || !d.probeDue(now) {
			continue
		}
		d.probeWanted.Store(false)
		if d.Partitioned() {
			nextProbe = now + recheckInterval
			d.recheck(ctx)
			continue
		}
		nextProbe = now + probeInterval
		d.probe(ctx)
	}
	return ctx.Err()
}

// probeDue reports whether it is in doubt that a replica is reached.
func (d *PartitionDetector) probeDue(now time.Duration) bool {
	if d.Partitioned() || d.probeWanted.Load() {
		return true
	}
	since := time.Duration(d.expectedSince.Load())
	return since > 0 && now-since > silenceLimit
}

// probe connects to one replica and, if that fails, to several others at once. If all fail, this VM is partitioned.
func (d *PartitionDetector) probe(ctx context.Context) {
	replicas := d.shuffledReplicas()
	if len(replicas) < minReplicas {
		return
	}
	d.Count("replica_reach_probed")
	more := replicas[1:min(1+moreReplicas, len(replicas))]
	if d.connect(ctx, firstTimeout, replicas[:1]) > 0 || d.connect(ctx, moreTimeout, more) > 0 {
		d.Reached()
		return
	}
	if ctx.Err() != nil {
		return
	}
	d.since = d.Clock()
	d.partitioned.Store(true)
	d.Count("partitioned_from_replicas")
	d.Log("partitioned from all replicas", "tried", len(more)+1, "replicas", len(replicas),
		"silent_ms", (d.since - time.Duration(d.expectedSince.Load())).Milliseconds())
}

// recheck ends the partition if several of the replicas that it tries are reached, or all of fewer.
func (d *PartitionDetector) recheck(ctx context.Context) {
	replicas := d.shuffledReplicas()
	if len(replicas) == 0 {
		return
	}
	wanted := min(confirmations, len(replicas))
	tried := replicas[:wanted]
	if d.connect(ctx, firstTimeout, tried) < wanted {
		return
	}
	d.Reached()
	d.partitioned.Store(false)
	d.Log("replicas are reached again", "after_ms", (d.Clock() - d.since).Milliseconds())
	if d.OnEnd != nil {
		d.OnEnd()
	}
}

func (d *PartitionDetector) shuffledReplicas() []fuchsiaspoke.Replica {
	replicas := d.Replicas()
	rand.Shuffle(len(replicas), func(a, b int) { replicas[a], replicas[b] = replicas[b], replicas[a] })
	return replicas
}

// connect connects to the replicas at once, and returns how many it reached within the timeout.
func (d *PartitionDetector) connect(ctx context.Context, timeout time.Duration, replicas []fuchsiaspoke.Replica) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reached atomic.Int32
	var wg sync.WaitGroup
	for _, r := range replicas {
		wg.Go(func() {
			if d.Connect(ctx, r.Address) == nil {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	return int(reached.Load())
}

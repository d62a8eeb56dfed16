package partitiondetector_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/partitiondetector"
)

// foundLimit is the time in which a partition must be found, so that callers have moved on within the users' 3 s.
const foundLimit = 1500 * time.Millisecond

// replicas are stand-ins for the links to replicas.
type replicas struct {
	count int
	// silent and refused are the numbers of those, the first ones, that don't answer and that refuse.
	silent, refused atomic.Int32
	connects        atomic.Int32
}

func (r *replicas) all() []fuchsiaspoke.Replica {
	var out []fuchsiaspoke.Replica
	for n := range r.count {
		out = append(out, fuchsiaspoke.Replica{ID: fmt.Sprint(n), Address: fmt.Sprint(n)})
	}
	return out
}

func (r *replicas) connect(ctx context.Context, address string) error {
	var n int32
	_, _ = fmt.Sscan(address, &n)
	r.connects.Add(1)
	switch {
	case n < r.silent.Load():
		<-ctx.Done()
		return ctx.Err()
	case n < r.refused.Load():
		return errors.New("refused")
	}
	time.Sleep(time.Millisecond)
	return nil
}

func play(t *testing.T, r *replicas, run func(t *testing.T, d *partitiondetector.PartitionDetector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		d := &partitiondetector.PartitionDetector{
			Replicas: r.all, Connect: r.connect, Clock: func() time.Duration { return time.Since(started) },
			Log: func(string, ...any) {}, Count: func(string) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := d.Run(ctx)
		run(t, d)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

func TestPartitionIsFoundWhileLinksAreSilent(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		r.silent.Store(15)
		d.Expect()
		time.Sleep(foundLimit)
		if !d.Partitioned() {
			t.Errorf("not found %v after the first request without an answer", foundLimit)
		}
	})
}

// Connections that were opened before live on, so that responses are received.
func TestPartitionIsFoundWhereOnlyNewConnectionsAreRefused(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		r.refused.Store(15)
		for range 10 {
			d.Expect()
			d.Reached()
			time.Sleep(20 * time.Millisecond)
		}
		d.Unconnected()
		time.Sleep(foundLimit)
		if !d.Partitioned() {
			t.Errorf("not found %v after the first connection that was refused", foundLimit)
		}
	})
}

// All replicas of one service are down, and one of the other service is left.
func TestReplicasThatFailAreNoPartitionWhileOneIsReached(t *testing.T) {
	for _, count := range []int{2, 5, 8} {
		r := &replicas{count: count}
		play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
			r.refused.Store(int32(count) - 1)
			for range 100 {
				d.Expect()
				d.Unconnected()
				time.Sleep(100 * time.Millisecond)
				if d.Partitioned() {
					t.Fatalf("%d replicas: taken for partitioned, though one is reached", count)
				}
			}
		})
	}
}

// The users' words: a sound replica may fall silent for a second and go on.
func TestSilentReplicaIsNoPartition(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		r.silent.Store(1)
		d.Expect()
		time.Sleep(time.Second)
		if d.Partitioned() {
			t.Error("taken for partitioned, though one of 15 replicas is silent")
		}
		d.Reached()
	})
}

func TestEndOfPartitionIsFound(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		var ended atomic.Bool
		d.OnEnd = func() { ended.Store(true) }
		r.refused.Store(15)
		d.Unconnected()
		time.Sleep(foundLimit)
		r.refused.Store(0)
		time.Sleep(500 * time.Millisecond)
		if d.Partitioned() || !ended.Load() {
			t.Errorf("partitioned %t, told of the end %t half a second after the links worked again", d.Partitioned(), ended.Load())
		}
	})
}

// A caller has left before its response came, and nothing else is sent.
func TestResponseThatNobodyWaitsForIsProbedForOnce(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		d.Expect()
		time.Sleep(10 * time.Second)
		if n := r.connects.Load(); n != 1 {
			t.Errorf("%d connections were opened in 10 s, want 1", n)
		}
	})
}

func TestQuietVMOpensNoConnections(t *testing.T) {
	r := &replicas{count: 15}
	play(t, r, func(t *testing.T, d *partitiondetector.PartitionDetector) {
		for range 200 {
			d.Expect()
			time.Sleep(50 * time.Millisecond)
			d.Reached()
		}
		time.Sleep(10 * time.Second)
		if n := r.connects.Load(); n != 0 {
			t.Errorf("%d connections were opened, though all replicas answer", n)
		}
	})
}

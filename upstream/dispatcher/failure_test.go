package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// TestTakeoverKeepsUsedAdaptersAndBatchBound lets a second VM take over an engine that ignores fencing tokens while streams
// of the first VM use every slot. The second VM must neither evict their adapters nor exceed the batch size. With running
// requests hidden from reports both must fail, which shows that the test detects a takeover that ignores them.
func TestTakeoverKeepsUsedAdaptersAndBatchBound(t *testing.T) {
	for _, hideRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("running requests hidden: ", hideRunning), func(t *testing.T) {
			e := newEngine(3, 4)
			e.tokenTime = 5 * time.Millisecond
			first := startDispatcher(t, e, 1)
			var firstRequests []fuchsiaspoke.Generation
			var firstResponses []*response
			for i := range 3 {
				firstRequests = append(firstRequests, request(fmt.Sprint("old-", i), "a", i, 200))
				firstResponses = append(firstResponses, first.submitAsync(firstRequests[i]))
			}
			eventually(t, "streams of the first VM run", func() bool {
				return firstResponses[0].chunks.Load() > 0 && firstResponses[1].chunks.Load() > 0 && firstResponses[2].chunks.Load() > 0
			})
			first.lease.expire()
			second := startDispatcher(t, e, 2, func(f *fixture) {
				if hideRunning {
					f.Engine = hidingEngine{e}
				}
			})
			for i := range 8 {
				g := request(fmt.Sprint("same-", i), "a", 0, 20)
				defer second.submitAsync(g).expectComplete(t, g)
			}
			g := request("new", "b", 9, 5)
			second.submitAsync(g).expectComplete(t, g)
			violations, _, peak := e.observed()
			for i, a := range firstResponses {
				a.expectComplete(t, firstRequests[i])
			}
			if !hideRunning {
				expectNoViolations(t, e)
				return
			}
			t.Logf("running requests hidden: violations %v, peak batch %d of %d", violations, peak, e.batch)
			if len(violations) == 0 || peak <= e.batch {
				t.Error("the test does not detect a takeover that ignores running requests")
			}
		})
	}
}

// TestTwoActiveLeaseHoldersCauseNoViolations lets two VMs dispatch concurrently to one engine that checks fencing tokens, as
// happens when the lease's clock assumptions fail.
func TestTwoActiveLeaseHoldersCauseNoViolations(t *testing.T) {
	e := newEngine(3, 64)
	e.checksFence = true
	first, second := startDispatcher(t, e, 1), startDispatcher(t, e, 2)
	for i := range 30 {
		g := request(fmt.Sprint("first-", i), "a", i%5, 10)
		h := request(fmt.Sprint("second-", i), "b", i%7, 10)
		h.MaxWait = 2 * time.Second
		g.MaxWait = 50 * time.Millisecond
		a, b := first.submitAsync(g), second.submitAsync(h)
		<-a.done
		if a.err != nil && asRefusal(t, a.err).Run == fuchsiaspoke.NotRun && a.chunks.Load() > 0 {
			t.Error("refused as not run after the first chunk")
		}
		b.expectComplete(t, h)
	}
	violations, loads, _ := e.observed()
	t.Logf("%d loads, %d violations", loads, len(violations))
	expectNoViolations(t, e)
}

// TestLateRequestAfterTakeoverKeepsItsAdapter sends a request of the earlier holder to the engine after the takeover, as a VM
// does that was suspended beyond its lease. The engine ignores fencing tokens; the request's adapter must not be evicted.
func TestLateRequestAfterTakeoverKeepsItsAdapter(t *testing.T) {
	e := newEngine(1, 4)
	e.tokenTime = 5 * time.Millisecond
	f := startDispatcher(t, e, 2)
	g := request("before", "a", 0, 1)
	f.submitAsync(g).expectComplete(t, g)
	time.Sleep(600 * time.Millisecond)
	lateResult := make(chan error)
	firstChunk := make(chan struct{}, 100)
	go func() {
		lateResult <- e.Generate(context.Background(), request("late", "a", 0, 100), func(fuchsiaspoke.Chunk) error {
			firstChunk <- struct{}{}
			return nil
		})
	}()
	<-firstChunk
	g = request("after", "b", 9, 5)
	f.submitAsync(g).expectComplete(t, g)
	if err := <-lateResult; err != nil {
		t.Error(err)
	}
	expectNoViolations(t, e)
}

// TestFailingLoadRefusesOnlyItsOwnRequests checks that requests for an adapter that cannot be loaded are refused and do not
// delay requests for other adapters.
func TestFailingLoadRefusesOnlyItsOwnRequests(t *testing.T) {
	e := newEngine(2, 4)
	bad := request("", "", 0, 0).Adapter
	e.failLoad = func(a fuchsiaspoke.Adapter) bool { return a == bad }
	f := startDispatcher(t, e, 1)
	failing := f.submitAsync(request("bad", "a", 0, 5))
	for i := range 4 {
		g := request(fmt.Sprint("good-", i), "a", 1+i, 5)
		f.submitAsync(g).expectComplete(t, g)
	}
	select {
	case <-failing.done:
		t.Error("requests for other adapters waited for the failing load")
	default:
	}
	failing.expectRefusal(t, fuchsiaspoke.CodeAdapterLoadFailed, fuchsiaspoke.NotRun)
	if r := asRefusal(t, failing.err); r.RetryAfter <= 0 {
		t.Error("refusal has no RetryAfter")
	}
}

// TestEngineRestartCausesNoResendOfPossiblyRunRequests checks that requests that may have run before an engine restart are
// not sent again, since their tokens were reserved for one run.
func TestEngineRestartCausesNoResendOfPossiblyRunRequests(t *testing.T) {
	e := newEngine(2, 4)
	e.tokenTime = 40 * time.Millisecond
	f := startDispatcher(t, e, 1)
	streaming := f.submitAsync(request("streaming", "a", 0, 20))
	eventually(t, "first chunk", func() bool { return streaming.chunks.Load() > 0 })
	withoutChunk := f.submitAsync(request("no-chunk", "a", 0, 3))
	eventually(t, "second request sent", func() bool { return e.sendCount("no-chunk") == 1 })
	e.restart()
	streaming.expectRefusal(t, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.Ran)
	withoutChunk.expectRefusal(t, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.RunUnknown)
	for _, id := range []string{"streaming", "no-chunk"} {
		if n := e.sendCount(id); n != 1 {
			t.Errorf("%s sent %d times under one token reservation", id, n)
		}
	}
	expectNoViolations(t, e)
}

// TestLostLeaseRefusesQueueAndLetsStreamsFinish checks that a lost lease refuses queued requests at once, sends nothing
// more, and does not interrupt running streams.
func TestLostLeaseRefusesQueueAndLetsStreamsFinish(t *testing.T) {
	e := newEngine(1, 1)
	e.tokenTime = 5 * time.Millisecond
	f := startDispatcher(t, e, 1)
	g := request("running", "a", 0, 60)
	running := f.submitAsync(g)
	eventually(t, "stream runs", func() bool { return running.chunks.Load() > 0 })
	queued := f.submitAsync(request("queued", "a", 0, 5))
	eventually(t, "request waits", func() bool { tokens, _, _ := f.Stats(); return tokens > 0 })
	f.lease.expire()
	queued.expectRefusal(t, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	f.submitAsync(request("late", "a", 0, 5)).expectRefusal(t, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	if n := running.chunks.Load(); n == g.MaxOutputTokens {
		t.Error("the queued request was refused only after the running stream ended")
	}
	running.expectComplete(t, g)
	if e.sendCount("queued")+e.sendCount("late") > 0 {
		t.Error("request sent after the lease was lost")
	}
}

// TestLeaseExpiryDuringSuspensionPreventsSend simulates a suspension longer than the lease between Check and the send.
func TestLeaseExpiryDuringSuspensionPreventsSend(t *testing.T) {
	e := newEngine(1, 4)
	f := startDispatcher(t, e, 1, func(f *fixture) {
		f.lease.until.Store(int64(time.Minute))
		f.Check = func(g fuchsiaspoke.Generation) error {
			if g.RequestID == "paused" {
				f.lease.clockOffset.Add(int64(time.Hour))
			}
			return nil
		}
	})
	g := request("before", "a", 0, 5)
	f.submitAsync(g).expectComplete(t, g)
	g = request("paused", "a", 0, 5)
	g.MaxWait = 2 * time.Hour
	f.submitAsync(g).expectRefusal(t, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	if n := e.sendCount("paused"); n > 0 {
		t.Errorf("request sent %d times after the lease expired", n)
	}
}

// TestFailedCheckOrDeadlinePreventsSend checks that a request is not sent if Check refuses it or its deadline passes during
// Check.
func TestFailedCheckOrDeadlinePreventsSend(t *testing.T) {
	e := newEngine(1, 4)
	versionChanged := &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeProfileVersionMoved, Run: fuchsiaspoke.RunUnknown}
	f := startDispatcher(t, e, 1, func(f *fixture) {
		f.Check = func(g fuchsiaspoke.Generation) error {
			switch g.RequestID {
			case "version-changed":
				return errors.Wrap(versionChanged, "check")
			case "slow":
				f.lease.clockOffset.Add(int64(time.Hour))
			}
			return nil
		}
	})
	f.lease.until.Store(int64(1000 * time.Hour))
	f.submitAsync(request("version-changed", "a", 0, 5)).expectRefusal(t, fuchsiaspoke.CodeProfileVersionMoved, fuchsiaspoke.NotRun)
	f.submitAsync(request("slow", "a", 0, 5)).expectRefusal(t, fuchsiaspoke.CodeDeadline, fuchsiaspoke.NotRun)
	if e.sendCount("version-changed")+e.sendCount("slow") > 0 {
		t.Error("request sent although Check failed or the deadline had passed")
	}
}

// TestWithdrawnKeyRefusesQueueAndCancelsStreamAfterGrace checks that a withdrawn key's queued request is refused at once, its
// stream is canceled after the grace period, and other keys' requests are unaffected.
func TestWithdrawnKeyRefusesQueueAndCancelsStreamAfterGrace(t *testing.T) {
	e := newEngine(1, 1)
	e.tokenTime = 5 * time.Millisecond
	f := startDispatcher(t, e, 1)
	g := request("running", "a", 0, 100_000)
	g.KeyHash = "withdrawn"
	running := f.submitAsync(g)
	eventually(t, "stream runs", func() bool { return running.chunks.Load() > 0 })
	g.RequestID = "queued"
	queued := f.submitAsync(g)
	other := request("other", "b", 0, 5)
	unaffected := f.submitAsync(other)
	eventually(t, "both requests are queued", func() bool { tokens, _, _ := f.Stats(); return tokens > g.CostTokens() })
	f.WithdrawKey("withdrawn")
	queued.expectRefusal(t, fuchsiaspoke.CodeKeyWithdrawn, fuchsiaspoke.NotRun)
	f.lease.clockOffset.Add(int64(2500 * time.Millisecond))
	running.expectRefusal(t, fuchsiaspoke.CodeKeyWithdrawn, fuchsiaspoke.Ran)
	unaffected.expectComplete(t, other)
}

// TestStalledStreamIsEndedAndNotResent checks that a stream without chunks is ended after the stall timeout and not sent
// again, and that requests beyond MaxQueued are refused meanwhile.
func TestStalledStreamIsEndedAndNotResent(t *testing.T) {
	e := newEngine(1, 1)
	var stalled atomic.Bool
	e.stalls = func(id string) bool { return id == "stalled" && stalled.CompareAndSwap(false, true) }
	f := startDispatcher(t, e, 1, func(f *fixture) {
		f.StallTimeout = 300 * time.Millisecond
		f.MaxQueued = 1
	})
	g, base := request("stalled", "a", 0, 5), request("base", "b", 0, 5)
	base.Adapter = fuchsiaspoke.Adapter{}
	stalling := f.submitAsync(g)
	eventually(t, "stream stalls", stalled.Load)
	queued := f.submitAsync(base)
	eventually(t, "request waits", func() bool { tokens, _, _ := f.Stats(); return tokens > 0 })
	f.submitAsync(request("third", "b", 0, 5)).expectRefusal(t, fuchsiaspoke.CodeOverloaded, fuchsiaspoke.NotRun)
	stalling.expectRefusal(t, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.RunUnknown)
	queued.expectComplete(t, base)
	if n := e.sendCount("stalled"); n != 1 {
		t.Errorf("request sent %d times under one token reservation", n)
	}
}

// TestQueuedAdapterLoadsWhileBatchIsFull checks that a queued request's adapter is loaded before the batch has a free place.
func TestQueuedAdapterLoadsWhileBatchIsFull(t *testing.T) {
	e := newEngine(2, 1)
	e.tokenTime = 5 * time.Millisecond
	f := startDispatcher(t, e, 1)
	g, next := request("running", "a", 0, 100), request("next", "a", 5, 5)
	running := f.submitAsync(g)
	eventually(t, "stream runs", func() bool { return running.chunks.Load() > 0 })
	queued := f.submitAsync(next)
	eventually(t, "adapter is resident", func() bool { _, _, ready := f.Stats(); return slices.Contains(ready, next.Adapter) })
	if n := e.sendCount("next"); n > 0 || running.chunks.Load() == g.MaxOutputTokens {
		t.Error("the load waited for a free place in the batch")
	}
	running.expectComplete(t, g)
	queued.expectComplete(t, next)
}

// TestDrainRefusesQueueAndLetsStreamsFinish checks that a draining dispatcher refuses new and queued requests and completes
// running streams.
func TestDrainRefusesQueueAndLetsStreamsFinish(t *testing.T) {
	e := newEngine(1, 1)
	e.tokenTime = 2 * time.Millisecond
	f := startDispatcher(t, e, 1)
	g := request("running", "a", 0, 50)
	running := f.submitAsync(g)
	eventually(t, "stream runs", func() bool { return running.chunks.Load() > 0 })
	queued := f.submitAsync(request("queued", "a", 0, 5))
	eventually(t, "request waits", func() bool { tokens, _, _ := f.Stats(); return tokens > 0 })
	f.Drain()
	queued.expectRefusal(t, fuchsiaspoke.CodeDraining, fuchsiaspoke.NotRun)
	f.submitAsync(request("late", "a", 0, 5)).expectRefusal(t, fuchsiaspoke.CodeDraining, fuchsiaspoke.NotRun)
	running.expectComplete(t, g)
	eventually(t, "nothing runs", func() bool { _, n, _ := f.Stats(); return n == 0 })
}

// TestColdAdapterIsServedWhileHotAdaptersUseAllSlots checks that a cold adapter gets a slot although hot adapters keep every
// slot in use.
func TestColdAdapterIsServedWhileHotAdaptersUseAllSlots(t *testing.T) {
	e := newEngine(2, 8)
	e.tokenTime = time.Millisecond
	f := startDispatcher(t, e, 1)
	ctx, cancel := context.WithCancel(context.Background())
	hotDone := make(chan struct{})
	for c := range 8 {
		go func() {
			defer func() { hotDone <- struct{}{} }()
			for i := 0; ctx.Err() == nil; i++ {
				_ = f.Submit(ctx, request(fmt.Sprintf("hot-%d-%d", c, i), "a", c%2, 30), func(fuchsiaspoke.Chunk) error { return nil })
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	g := request("cold", "b", 9, 5)
	f.submitAsync(g).expectComplete(t, g)
	t.Logf("cold adapter served after %v", time.Since(started).Round(time.Millisecond))
	cancel()
	for range 8 {
		<-hotDone
	}
	expectNoViolations(t, e)
}

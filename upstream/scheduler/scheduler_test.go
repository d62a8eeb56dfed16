package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

var seed = flag.Uint64("seed", 1, "seed of the random runs")

func engineLimits() fuchsiaspoke.EngineLimits {
	return fuchsiaspoke.EngineLimits{BatchSize: 96, CacheTokens: 183_378, AdapterSlots: 8}
}

func newRequest(id, adapter string, tokens int64, priority int, dueIn, deadlineIn time.Duration) fuchsiaspoke.AdmissionRequest {
	return fuchsiaspoke.AdmissionRequest{
		ID: id, Priority: priority, DueIn: dueIn, DeadlineIn: deadlineIn,
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: adapter, PromptTokens: tokens, OutputTokens: 50},
	}
}

// mustEnqueue queues a request and fails the test if it is refused.
func mustEnqueue(t *testing.T, s *scheduler.Scheduler, now time.Duration, req fuchsiaspoke.AdmissionRequest) {
	t.Helper()
	if _, refused := s.Enqueue(now, req); refused != nil {
		t.Fatalf("%s refused: %v", req.ID, refused)
	}
}

// completeOrders completes all due orders at once, without load times.
func completeOrders(s *scheduler.Scheduler, now time.Duration) {
	for {
		order, due := s.Next(now)
		if !due {
			return
		}
		s.RecordOrder(now, order)
		if order.Load {
			s.RecordLoaded(now, order.Adapter, max(order.Version, 1))
		} else {
			s.RecordRemoved(now, order.Adapter)
		}
	}
}

// Guards against high-priority requests that wait behind a burst of earlier requests of a lower priority.
func TestHighPriorityRequestStartsBeforeQueuedLowPriorityRequests(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	for n := range 10 {
		if _, refused := s.Enqueue(0, newRequest(fmt.Sprint("slow", n), "a1", 9000, 2, 5*time.Second, 10*time.Second)); refused != nil {
			t.Fatalf("lower-priority request refused: %v", refused)
		}
	}
	if _, refused := s.Enqueue(0, newRequest("urgent", "a1", 800, 0, time.Second, 15*time.Second)); refused != nil {
		t.Fatalf("high-priority request refused: %v", refused)
	}
	completeOrders(&s, 0)
	started := s.Start(0)
	if len(started) == 0 || started[0].ID != "urgent" {
		t.Fatalf("started %v, want the high-priority request first", started)
	}
}

// Guards against sending more prompts than the engine can prefill soon, when they arrive faster than its prefill rate.
func TestStartLimitsPromptsPendingAtEngine(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	for n := range 8 {
		mustEnqueue(t, &s, 0, newRequest(fmt.Sprint(n), "a1", 9000, 1, 20*time.Second, 30*time.Second))
	}
	completeOrders(&s, 0)
	if n := len(s.Start(0)); n == 0 || n > 2 {
		t.Fatalf("started %d prompts of 250 ms each at once, want 1 or 2", n)
	}
	if n := len(s.Start(0)); n != 0 {
		t.Fatalf("started %d more prompts before any first event, want 0", n)
	}
}

// Guards against queuing requests that cannot be served in time; they must be refused on arrival.
func TestEnqueueRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	refused := 0
	for n := range 40 {
		wait, refusal := s.Enqueue(0, newRequest(fmt.Sprint(n), "a1", 9000, 1, time.Second, 5*time.Second))
		if refusal == nil {
			if wait > 5*time.Second {
				t.Fatalf("queued with a predicted wait of %v, want at most 5s", wait)
			}
			continue
		}
		refused++
		if refusal.Run != fuchsiaspoke.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v, want not_run with a retry delay", refusal)
		}
	}
	if refused == 0 {
		t.Fatal("none of 40 requests refused: 10 s of prefill queued for callers with a deadline in 5 s")
	}
}

// Guards against requests that already miss their due time and delay others which can still meet theirs.
func TestOnTimeRequestStartsBeforeLateRequest(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, &s, 0, newRequest("late", "a1", 800, 1, 10*time.Millisecond, 10*time.Second))
	mustEnqueue(t, &s, 0, newRequest("on-time", "a1", 800, 1, time.Second, 10*time.Second))
	completeOrders(&s, 100*time.Millisecond)
	started := s.Start(100 * time.Millisecond)
	if len(started) == 0 || started[0].ID != "on-time" {
		t.Fatalf("started %v, want the request that can be on time first", started)
	}
}

// Guards against starvation of a large prompt while small ones keep arriving.
func TestSmallPromptsDoNotOvertakeLargePrompt(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, &s, 0, newRequest("first", "a1", 9000, 1, 10*time.Second, 20*time.Second))
	completeOrders(&s, 0)
	s.Start(0)
	mustEnqueue(t, &s, 0, newRequest("large", "a1", 30_000, 1, 10*time.Second, 20*time.Second))
	for n := range 20 {
		mustEnqueue(t, &s, time.Millisecond, newRequest(fmt.Sprint("small", n), "a1", 300, 1, 10*time.Second, 20*time.Second))
	}
	for _, g := range s.Start(time.Millisecond) {
		t.Fatalf("%s started before the large prompt", g.ID)
	}
	s.RecordFirstEvent(300*time.Millisecond, "first")
	started := s.Start(300 * time.Millisecond)
	if len(started) == 0 || started[0].ID != "large" {
		t.Fatalf("started %v, want the large prompt", started)
	}
}

func TestOutdatedVersionStartsNoRequestUntilReplaced(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, &s, 0, newRequest("1", "a1", 800, 1, time.Second, 10*time.Second))
	completeOrders(&s, 0)
	if n := len(s.Start(0)); n != 1 {
		t.Fatalf("started %d requests, want 1", n)
	}
	s.SetLatestVersion(0, "a1", 2)
	mustEnqueue(t, &s, 0, newRequest("2", "a1", 800, 1, time.Second, 10*time.Second))
	if started := s.Start(0); len(started) != 0 {
		t.Fatalf("started %v on an outdated version", started)
	}
	if order, due := s.Next(100 * time.Millisecond); due {
		t.Fatalf("order %+v is due while the outdated version is in use", order)
	}
	s.Cancel(200*time.Millisecond, "1")
	order, due := s.Next(200 * time.Millisecond)
	if !due || !order.Load || order.Version != 2 {
		t.Fatalf("next order %+v, due %v, want a load of version 2", order, due)
	}
	s.RecordOrder(200*time.Millisecond, order)
	s.RecordLoaded(400*time.Millisecond, "a1", 2)
	if started := s.Start(400 * time.Millisecond); len(started) != 1 || started[0].Version != 2 {
		t.Fatalf("started %v, want one request on version 2", started)
	}
}

// Guards against orders beyond the engine's adapter slots or its limit of concurrent loads. Random requests name 30 adapters
// for 8 slots, loads take 200 ms, and one load in ten fails.
func TestOrdersStayWithinAdapterSlotsAndConcurrentLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(*seed, 7))
	for round := range 50 {
		s := scheduler.Scheduler{Limits: engineLimits()}
		occupied := map[string]bool{}
		loading := map[string]time.Duration{}
		running := map[string]string{}
		now := time.Duration(0)
		for step := range 400 {
			now += time.Duration(random.IntN(40)) * time.Millisecond
			adapter := fmt.Sprint("a", random.IntN(30))
			_, _ = s.Enqueue(now, newRequest(fmt.Sprint(step), adapter, 500, random.IntN(2), time.Second, 5*time.Second))
			for name, at := range loading {
				if now >= at {
					s.RecordLoaded(now, name, 1)
					delete(loading, name)
				}
			}
			for _, g := range s.Start(now) {
				s.RecordFirstEvent(now, g.ID)
				running[g.ID] = ""
			}
			for id := range running {
				if random.IntN(3) == 0 {
					s.Cancel(now, id)
					delete(running, id)
				}
			}
			order, due := s.Next(now)
			if !due {
				continue
			}
			switch {
			case !order.Load:
				s.RecordOrder(now, order)
				delete(occupied, order.Adapter)
				s.RecordRemoved(now, order.Adapter)
			case random.IntN(10) == 0:
				s.RecordOrder(now, order)
				s.RecordRemoved(now, order.Adapter)
			default:
				occupied[order.Adapter] = true
				s.RecordOrder(now, order)
				loading[order.Adapter] = now + 200*time.Millisecond
			}
			if len(occupied) > engineLimits().AdapterSlots {
				t.Fatalf("round %d, step %d, seed %d: orders fill %d adapter slots, more than the engine has", round,
					step, *seed, len(occupied))
			}
			if len(loading) > 4 {
				t.Fatalf("round %d, step %d, seed %d: %d concurrent loads, want at most 4", round, step, *seed, len(loading))
			}
		}
	}
}

func TestApplyReportKeepsAdapterInUse(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, &s, 0, newRequest("1", "a1", 800, 1, time.Second, 10*time.Second))
	completeOrders(&s, 0)
	s.Start(0)
	reported := fuchsiaspoke.ResidentModel{Name: "m", Loading: []fuchsiaspoke.Adapter{{Name: "b", Version: 1}}}
	for n := range 7 {
		reported.Adapters = append(reported.Adapters, fuchsiaspoke.Adapter{Name: fmt.Sprint("a", n+1), Version: 1})
	}
	s.ApplyReport(time.Second, reported)
	mustEnqueue(t, &s, time.Second, newRequest("2", "new", 800, 1, time.Second, 10*time.Second))
	order, due := s.Next(time.Second)
	if !due || order.Load || order.Adapter == "a1" {
		t.Fatalf("next order %+v, due %v, want an unload of an adapter other than a1", order, due)
	}
}

// Guards against callers that time out without a refusal when an engine stops prefill while requests are queued for it.
func TestExpireRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, &s, 0, newRequest("first", "a1", 9000, 1, time.Second, 4*time.Second))
	mustEnqueue(t, &s, 0, newRequest("soon", "a1", 9000, 1, time.Second, 2*time.Second))
	mustEnqueue(t, &s, 0, newRequest("later", "a1", 9000, 1, time.Second, 15*time.Second))
	completeOrders(&s, 0)
	s.Start(0)
	if expired := s.Expire(time.Second); len(expired) != 0 {
		t.Fatalf("expired %v one second before the deadline", expired)
	}
	expired := s.Expire(1900 * time.Millisecond)
	if len(expired) != 1 || expired[0].ID != "soon" || expired[0].Refusal.Run != fuchsiaspoke.NotRun || expired[0].Refusal.RetryAfter <= 0 {
		t.Fatalf("expired %+v, want only the request with its deadline at 2 s, not_run with a retry delay", expired)
	}
	if s.Cancel(2*time.Second, "soon") {
		t.Error("expired request is still queued")
	}
}

// An adapter is in use when a newer version is announced, and the engine's state is then read again.
func TestAdapterInUseIsNotReloadedAtOnceAfterReport(t *testing.T) {
	s := &scheduler.Scheduler{Limits: engineLimits()}
	mustEnqueue(t, s, 0, newRequest("r", "a", 100, 0, time.Second, 5*time.Second))
	completeOrders(s, 0)
	if started := s.Start(0); len(started) != 1 {
		t.Fatalf("%d requests started, want 1", len(started))
	}
	now := 10 * time.Second
	s.SetLatestVersion(now, "a", 2)
	s.ApplyReport(now, fuchsiaspoke.ResidentModel{Adapters: []fuchsiaspoke.Adapter{{Name: "a", Version: 1}}})
	s.SetLatestVersion(now, "a", 2)
	if order, due := s.Next(now + 100*time.Millisecond); due {
		t.Errorf("order %+v right after the report, though a request uses the adapter", order)
	}
	if _, due := s.Next(now + 2*time.Second); !due {
		t.Error("no order for the newer version after 2 s")
	}
}

// Newer versions of all resident adapters are announced at once.
func TestUpgradesStayWithinConcurrentLoads(t *testing.T) {
	const maxConcurrentLoads = 4
	s := &scheduler.Scheduler{Limits: engineLimits()}
	for n := range 8 {
		s.RecordLoaded(0, fmt.Sprint("a", n), 1)
		s.SetLatestVersion(time.Second, fmt.Sprint("a", n), 2)
	}
	loads := 0
	for {
		order, due := s.Next(time.Second)
		if !due {
			break
		}
		s.RecordOrder(time.Second, order)
		loads++
	}
	if loads != maxConcurrentLoads {
		t.Errorf("%d loads at once, an engine accepts %d", loads, maxConcurrentLoads)
	}
}

// An engine carries out one unload at a time and refuses all other orders meanwhile; its report lists the adapter as resident until then.
func TestNoOrderIsDueWhileUnloadIsInProgress(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	reported := fuchsiaspoke.ResidentModel{Name: "m"}
	for n := range engineLimits().AdapterSlots {
		reported.Adapters = append(reported.Adapters, fuchsiaspoke.Adapter{Name: fmt.Sprint("a", n), Version: 1})
	}
	s.ApplyReport(0, reported)
	mustEnqueue(t, &s, 0, newRequest("1", "new", 800, 1, time.Second, 10*time.Second))
	mustEnqueue(t, &s, 0, newRequest("2", "other", 800, 1, time.Second, 10*time.Second))
	unload, due := s.Next(0)
	if !due || unload.Load {
		t.Fatalf("next order %+v, due %v, want an unload", unload, due)
	}
	s.RecordOrder(0, unload)
	for _, step := range []string{"after the order", "after a report"} {
		if order, due := s.Next(0); due {
			t.Errorf("%s: next order %+v while %s is being unloaded, want none", step, order, unload.Adapter)
		}
		if orders := s.OrdersToCheck(time.Second); len(orders) != 1 || orders[0] != unload {
			t.Errorf("%s: orders in progress %+v, want the unload of %s", step, orders, unload.Adapter)
		}
		s.ApplyReport(0, reported)
	}
	s.RecordRemoved(0, unload.Adapter)
	if order, due := s.Next(0); !due || !order.Load {
		t.Errorf("next order %+v, due %v after the unload, want a load", order, due)
	}
}

// An order for a load that a report shows in progress repeats the version that is being loaded.
func TestLoadInProgressIsCheckedInItsVersion(t *testing.T) {
	s := scheduler.Scheduler{Limits: engineLimits()}
	s.ApplyReport(0, fuchsiaspoke.ResidentModel{Name: "m", Loading: []fuchsiaspoke.Adapter{{Name: "a1", Version: 3}}})
	want := scheduler.AdapterOrder{Load: true, Adapter: "a1", Version: 3}
	if orders := s.OrdersToCheck(time.Minute); len(orders) != 1 || orders[0] != want {
		t.Errorf("orders in progress %+v, want %+v", orders, want)
	}
}

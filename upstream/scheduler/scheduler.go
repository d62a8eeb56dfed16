// Package scheduler decides, for one engine, which requests are queued, started or refused, and which adapter is loaded next.
//
// It queues requests while the engine's adapter slots, batch, KV cache or prefill rate are fully used. Requests that can still
// meet their latency objective go before late ones, then by priority, then by due time. A request is refused on arrival if its
// first event is predicted too late, and while queued once it can no longer meet its deadline. Where fair queueing is active, the
// shares of the client accounts take precedence over priority and due time, but not over requests that can still be on time.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxPendingPrefill bounds the prefill time of the prompts pending at an engine, as hasCapacity states; half the prefill time
	// of a typical prompt.
	maxPendingPrefill = 150 * time.Millisecond
	// minFirstEventDelay is the minimum time from the end of prefill to the first event: one engine step and the network transfer.
	minFirstEventDelay = 60 * time.Millisecond
	// initialPrefillTokensPerMs is the prefill rate assumed before the first measurement, in tokens per millisecond.
	initialPrefillTokensPerMs = 36.0
	// maxCacheShare is the share of an engine's KV cache that several granted requests together may fill.
	maxCacheShare = 0.92
	// maxConcurrentLoads is the number of concurrent adapter loads that an engine accepts.
	maxConcurrentLoads = 4
	// initialColdLoadTime and initialWarmLoadTime are the first estimates of the load times of adapters that come from the weight
	// store, and of recently resident ones.
	initialColdLoadTime = 260 * time.Millisecond
	initialWarmLoadTime = 30 * time.Millisecond
	// slotHoldTime is the assumed time for which an adapter in use occupies its slot.
	slotHoldTime = 1200 * time.Millisecond
	// maxWaitShare is the share of the time to the deadline within which the first event must be predicted for a request to be
	// queued. A request whose first event is predicted before both its due time and its deadline is queued in any case.
	maxWaitShare = 0.6
	// maxStaleUse is how long a load of the latest version is postponed while requests use an outdated one.
	maxStaleUse = time.Second
)

// Scheduler holds the queue and the adapter slots of one engine. It does no I/O and is not safe for concurrent use. Times, such as
// now, are times since the process started.
type Scheduler struct {
	Limits fuchsiaspoke.EngineLimits
	// Shares are the shares of the client accounts; nil if fair queueing is never active.
	Shares shares

	queue          []*queuedRequest
	running        map[string]*grantedRequest
	slots          map[string]*slot
	cachedPrefixes prefixCache
	// lastResidentAt maps each recently resident adapter to the time at which it was last known to be resident.
	lastResidentAt map[string]time.Duration
	// pendingPrefillTokens counts the uncached prompt tokens of granted requests without a first event.
	pendingPrefillTokens int64
	// prefillTokensPerMs is the moving average of the engine's prefill rate.
	prefillTokensPerMs float64
	// coldLoadTime and warmLoadTime are the moving averages of the load times of adapters that come from the weight store, and of
	// recently resident ones.
	coldLoadTime time.Duration
	warmLoadTime time.Duration
	// lastFirstEventAt is the time of the latest first event of a request; prefill of the next prompt is assumed to start then.
	lastFirstEventAt time.Duration
	// tags are the next start tags by client account, while they are computed.
	tags map[string]*accountTags
	// lowestTag is the lowest counter of an account in the queue when its order was last computed.
	lowestTag int64
}

type queuedRequest struct {
	fuchsiaspoke.AdmissionRequest
	// fairOrder is the request's place in the order where fair queueing is active.
	fairOrder
	arrivedAt time.Duration
	// dueAt is the time from which a first event misses the request's latency objective.
	dueAt          time.Duration
	deadline       time.Duration
	uncachedTokens int64
}

type grantedRequest struct {
	account        string
	demand         fuchsiaspoke.Demand
	uncachedTokens int64
	grantedAt      time.Duration
	prefilled      bool
}

type slotState int

const (
	resident slotState = iota
	loading
	unloading
)

type slot struct {
	state          slotState
	version        int64
	activeRequests int
	lastUsedAt     time.Duration
	orderedAt      time.Duration
	// expectedReadyAt is the time at which the load or unload is expected to be complete, or is checked again.
	expectedReadyAt time.Duration
	// orderedVersion is the version that was ordered last; 0 is the newest that the engine knew.
	orderedVersion int64
	// warm means that the adapter was recently resident when its load was ordered.
	warm bool
	// staleSince is the time at which the first newer version was announced; 0 if none was since the last RecordLoaded.
	staleSince    time.Duration
	latestVersion int64
}

// Enqueue queues a request and returns the predicted time to its first event, or a refusal with a retry delay. A request whose
// predicted wait exceeds its MaxWait is neither queued nor refused, since another engine may be faster.
func (s *Scheduler) Enqueue(now time.Duration, req fuchsiaspoke.AdmissionRequest) (time.Duration, *fuchsiaspoke.Refusal) {
	s.init()
	q := &queuedRequest{
		AdmissionRequest: req, arrivedAt: now, dueAt: now + req.DueIn, deadline: now + req.DeadlineIn,
		uncachedTokens: s.cachedPrefixes.uncachedTokens(req.Demand),
	}
	wait := s.predictWait(now, q)
	if req.ExceedsMaxWait(wait) {
		return wait, nil
	}
	if maxWait := time.Duration(float64(req.DeadlineIn) * maxWaitShare); wait > max(maxWait, req.DueIn) || wait > req.DeadlineIn {
		basis := s.basis(fuchsiaspoke.RulePredictedWait, wait, min(max(maxWait, req.DueIn), req.DeadlineIn))
		return wait, overloadedRefusal(wait-req.DueIn/2, basis)
	}
	s.insert(now, q)
	return wait, nil
}

// Cancel removes a queued request, or a granted one that ended. It reports whether the request was found.
func (s *Scheduler) Cancel(now time.Duration, id string) bool {
	for i, q := range s.queue {
		if q.ID == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			s.leave(q)
			return true
		}
	}
	r := s.running[id]
	if r == nil {
		return false
	}
	s.returnOutputCost(now, r)
	s.markPrefilled(r)
	delete(s.running, id)
	if sl := s.slots[r.demand.Adapter]; sl != nil {
		sl.activeRequests = max(sl.activeRequests-1, 0)
		sl.lastUsedAt = now
	}
	return true
}

// RecordFirstEvent records the first event of a granted request, which means that its prefill is complete.
func (s *Scheduler) RecordFirstEvent(now time.Duration, id string) {
	r := s.running[id]
	if r == nil || r.prefilled {
		return
	}
	s.updatePrefillRate(now, r)
	s.markPrefilled(r)
	s.cachedPrefixes.add(r.demand, now)
}

// markPrefilled subtracts the request's prompt from the pending prefill tokens, once for each request.
func (s *Scheduler) markPrefilled(r *grantedRequest) {
	if r.prefilled {
		return
	}
	r.prefilled = true
	s.pendingPrefillTokens -= r.uncachedTokens
}

// updatePrefillRate updates the average prefill rate at a first event. Prefill of the request is assumed to have started at its
// grant, or at the previous first event if that was later. Prompts of fewer than 500 uncached tokens are not measured, and a
// measured rate counts for at most twice the average.
func (s *Scheduler) updatePrefillRate(now time.Duration, r *grantedRequest) {
	start := max(r.grantedAt, s.lastFirstEventAt)
	s.lastFirstEventAt = now
	elapsed := now - start - minFirstEventDelay/2
	if r.uncachedTokens < 500 || elapsed < time.Millisecond {
		return
	}
	measured := float64(r.uncachedTokens) / float64(elapsed.Milliseconds()+1)
	const smoothingFactor = 0.1
	s.prefillTokensPerMs += smoothingFactor * (min(measured, 2*s.prefillTokensPerMs) - s.prefillTokensPerMs)
	s.prefillTokensPerMs = max(s.prefillTokensPerMs, 2)
}

// Grant is a request that may be sent to the engine now. Version is that of its adapter, and Wait is the predicted time to
// its first event.
type Grant struct {
	ID      string
	Version int64
	Wait    time.Duration
}

// Start removes the requests that may be sent now from the queue and returns them in order. A request whose adapter is ready
// but for which the engine has no capacity blocks those behind it, so that small prompts do not starve a large one.
func (s *Scheduler) Start(now time.Duration) []Grant {
	s.init()
	s.sortQueue(now)
	var out []Grant
	remaining := s.queue[:0]
	blocked := false
	for _, q := range s.queue {
		sl, ready := s.readySlot(q.Demand.Adapter)
		if blocked || !ready || !s.hasCapacity(q) {
			blocked = blocked || ready
			remaining = append(remaining, q)
			continue
		}
		out = append(out, s.grant(now, q, sl))
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	return out
}

// Expired is a queued request that can no longer be served before its deadline.
type Expired struct {
	ID string
	// Account is the client account; empty if the request did not name it.
	Account string
	Refusal *fuchsiaspoke.Refusal
}

// Expire removes the queued requests that would miss their deadline even if their prefill, or the load of their adapter, started
// now, and returns their refusals.
func (s *Scheduler) Expire(now time.Duration) []Expired {
	var out []Expired
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedRequest) bool {
		minWait := s.prefillTime(q.uncachedTokens) + minFirstEventDelay
		if _, ready := s.readySlot(q.Demand.Adapter); !ready {
			minWait += s.warmLoadTime
		}
		if now+minWait <= q.deadline {
			return false
		}
		s.leave(q)
		out = append(out, Expired{ID: q.ID, Account: q.Account, Refusal: overloadedRefusal(minWait, s.basis(fuchsiaspoke.RuleDeadline, minWait, q.deadline-now))})
		return true
	})
	return out
}

// grant records a queued request as running: its uncached tokens, estimated again, are added to the pending prefill, and sl, the
// slot of its adapter, is in use; sl is nil if the request needs no adapter. The caller removes the request from the queue, and
// RecordFirstEvent adds its prompt to the prefix cache.
func (s *Scheduler) grant(now time.Duration, q *queuedRequest, sl *slot) Grant {
	q.uncachedTokens = s.cachedPrefixes.uncachedTokens(q.Demand)
	g := Grant{ID: q.ID, Wait: s.prefillTime(s.pendingPrefillTokens+q.uncachedTokens) + minFirstEventDelay}
	s.leave(q)
	s.charge(now, q.Account, q.cost())
	s.running[q.ID] = &grantedRequest{account: q.Account, demand: q.Demand, uncachedTokens: q.uncachedTokens, grantedAt: now}
	s.pendingPrefillTokens += q.uncachedTokens
	if sl != nil {
		sl.activeRequests++
		sl.lastUsedAt = now
		g.Version = sl.version
	}
	return g
}

// readySlot returns the slot of an adapter that is resident in its latest version; requests without an adapter need none.
func (s *Scheduler) readySlot(adapter string) (*slot, bool) {
	if adapter == "" {
		return nil, true
	}
	sl := s.slots[adapter]
	if sl == nil || sl.state != resident || sl.latestVersion > sl.version {
		return nil, false
	}
	return sl, true
}

// hasCapacity reports whether the request fits within the engine's batch, its KV cache and the bound on pending prefill: with the
// request, maxPendingPrefill is not exceeded, or without it, half of maxPendingPrefill. If no prefill is pending, a prompt of any
// length fits, and if no request is running, one with any number of tokens fits in the KV cache.
func (s *Scheduler) hasCapacity(q *queuedRequest) bool {
	if len(s.running) >= s.Limits.BatchSize {
		return false
	}
	totalTokens := q.Demand.Tokens()
	for _, r := range s.running {
		totalTokens += r.demand.Tokens()
	}
	if s.Limits.CacheTokens > 0 && len(s.running) > 0 && float64(totalTokens) > maxCacheShare*float64(s.Limits.CacheTokens) {
		return false
	}
	return s.pendingPrefillTokens == 0 ||
		s.prefillTime(s.pendingPrefillTokens+q.uncachedTokens) <= max(maxPendingPrefill,
			s.prefillTime(q.uncachedTokens)+maxPendingPrefill/2)
}

// AwaitingLoad returns the ids of the queued requests whose adapters are not loaded.
func (s *Scheduler) AwaitingLoad() []string {
	var ids []string
	for _, q := range s.queue {
		if _, loaded := s.readySlot(q.Demand.Adapter); !loaded {
			ids = append(ids, q.ID)
		}
	}
	return ids
}

func (s *Scheduler) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / s.prefillTokensPerMs * float64(time.Millisecond))
}

// sortQueue sorts the queue: requests that can meet their due time before late ones, then by priority, then by due time. Where fair
// queueing is active, sortFairly sorts it.
func (s *Scheduler) sortQueue(now time.Duration) {
	if s.fair() {
		s.sortFairly(now)
		return
	}
	slices.SortStableFunc(s.queue, func(a, b *queuedRequest) int {
		return cmp.Or(
			cmp.Compare(s.lateRank(now, a), s.lateRank(now, b)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.dueAt, b.dueAt),
		)
	})
}

// lateRank returns 1 if the request would miss its due time even if its prefill started now, otherwise 0.
func (s *Scheduler) lateRank(now time.Duration, q *queuedRequest) int {
	if now+s.prefillTime(q.uncachedTokens)+minFirstEventDelay > q.dueAt {
		return 1
	}
	return 0
}

// predictWait estimates the time to the first event of a request that is not queued yet.
func (s *Scheduler) predictWait(now time.Duration, q *queuedRequest) time.Duration {
	tokensAhead := s.pendingPrefillTokens
	adaptersAhead := map[string]bool{}
	precedes := s.precedes
	if s.fair() {
		s.sortFairly(now)
		s.placeFairly(now, q)
		precedes = precedesFairly
	}
	for _, other := range s.queue {
		if precedes(now, other, q) {
			tokensAhead += other.uncachedTokens
			if sl := s.slots[other.Demand.Adapter]; sl == nil && other.Demand.Adapter != "" {
				adaptersAhead[other.Demand.Adapter] = true
			}
		}
	}
	delete(adaptersAhead, q.Demand.Adapter)
	prefillAhead := s.prefillTime(tokensAhead)
	return max(prefillAhead, s.slotWait(now, q.Demand.Adapter, len(adaptersAhead))) +
		s.prefillTime(q.uncachedTokens) + minFirstEventDelay
}

// precedes reports whether a goes before b, or has the same rank, in the order of sortQueue.
func (s *Scheduler) precedes(now time.Duration, a, b *queuedRequest) bool {
	return cmp.Or(
		cmp.Compare(s.lateRank(now, a), s.lateRank(now, b)),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.dueAt, b.dueAt),
	) <= 0
}

// slotWait estimates the time until the adapter is resident, when adaptersAhead other adapters get a slot first. If enough slots
// are free or idle for all of them, their loads run maxConcurrentLoads at a time. Otherwise each round of AdapterSlots adapters
// waits half of slotHoldTime, the average remaining use of a slot.
func (s *Scheduler) slotWait(now time.Duration, adapter string, adaptersAhead int) time.Duration {
	if adapter == "" {
		return 0
	}
	if sl := s.slots[adapter]; sl != nil {
		return max(sl.expectedReadyAt-now, 0)
	}
	loadTime := s.estimateLoadTime(adapter)
	freeSlots := s.Limits.AdapterSlots - len(s.slots)
	for name, sl := range s.slots {
		if sl.state == resident && sl.activeRequests == 0 && !s.hasQueuedRequest(name) {
			freeSlots++
		}
	}
	if adaptersAhead < freeSlots {
		return loadTime * time.Duration(1+adaptersAhead/maxConcurrentLoads)
	}
	rounds := 1 + (adaptersAhead-freeSlots)/max(s.Limits.AdapterSlots, 1)
	return loadTime + slotHoldTime/2*time.Duration(rounds)
}

func (s *Scheduler) hasQueuedRequest(adapter string) bool {
	return slices.ContainsFunc(s.queue, func(q *queuedRequest) bool { return q.Demand.Adapter == adapter })
}

func (s *Scheduler) estimateLoadTime(adapter string) time.Duration {
	if _, recent := s.lastResidentAt[adapter]; recent {
		return s.warmLoadTime
	}
	return s.coldLoadTime
}

func (s *Scheduler) init() {
	if s.running != nil {
		return
	}
	s.running = make(map[string]*grantedRequest)
	s.slots = make(map[string]*slot)
	s.lastResidentAt = make(map[string]time.Duration)
	s.prefillTokensPerMs = initialPrefillTokensPerMs
	s.coldLoadTime, s.warmLoadTime = initialColdLoadTime, initialWarmLoadTime
}

// basis returns the figures of a refusal whose predicted wait exceeds the limit.
func (s *Scheduler) basis(rule string, wait, limit time.Duration) *fuchsiaspoke.RefusalBasis {
	return &fuchsiaspoke.RefusalBasis{
		Rule: rule, PredictedWait: wait, WaitLimit: limit, TokensPerMs: s.prefillTokensPerMs, BacklogTokens: s.backlogTokens(),
	}
}

// backlogTokens returns the uncached prompt tokens of queued and granted requests still to be prefilled.
func (s *Scheduler) backlogTokens() int64 {
	tokens := s.pendingPrefillTokens
	for _, q := range s.queue {
		tokens += q.uncachedTokens
	}
	return tokens
}

func overloadedRefusal(wait time.Duration, basis *fuchsiaspoke.RefusalBasis) *fuchsiaspoke.Refusal {
	const minRetryAfter, maxRetryAfter = 300 * time.Millisecond, 3 * time.Second
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: 503,
		Message: "the engine is predicted to respond too late for the request's deadline", Basis: basis,
	}.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
}

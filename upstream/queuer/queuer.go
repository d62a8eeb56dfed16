// Package queuer schedules waiting generations fairly across client accounts.
package queuer

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/accountant"
)

// PromptWeight and OutputWeight are the weights of one prompt token and one output token in an account's counter.
const (
	PromptWeight = 1
	OutputWeight = 2
)

const (
	// MaxBypassTokens is the maximum number of weighted tokens of other requests that may be served ahead of an
	// account's oldest runnable request because their adapter is in the running batch, while the account's counter is
	// lower.
	MaxBypassTokens = 4096
	// MaxLagTokens is the maximum by which the counter of an account that waits for an adapter may fall behind the
	// counter of the served account. It also bounds the weighted tokens that the account may consume ahead of the
	// others once its adapter is resident.
	MaxLagTokens = 16384
	// headroomWindow is how long after the latest request of a second account the headroom stays reserved.
	headroomWindow = 30 * time.Second
	// maxScannedAdapters is the maximum number of an account's adapter queues that one call of Pop or OldestPerAdapter
	// examines.
	maxScannedAdapters = 128
)

// The readiness of a request's adapter on the engine.
const (
	// Blocked means that the adapter is not resident.
	Blocked = iota
	// Runnable means that the adapter is resident.
	Runnable
	// Preferred means that the adapter is in the running batch.
	Preferred
)

// Queuer is a fair queue of generations across client accounts, ordered by virtual token counters; its zero value is
// an empty queue.
//
// The method is that of Sheng et al., Fairness in Serving Large Language Models, OSDI 2024: each account has a counter
// of weighted tokens, the account with the lowest counter is served first, and an account that becomes active again is
// lifted to the lowest active counter, so that it earns no credit while idle. Two bounds are added and asserted at
// each Pop: an account with a runnable request is bypassed by at most MaxBypassTokens, and an account whose adapters
// are not resident lags by at most MaxLagTokens. A Queuer is not safe for concurrent use.
type Queuer struct {
	// Batch is the number of requests that the engine runs concurrently; it is only used to apply Headroom.
	Batch int
	// Headroom is the number of batch places that accounts with the most running requests may not occupy while other
	// accounts send requests too, so that another account's request does not wait for their running requests to
	// finish. Zero disables it.
	Headroom int
	// OnViolation is called for each violated invariant; if nil, violations are only counted.
	OnViolation func(detail string)

	violations       int
	accounts         map[string]*account
	counters         accountant.Accountant[*account]
	adapterQueues    map[adapterQueueKey]*adapterQueue
	byID             map[string]*entry
	waitingByAdapter map[fuchsiaspoke.Adapter]int
	expiries         expiryHeap
	bypassed         []*account
	running          int
	// latestPush is the latest push, and latestOtherPush the latest push of any other account.
	latestPush, latestOtherPush accountPush
	// headroomActive says that the current Pop may not serve the accounts with the most running requests.
	headroomActive bool
	// accountsByRunning[n] is the number of accounts with n running requests, and maxRunning the largest n in use.
	accountsByRunning []int
	maxRunning        int
	// tokens is the sum of CostTokens over the waiting generations.
	tokens int64
	// seq numbers pushed entries upwards, and frontSeq requeued ones downwards, so that requeued entries come first.
	seq         int64
	frontSeq    int64
	freeEntries *entry
	freeQueues  *adapterQueue
}

// Push adds a generation and reports whether it was added; one whose request id is already waiting is not added.
func (q *Queuer) Push(now time.Duration, g fuchsiaspoke.Generation) bool {
	q.seq++
	q.recordPush(now, g.Account)
	return q.insert(now, g, q.seq)
}

// Requeue returns a popped generation to the queue, ahead of its account's other generations, and refunds the charge
// for its prompt.
func (q *Queuer) Requeue(now time.Duration, g fuchsiaspoke.Generation) bool {
	q.frontSeq--
	if !q.insert(now, g, q.frontSeq) {
		return false
	}
	q.addToCounter(q.accounts[g.Account], -PromptWeight*g.PromptTokens)
	return true
}

// Pop removes the next generation to run, charges its prompt to its account, and reports whether there was one.
//
// The function readinessOf returns Blocked, Runnable or Preferred; its result must depend only on the generation's adapter.
func (q *Queuer) Pop(now time.Duration, readinessOf func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool) {
	q.headroomActive = q.onlyHeadroomLeft(now)
	e, oldest := q.choose(readinessOf)
	if e == nil {
		return fuchsiaspoke.Generation{}, false
	}
	a := e.adapterQueue.account
	q.countBypass(a, e, oldest)
	g := e.generation
	q.setRunning(a, a.running+1)
	q.remove(e)
	q.addToCounter(a, PromptWeight*g.PromptTokens)
	q.liftLagging(a)
	return g, true
}

// Charge adds generated output tokens to an account's counter.
func (q *Queuer) Charge(name string, outputTokens int64) {
	a := q.accounts[name]
	if a == nil || outputTokens <= 0 {
		return
	}
	q.addToCounter(a, OutputWeight*outputTokens)
}

// Finish records that one popped generation of the account no longer runs.
func (q *Queuer) Finish(name string) {
	a := q.accounts[name]
	if a == nil || a.running == 0 {
		q.reportViolation("finish without a running request of client account " + name)
		return
	}
	q.setRunning(a, a.running-1)
}

// Expire removes and returns the generations whose deadline has passed.
func (q *Queuer) Expire(now time.Duration) []fuchsiaspoke.Generation {
	var out []fuchsiaspoke.Generation
	for len(q.expiries) > 0 && q.expiries[0].deadline <= now {
		e := q.expiries[0]
		out = append(out, e.generation)
		q.remove(e)
	}
	return out
}

// Remove removes and returns the generation with this request id.
func (q *Queuer) Remove(requestID string) (fuchsiaspoke.Generation, bool) {
	e := q.byID[requestID]
	if e == nil {
		return fuchsiaspoke.Generation{}, false
	}
	g := e.generation
	q.remove(e)
	return g, true
}

// RemoveKey removes and returns all generations that were authenticated by the API key with this hash.
func (q *Queuer) RemoveKey(hash string) []fuchsiaspoke.Generation {
	return q.removeAll(func(g fuchsiaspoke.Generation) bool { return hash != "" && g.KeyHash == hash })
}

// RemoveAdapter removes and returns all generations that wait for the adapter.
func (q *Queuer) RemoveAdapter(adapter fuchsiaspoke.Adapter) []fuchsiaspoke.Generation {
	return q.removeAll(func(g fuchsiaspoke.Generation) bool { return g.Adapter == adapter })
}

// RemoveAll removes and returns all generations.
func (q *Queuer) RemoveAll() []fuchsiaspoke.Generation {
	return q.removeAll(func(fuchsiaspoke.Generation) bool { return true })
}

// Len returns the number of waiting generations.
func (q *Queuer) Len() int {
	return len(q.byID)
}

// Tokens returns an upper bound on the tokens that the waiting generations will consume.
func (q *Queuer) Tokens() int64 {
	return q.tokens
}

// Waiting returns the number of generations that wait for the adapter.
func (q *Queuer) Waiting(adapter fuchsiaspoke.Adapter) int {
	return q.waitingByAdapter[adapter]
}

// Violations returns the number of invariant violations so far.
func (q *Queuer) Violations() int {
	return q.violations
}

// OldestPerAdapter yields the oldest generation of each account and adapter, with the time when it was queued. It yields one
// generation per account in each round, lowest counter first, for at most maxScannedAdapters rounds.
func (q *Queuer) OldestPerAdapter(yield func(g fuchsiaspoke.Generation, pushedAt time.Duration) bool) {
	for depth := range maxScannedAdapters {
		more := false
		for _, counter := range q.counters.Active() {
			a := counter.Value
			if depth >= len(a.queues) {
				continue
			}
			more = true
			e := a.queues[depth].head
			if !yield(e.generation, e.pushedAt) {
				return
			}
		}
		if !more {
			return
		}
	}
}

// choose returns the entry to serve and the oldest runnable entry of the same account, and records in q.bypassed the
// accounts that the chosen entry bypasses. It serves the account with the lowest counter, unless an entry whose adapter
// is in the running batch may bypass it within the limit of MaxBypassTokens.
func (q *Queuer) choose(readinessOf func(fuchsiaspoke.Generation) int) (chosen, runnable *entry) {
	q.bypassed = q.bypassed[:0]
	var lowest *entry
	allowance := int64(MaxBypassTokens)
	for _, counter := range q.counters.Active() {
		a := counter.Value
		if lowest != nil && a.counter.Tokens > lowest.adapterQueue.account.counter.Tokens+MaxBypassTokens {
			break
		}
		oldest, preferred := q.scan(a, readinessOf)
		if oldest == nil {
			continue
		}
		if lowest == nil {
			lowest = oldest
		}
		accountAllowance := min(allowance, MaxBypassTokens-a.bypassedTokens)
		if preferred == lowest || preferred != nil && preferred == oldest && maxCost(preferred) <= allowance {
			return preferred, oldest
		}
		if preferred != nil && maxCost(preferred) <= accountAllowance {
			return preferred, oldest
		}
		allowance = accountAllowance
		q.bypassed = append(q.bypassed, a)
	}
	q.bypassed = q.bypassed[:0]
	return lowest, lowest
}

// scan returns the account's oldest runnable entry and its oldest preferred one, among the heads of its first
// maxScannedAdapters queues. It returns nil for both if the account may not use the headroom.
func (q *Queuer) scan(a *account, readinessOf func(fuchsiaspoke.Generation) int) (oldest, preferred *entry) {
	if q.headroomActive && a.running == q.maxRunning {
		return nil, nil
	}
	for _, aq := range a.queues[:min(len(a.queues), maxScannedAdapters)] {
		e := aq.head
		readiness := readinessOf(e.generation)
		if readiness >= Runnable && (oldest == nil || e.seq < oldest.seq) {
			oldest = e
		}
		if readiness >= Preferred && (preferred == nil || e.seq < preferred.seq) {
			preferred = e
		}
	}
	return oldest, preferred
}

// onlyHeadroomLeft reports whether all free places of the batch are headroom and a second account sent a request
// within the headroomWindow.
func (q *Queuer) onlyHeadroomLeft(now time.Duration) bool {
	return q.Headroom > 0 && q.running >= q.Batch-q.Headroom && q.latestOtherPush.name != "" && now-q.latestOtherPush.at <= headroomWindow
}

// recordPush updates latestPush and latestOtherPush.
func (q *Queuer) recordPush(now time.Duration, name string) {
	if q.latestPush.name != name {
		q.latestOtherPush = q.latestPush
	}
	q.latestPush = accountPush{name, now}
}

// setRunning sets the account's number of running requests and updates the maximum over all accounts.
func (q *Queuer) setRunning(a *account, n int) {
	for len(q.accountsByRunning) <= max(n, a.running) {
		q.accountsByRunning = append(q.accountsByRunning, 0)
	}
	if a.running > 0 {
		q.accountsByRunning[a.running]--
	}
	q.running += n - a.running
	a.running = n
	if n > 0 {
		q.accountsByRunning[n]++
	}
	q.maxRunning = max(q.maxRunning, n)
	for q.maxRunning > 0 && q.accountsByRunning[q.maxRunning] == 0 {
		q.maxRunning--
	}
}

// insert adds a waiting generation with this sequence number, unless its request id is already waiting.
func (q *Queuer) insert(now time.Duration, g fuchsiaspoke.Generation, seq int64) bool {
	q.init()
	if q.byID[g.RequestID] != nil {
		return false
	}
	e := q.newEntry()
	e.generation, e.seq, e.pushedAt, e.deadline = g, seq, now, now+g.MaxWait
	a := q.account(g.Account)
	aq := q.adapterQueue(a, g.Adapter)
	aq.add(e)
	a.waiting++
	if a.waiting == 1 {
		a.bypassedTokens = 0
		q.counters.Activate(&a.counter)
	}
	q.byID[g.RequestID] = e
	q.waitingByAdapter[g.Adapter]++
	q.tokens += g.CostTokens()
	q.expiries.push(e)
	return true
}

func (q *Queuer) remove(e *entry) {
	g, aq := e.generation, e.adapterQueue
	a := aq.account
	delete(q.byID, g.RequestID)
	q.expiries.remove(e)
	q.tokens -= g.CostTokens()
	if q.waitingByAdapter[g.Adapter]--; q.waitingByAdapter[g.Adapter] == 0 {
		delete(q.waitingByAdapter, g.Adapter)
	}
	aq.unlink(e)
	if aq.head == nil {
		a.removeQueue(aq)
		delete(q.adapterQueues, adapterQueueKey{a.name, aq.adapter})
		q.recycleAdapterQueue(aq)
	}
	if a.waiting--; a.waiting == 0 {
		q.counters.Deactivate(&a.counter)
	}
	q.recycleEntry(e)
}

// removeAll removes and returns the generations for which match returns true.
func (q *Queuer) removeAll(match func(fuchsiaspoke.Generation) bool) []fuchsiaspoke.Generation {
	var found []*entry
	for _, e := range q.expiries {
		if match(e.generation) {
			found = append(found, e)
		}
	}
	var out []fuchsiaspoke.Generation
	for _, e := range found {
		out = append(out, e.generation)
		q.remove(e)
	}
	return out
}

func (q *Queuer) init() {
	if q.accounts != nil {
		return
	}
	q.accounts = make(map[string]*account)
	q.adapterQueues = make(map[adapterQueueKey]*adapterQueue)
	q.byID = make(map[string]*entry)
	q.waitingByAdapter = make(map[fuchsiaspoke.Adapter]int)
}

func (q *Queuer) reportViolation(detail string) {
	q.violations++
	if q.OnViolation != nil {
		q.OnViolation("queuer: " + detail)
	}
}

// Package queuer orders waiting generations fairly over client accounts.
package queuer

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// PromptWeight and OutputWeight are what one token of a prompt and of an output adds to an account's counter.
const (
	PromptWeight = 1
	OutputWeight = 2
)

const (
	// PassOverTokens is the most weighted tokens of other requests that may be preferred over an account's oldest
	// runnable request while the account's counter is the lower one.
	PassOverTokens = 4096
	// LagTokens is how far an account that waits for an adapter may fall behind the account that is served, and so
	// how many weighted tokens it may take ahead of the others once its adapter is there.
	LagTokens = 16384
	// headroomMemory is how long after a second account's request places are kept free.
	headroomMemory = 30 * time.Second
	// scanAdapters is how many of an account's waiting adapters one choice looks at.
	scanAdapters = 128
)

// What a request's adapter is to the engine at this moment.
const (
	// Blocked says that the adapter is not resident.
	Blocked = iota
	// Runnable says that the adapter is resident.
	Runnable
	// Preferred says that the adapter is in the running batch.
	Preferred
)

// Queuer is a fair queue of generations over client accounts by virtual token counter; its zero value is empty.
//
// The method is that of Sheng et al., Fairness in Serving Large Language Models, OSDI 2024: each account has a counter
// of weighted tokens, the lowest counter is served first, and an account that becomes active again is lifted to the
// lowest counter, so that idleness earns nothing. Two bounds are added and asserted at each Pop: an account with a
// runnable request is passed over by at most PassOverTokens, and an account whose adapters are not resident lags by
// at most LagTokens. It is not safe for concurrent use.
type Queuer struct {
	// Batch is the number of requests that the engine runs at once; zero sets no headroom.
	Batch int
	// Headroom is how many places of the batch the account with the most running requests may not take while other
	// accounts come too, so that the head of another queue need not wait for that account's running work.
	Headroom int
	// Violated is told of each broken invariant; nil counts them only.
	Violated func(detail string)

	violations int
	accounts   map[string]*account
	active     []*account
	lines      map[lineKey]*line
	byID       map[string]*entry
	wanted     map[fuchsiaspoke.Adapter]int
	expiries   expiryHeap
	passed     []*account
	lastLeft   int64
	running    int
	// first and second are the latest pushes of two accounts.
	first, second arrival
	reserving     bool
	// levels counts the accounts by their number of running requests, and most is the largest such number.
	levels    []int
	most      int
	tokens    int64
	seq       int64
	frontSeq  int64
	freeEntry *entry
	freeLine  *line
}

// Push adds a generation and reports whether it was added; a request id that already waits is not.
func (q *Queuer) Push(now time.Duration, g fuchsiaspoke.Generation) bool {
	q.seq++
	q.notePush(now, g.Account)
	return q.insert(now, g, q.seq)
}

// Requeue puts a popped generation back before its account's other work and takes its prompt's charge back.
func (q *Queuer) Requeue(now time.Duration, g fuchsiaspoke.Generation) bool {
	q.frontSeq--
	if !q.insert(now, g, q.frontSeq) {
		return false
	}
	q.add(q.accounts[g.Account], -PromptWeight*g.PromptTokens)
	return true
}

// Pop takes the next generation that may run, charges its prompt, and reports whether there was one.
//
// The function fits returns Blocked, Runnable or Preferred; it must depend on the generation's adapter alone.
func (q *Queuer) Pop(now time.Duration, fits func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool) {
	q.reserving = q.isHeadroom(now)
	e, oldest := q.choose(fits)
	if e == nil {
		return fuchsiaspoke.Generation{}, false
	}
	a := e.line.account
	q.countPassed(a, e, oldest)
	g := e.generation
	q.setRunning(a, a.running+1)
	q.remove(e)
	q.add(a, PromptWeight*g.PromptTokens)
	q.liftLagging(a)
	return g, true
}

// Charge adds generated output tokens to an account's counter.
func (q *Queuer) Charge(name string, outputTokens int64) {
	a := q.accounts[name]
	if a == nil || outputTokens <= 0 {
		return
	}
	q.add(a, OutputWeight*outputTokens)
}

// Finish tells that one popped generation of the account no longer runs.
func (q *Queuer) Finish(name string) {
	a := q.accounts[name]
	if a == nil || a.running == 0 {
		q.violate("finish without a running request of " + name)
		return
	}
	q.setRunning(a, a.running-1)
}

// Expire removes and returns the generations whose patience has run out.
func (q *Queuer) Expire(now time.Duration) []fuchsiaspoke.Generation {
	var out []fuchsiaspoke.Generation
	for len(q.expiries) > 0 && q.expiries[0].deadline <= now {
		e := q.expiries[0]
		out = append(out, e.generation)
		q.remove(e)
	}
	return out
}

// Remove takes out one generation by request id.
func (q *Queuer) Remove(requestID string) (fuchsiaspoke.Generation, bool) {
	e := q.byID[requestID]
	if e == nil {
		return fuchsiaspoke.Generation{}, false
	}
	g := e.generation
	q.remove(e)
	return g, true
}

// RemoveKey takes out all generations that came with the key of this hash.
func (q *Queuer) RemoveKey(hash string) []fuchsiaspoke.Generation {
	return q.removeAll(func(g fuchsiaspoke.Generation) bool { return hash != "" && g.KeyHash == hash })
}

// RemoveAdapter takes out all generations that wait for the adapter.
func (q *Queuer) RemoveAdapter(adapter fuchsiaspoke.Adapter) []fuchsiaspoke.Generation {
	return q.removeAll(func(g fuchsiaspoke.Generation) bool { return g.Adapter == adapter })
}

// RemoveAll takes out everything.
func (q *Queuer) RemoveAll() []fuchsiaspoke.Generation {
	return q.removeAll(func(fuchsiaspoke.Generation) bool { return true })
}

// Len is the number of waiting generations.
func (q *Queuer) Len() int {
	return len(q.byID)
}

// Tokens is the bound on the waiting generations' tokens.
func (q *Queuer) Tokens() int64 {
	return q.tokens
}

// Waiting is the number of generations that wait for the adapter.
func (q *Queuer) Waiting(adapter fuchsiaspoke.Adapter) int {
	return q.wanted[adapter]
}

// Violations is the number of broken invariants seen.
func (q *Queuer) Violations() int {
	return q.violations
}

// Wanted yields the oldest generation of each account and adapter, lowest counter first, with the time of its push.
func (q *Queuer) Wanted(yield func(g fuchsiaspoke.Generation, since time.Duration) bool) {
	for depth := range scanAdapters {
		more := false
		for _, a := range q.active {
			if depth >= len(a.lines) {
				continue
			}
			more = true
			e := a.lines[depth].head
			if !yield(e.generation, e.since) {
				return
			}
		}
		if !more {
			return
		}
	}
}

// choose returns the entry to serve and its account's oldest runnable entry, and leaves the accounts passed over.
func (q *Queuer) choose(fits func(fuchsiaspoke.Generation) int) (chosen, oldest *entry) {
	q.passed = q.passed[:0]
	var due *entry
	room := int64(PassOverTokens)
	for _, a := range q.active {
		if due != nil && a.counter > due.line.account.counter+PassOverTokens {
			break
		}
		first, preferred := q.scan(a, fits)
		if first == nil {
			continue
		}
		if due == nil {
			due = first
		}
		own := min(room, PassOverTokens-a.passedOver)
		if preferred == due || preferred != nil && preferred == first && cost(preferred) <= room {
			return preferred, first
		}
		if preferred != nil && cost(preferred) <= own {
			return preferred, first
		}
		room = own
		q.passed = append(q.passed, a)
	}
	q.passed = q.passed[:0]
	return due, due
}

// scan returns the account's oldest runnable entry and its oldest preferred one.
func (q *Queuer) scan(a *account, fits func(fuchsiaspoke.Generation) int) (first, preferred *entry) {
	if q.reserving && a.running == q.most {
		return nil, nil
	}
	for _, l := range a.lines[:min(len(a.lines), scanAdapters)] {
		e := l.head
		fit := fits(e.generation)
		if fit >= Runnable && (first == nil || e.seq < first.seq) {
			first = e
		}
		if fit >= Preferred && (preferred == nil || e.seq < preferred.seq) {
			preferred = e
		}
	}
	return first, preferred
}

// isHeadroom reports whether the free places are headroom and a second account came lately.
func (q *Queuer) isHeadroom(now time.Duration) bool {
	return q.Headroom > 0 && q.running >= q.Batch-q.Headroom && q.second.name != "" && now-q.second.at <= headroomMemory
}

// notePush keeps the latest push of two accounts.
func (q *Queuer) notePush(now time.Duration, name string) {
	if q.first.name != name {
		q.second = q.first
	}
	q.first = arrival{name, now}
}

// setRunning changes the account's number of running requests and the largest one of all accounts.
func (q *Queuer) setRunning(a *account, n int) {
	for len(q.levels) <= max(n, a.running) {
		q.levels = append(q.levels, 0)
	}
	if a.running > 0 {
		q.levels[a.running]--
	}
	q.running += n - a.running
	a.running = n
	if n > 0 {
		q.levels[n]++
	}
	q.most = max(q.most, n)
	for q.most > 0 && q.levels[q.most] == 0 {
		q.most--
	}
}

// countPassed adds the served entry to the account of each one passed over and asserts the bound.
func (q *Queuer) countPassed(served *account, e, oldest *entry) {
	for _, a := range q.passed {
		q.passOver(a, cost(e))
	}
	if e == oldest {
		served.passedOver = 0
		return
	}
	q.passOver(served, cost(e))
}

func (q *Queuer) passOver(a *account, tokens int64) {
	a.passedOver += tokens
	if a.passedOver > PassOverTokens {
		q.violate(fmt.Sprintf("account %s passed over by %d tokens", a.name, a.passedOver))
	}
}

// liftLagging raises accounts that wait for adapters to the bound behind the served account, and asserts it.
func (q *Queuer) liftLagging(served *account) {
	limit := served.counter - LagTokens
	for _, a := range q.active {
		if a.counter >= limit {
			break
		}
		a.counter = limit
	}
	if len(q.active) > 0 && q.active[0].counter < limit {
		q.violate("account " + q.active[0].name + " lags beyond the bound")
	}
}

func (q *Queuer) insert(now time.Duration, g fuchsiaspoke.Generation, seq int64) bool {
	q.init()
	if q.byID[g.RequestID] != nil {
		return false
	}
	e := q.newEntry()
	e.generation, e.seq, e.since, e.deadline = g, seq, now, now+g.Patience
	a := q.account(g.Account)
	l := q.line(a, g.Adapter)
	l.put(e)
	a.waiting++
	if a.waiting == 1 {
		q.activate(a)
	}
	q.byID[g.RequestID] = e
	q.wanted[g.Adapter]++
	q.tokens += g.CostTokens()
	q.expiries.push(e)
	return true
}

func (q *Queuer) remove(e *entry) {
	g, l := e.generation, e.line
	a := l.account
	delete(q.byID, g.RequestID)
	q.expiries.remove(e)
	q.tokens -= g.CostTokens()
	if q.wanted[g.Adapter]--; q.wanted[g.Adapter] == 0 {
		delete(q.wanted, g.Adapter)
	}
	l.take(e)
	if l.head == nil {
		a.removeLine(l)
		delete(q.lines, lineKey{a.name, l.adapter})
		q.recycleLine(l)
	}
	if a.waiting--; a.waiting == 0 {
		q.deactivate(a)
	}
	q.recycleEntry(e)
}

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

func (q *Queuer) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name}
		q.accounts[name] = a
	}
	return a
}

// activate lifts the account to the lowest active counter, or to that of the last one to leave an empty queue.
func (q *Queuer) activate(a *account) {
	floor := q.lastLeft
	if len(q.active) > 0 {
		floor = q.active[0].counter
	}
	a.counter = max(a.counter, floor)
	a.passedOver = 0
	a.pos = len(q.active)
	q.active = append(q.active, a)
	q.settle(a)
}

func (q *Queuer) deactivate(a *account) {
	copy(q.active[a.pos:], q.active[a.pos+1:])
	q.active = q.active[:len(q.active)-1]
	for i := a.pos; i < len(q.active); i++ {
		q.active[i].pos = i
	}
	q.lastLeft = a.counter
}

func (q *Queuer) add(a *account, weighted int64) {
	a.counter += weighted
	if a.waiting > 0 {
		q.settle(a)
	}
}

// settle moves one account to its place in the order of counters.
func (q *Queuer) settle(a *account) {
	for a.pos > 0 && q.active[a.pos-1].counter > a.counter {
		q.swap(a.pos - 1)
	}
	for a.pos+1 < len(q.active) && q.active[a.pos+1].counter <= a.counter {
		q.swap(a.pos)
	}
}

func (q *Queuer) swap(i int) {
	q.active[i], q.active[i+1] = q.active[i+1], q.active[i]
	q.active[i].pos = i
	q.active[i+1].pos = i + 1
}

func (q *Queuer) init() {
	if q.accounts != nil {
		return
	}
	q.accounts = make(map[string]*account)
	q.lines = make(map[lineKey]*line)
	q.byID = make(map[string]*entry)
	q.wanted = make(map[fuchsiaspoke.Adapter]int)
}

func (q *Queuer) violate(detail string) {
	q.violations++
	if q.Violated != nil {
		q.Violated("queuer: " + detail)
	}
}

// cost is the bound on what a request adds to its account's counter.
func cost(e *entry) int64 {
	return PromptWeight*e.generation.PromptTokens + OutputWeight*e.generation.MaxOutputTokens
}

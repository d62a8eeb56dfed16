package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// quantum is the step of start tags, in tokens of cost, within which urgency decides between client accounts: about one prompt. It is
// small because a request of an account within its share waits for up to one quantum of each other account.
const quantum = 4096

// shares are the shares of client accounts in the capacity of the engines.
type shares interface {
	// Active reports whether fair queueing is active.
	Active() bool
	// Arrive and Leave record that a request of an account begins to wait, and that it no longer does.
	Arrive(now time.Duration, account string)
	Leave(account string)
	// Charge charges a cost in tokens to an account.
	Charge(now time.Duration, account string, cost int64)
	// Counter returns an account's virtual token counter, and the weight by which its costs are divided.
	Counter(now time.Duration, account string) (tokens int64, weight float64)
}

// fairOrder is the place of a queued request in the order of sortFairly.
type fairOrder struct {
	// counted means that the request counts as waiting in Shares.
	counted bool
	late    int
	// step is the number of quanta between the lowest counter and the request's start tag.
	step int64
	// tags are those of the request's client account.
	tags *accountTags
}

// accountTags are the start tags of one account while they are computed.
type accountTags struct {
	next   int64
	weight float64
	// last is the account's last request in the queue so far; nil if it has none.
	last *queuedRequest
}

func (s *Scheduler) fair() bool { return s.Shares != nil && s.Shares.Active() }

// cost is what a request costs its client account: uncached prompt tokens and output tokens.
func (q *queuedRequest) cost() int64 { return q.uncachedTokens + q.Demand.OutputTokens }

// sortFairly sorts the queue by start-time fair queueing (Goyal, Vin and Cheng, 1996) over virtual token counters: requests that can
// meet their due time before late ones; within these, by the step of their start tags; within a step, by priority and due time. A
// request's start tag is the counter of its client account plus the cost of the account's requests that are more urgent.
//
// The requests of one account are in order of urgency in the sorted queue as well, so that a queue that was sorted before is seldom
// sorted again as a whole.
func (s *Scheduler) sortFairly(now time.Duration) {
	if !s.resetTags(now) {
		slices.SortStableFunc(s.queue, compareUrgency)
	}
	for _, q := range s.queue {
		q.step = step(q.tags.next - s.lowestTag)
		q.tags.next += weighted(q.cost(), q.tags.weight)
	}
	if !slices.IsSortedFunc(s.queue, compareFairly) {
		slices.SortStableFunc(s.queue, compareFairly)
	}
}

// resetTags computes which requests are late, and sets the next start tag of each account in the queue to its counter. It reports whether
// the requests of each account are in order of urgency.
func (s *Scheduler) resetTags(now time.Duration) (ordered bool) {
	if s.tags == nil {
		s.tags = make(map[string]*accountTags)
	}
	for _, t := range s.tags {
		t.last = nil
	}
	ordered = true
	for i, q := range s.queue {
		q.late = s.lateRank(now, q)
		if q.tags == nil {
			if s.tags[q.Account] == nil {
				s.tags[q.Account] = &accountTags{}
			}
			q.tags = s.tags[q.Account]
		}
		if q.tags.last == nil {
			q.tags.next, q.tags.weight = s.Shares.Counter(now, q.Account)
			if i == 0 || q.tags.next < s.lowestTag {
				s.lowestTag = q.tags.next
			}
		} else if compareUrgency(q.tags.last, q) > 0 {
			ordered = false
		}
		q.tags.last = q
	}
	for name, t := range s.tags {
		if t.last == nil {
			delete(s.tags, name)
		}
	}
	return ordered
}

// placeFairly sets the place that a request would have in the sorted queue, to which it was not added yet.
func (s *Scheduler) placeFairly(now time.Duration, q *queuedRequest) {
	q.late = s.lateRank(now, q)
	tag, weight := s.Shares.Counter(now, q.Account)
	for _, other := range s.queue {
		if other.Account == q.Account && compareUrgency(other, q) <= 0 {
			tag += weighted(other.cost(), weight)
		}
	}
	q.step = step(tag - s.lowestTag)
}

// precedesFairly reports whether a goes before b, or has the same rank, in the order of sortFairly. The time is not used: late ranks are
// computed by sortFairly and placeFairly.
func precedesFairly(_ time.Duration, a, b *queuedRequest) bool { return compareFairly(a, b) <= 0 }

func compareFairly(a, b *queuedRequest) int {
	return cmp.Or(
		cmp.Compare(a.late, b.late), cmp.Compare(a.step, b.step), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.dueAt, b.dueAt),
	)
}

// compareUrgency compares two requests without regard to their client accounts.
func compareUrgency(a, b *queuedRequest) int {
	return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.dueAt, b.dueAt))
}

// step returns the number of whole quanta in a difference of counters, which may be below 0.
func step(tokens int64) int64 { return int64(math.Floor(float64(tokens) / quantum)) }

func weighted(cost int64, weight float64) int64 { return int64(float64(cost) / weight) }

// fairBacklog returns the backlog of a client account within its share, which does not wait for what is beyond the shares of others; 0
// where fair queueing is not active, and at least 1 where it is.
func (s *Scheduler) fairBacklog() int64 {
	if !s.fair() {
		return 0
	}
	tokens := s.pendingPrefillTokens
	for _, q := range s.queue {
		if q.step <= 0 {
			tokens += q.uncachedTokens
		}
	}
	return max(tokens, 1)
}

// insert adds a request to the queue. Where fair queueing is active, it counts as waiting, and its place is that of placeFairly, so that
// the queue stays sorted.
func (s *Scheduler) insert(now time.Duration, q *queuedRequest) {
	if !s.fair() {
		s.queue = append(s.queue, q)
		return
	}
	s.Shares.Arrive(now, q.Account)
	q.counted = true
	at := len(s.queue)
	for at > 0 && compareFairly(s.queue[at-1], q) > 0 {
		at--
	}
	s.queue = slices.Insert(s.queue, at, q)
}

// leave ends the wait of a request.
func (s *Scheduler) leave(q *queuedRequest) {
	if q.counted {
		s.Shares.Leave(q.Account)
		q.counted = false
	}
}

// charge charges a cost to a client account where fair queueing is active.
func (s *Scheduler) charge(now time.Duration, account string, cost int64) {
	if s.fair() {
		s.Shares.Charge(now, account, cost)
	}
}

// returnOutputCost gives back the cost of the output of a granted request that ends without a first event.
func (s *Scheduler) returnOutputCost(now time.Duration, r *grantedRequest) {
	if !r.prefilled {
		s.charge(now, r.account, -r.demand.OutputTokens)
	}
}

// Close ends the wait of all queued requests in Shares. The scheduler must not be used afterwards.
func (s *Scheduler) Close() {
	for _, q := range s.queue {
		s.leave(q)
	}
	s.queue = nil
}

package queuer

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/accountant"
)

// entry is one waiting generation; it is in an adapterQueue and in the expiryHeap.
type entry struct {
	generation   fuchsiaspoke.Generation
	seq          int64
	pushedAt     time.Duration
	deadline     time.Duration
	adapterQueue *adapterQueue
	prev, next   *entry
	expiryIndex  int
}

// adapterQueueKey identifies an adapterQueue.
type adapterQueueKey struct {
	account string
	adapter fuchsiaspoke.Adapter
}

// adapterQueue is the FIFO queue of one account's waiting generations for one adapter.
type adapterQueue struct {
	account    *account
	adapter    fuchsiaspoke.Adapter
	head, tail *entry
	heapIndex  int
	nextFree   *adapterQueue
}

// account is one client account's virtual token counter and its adapter queues, a min-heap by the sequence number of
// their heads.
type account struct {
	name string
	// counter is the account's virtual token counter, in weighted tokens.
	counter accountant.Account[*account]
	// bypassedTokens bounds the weighted tokens served ahead of the account's oldest runnable request since such a request
	// was last served or the account became active.
	bypassedTokens int64
	running        int
	waiting        int
	queues         []*adapterQueue
}

// accountPush is an account's name and the time of its latest push.
type accountPush struct {
	name string
	at   time.Duration
}

// adapterQueue returns the account's queue for the adapter and creates it if it does not exist.
func (q *Queuer) adapterQueue(a *account, adapter fuchsiaspoke.Adapter) *adapterQueue {
	key := adapterQueueKey{a.name, adapter}
	aq := q.adapterQueues[key]
	if aq != nil {
		return aq
	}
	aq = q.freeQueues
	if aq == nil {
		aq = &adapterQueue{}
	} else {
		q.freeQueues = aq.nextFree
	}
	*aq = adapterQueue{account: a, adapter: adapter, heapIndex: -1}
	q.adapterQueues[key] = aq
	return aq
}

func (q *Queuer) recycleAdapterQueue(aq *adapterQueue) {
	*aq = adapterQueue{nextFree: q.freeQueues}
	q.freeQueues = aq
}

func (q *Queuer) newEntry() *entry {
	e := q.freeEntries
	if e == nil {
		return &entry{}
	}
	q.freeEntries = e.next
	e.next = nil
	return e
}

func (q *Queuer) recycleEntry(e *entry) {
	*e = entry{next: q.freeEntries}
	q.freeEntries = e
}

// add appends an entry, or inserts it at the front if its sequence number is lower than the head's.
func (aq *adapterQueue) add(e *entry) {
	e.adapterQueue = aq
	switch {
	case aq.head == nil:
		aq.head, aq.tail = e, e
		aq.account.addQueue(aq)
	case e.seq < aq.head.seq:
		e.next, aq.head.prev = aq.head, e
		aq.head = e
		aq.account.siftUp(aq.heapIndex)
	default:
		e.prev, aq.tail.next = aq.tail, e
		aq.tail = e
	}
}

// unlink removes an entry from the list; the caller removes a queue that becomes empty.
func (aq *adapterQueue) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		aq.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		aq.tail = e.prev
	}
	if aq.head != nil && e.prev == nil {
		aq.account.siftDown(aq.heapIndex)
	}
}

func (a *account) addQueue(aq *adapterQueue) {
	aq.heapIndex = len(a.queues)
	a.queues = append(a.queues, aq)
	a.siftUp(aq.heapIndex)
}

func (a *account) removeQueue(aq *adapterQueue) {
	i, last := aq.heapIndex, len(a.queues)-1
	a.swap(i, last)
	a.queues[last] = nil
	a.queues = a.queues[:last]
	if i < last {
		a.siftUp(i)
		a.siftDown(i)
	}
}

func (a *account) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if a.queues[parent].head.seq <= a.queues[i].head.seq {
			return
		}
		a.swap(i, parent)
		i = parent
	}
}

func (a *account) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(a.queues) {
			return
		}
		if child+1 < len(a.queues) && a.queues[child+1].head.seq < a.queues[child].head.seq {
			child++
		}
		if a.queues[i].head.seq <= a.queues[child].head.seq {
			return
		}
		a.swap(i, child)
		i = child
	}
}

func (a *account) swap(i, j int) {
	a.queues[i], a.queues[j] = a.queues[j], a.queues[i]
	a.queues[i].heapIndex = i
	a.queues[j].heapIndex = j
}

package queuer

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// entry is one waiting generation.
type entry struct {
	generation fuchsiaspoke.Generation
	seq        int64
	since      time.Duration
	deadline   time.Duration
	line       *line
	prev, next *entry
	expiryPos  int
}

// lineKey names a line.
type lineKey struct {
	account string
	adapter fuchsiaspoke.Adapter
}

// line is what one account has waiting for one adapter, oldest first.
type line struct {
	account    *account
	adapter    fuchsiaspoke.Adapter
	head, tail *entry
	pos        int
	nextFree   *line
}

// account is one client account's counter and its lines, a heap by the age of their heads.
type account struct {
	name       string
	counter    int64
	passedOver int64
	running    int
	waiting    int
	pos        int
	lines      []*line
}

// arrival is the time of an account's latest push.
type arrival struct {
	name string
	at   time.Duration
}

// line returns the account's line for the adapter and makes it where there is none.
func (q *Queuer) line(a *account, adapter fuchsiaspoke.Adapter) *line {
	key := lineKey{a.name, adapter}
	l := q.lines[key]
	if l != nil {
		return l
	}
	l = q.freeLine
	if l == nil {
		l = &line{}
	} else {
		q.freeLine = l.nextFree
	}
	*l = line{account: a, adapter: adapter, pos: -1}
	q.lines[key] = l
	return l
}

func (q *Queuer) recycleLine(l *line) {
	*l = line{nextFree: q.freeLine}
	q.freeLine = l
}

func (q *Queuer) newEntry() *entry {
	e := q.freeEntry
	if e == nil {
		return &entry{}
	}
	q.freeEntry = e.next
	e.next = nil
	return e
}

func (q *Queuer) recycleEntry(e *entry) {
	*e = entry{next: q.freeEntry}
	q.freeEntry = e
}

// put adds an entry at the end, or at the front where it is older than the head.
func (l *line) put(e *entry) {
	e.line = l
	switch {
	case l.head == nil:
		l.head, l.tail = e, e
		l.account.addLine(l)
	case e.seq < l.head.seq:
		e.next, l.head.prev = l.head, e
		l.head = e
		l.account.up(l.pos)
	default:
		e.prev, l.tail.next = l.tail, e
		l.tail = e
	}
}

// take unlinks an entry; the caller removes a line that it leaves empty.
func (l *line) take(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.tail = e.prev
	}
	if l.head != nil && e.prev == nil {
		l.account.down(l.pos)
	}
}

func (a *account) addLine(l *line) {
	l.pos = len(a.lines)
	a.lines = append(a.lines, l)
	a.up(l.pos)
}

func (a *account) removeLine(l *line) {
	i, last := l.pos, len(a.lines)-1
	a.swap(i, last)
	a.lines[last] = nil
	a.lines = a.lines[:last]
	if i < last {
		a.up(i)
		a.down(i)
	}
}

func (a *account) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if a.lines[parent].head.seq <= a.lines[i].head.seq {
			return
		}
		a.swap(i, parent)
		i = parent
	}
}

func (a *account) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(a.lines) {
			return
		}
		if child+1 < len(a.lines) && a.lines[child+1].head.seq < a.lines[child].head.seq {
			child++
		}
		if a.lines[i].head.seq <= a.lines[child].head.seq {
			return
		}
		a.swap(i, child)
		i = child
	}
}

func (a *account) swap(i, j int) {
	a.lines[i], a.lines[j] = a.lines[j], a.lines[i]
	a.lines[i].pos = i
	a.lines[j].pos = j
}

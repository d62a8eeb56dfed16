// Package recordkeeper keeps records of streams for as long as their callers may resume them.
package recordkeeper

import (
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// defaultCapacity is the number of records beyond which the oldest is dropped. A record takes about 150 bytes.
	defaultCapacity = 20_000
	// maxTTL bounds how long a record is kept, whatever its caller says.
	maxTTL = 2 * time.Minute
)

// RecordKeeper is a bounded set of records. Its zero value is ready to use, and it is safe for concurrent use.
type RecordKeeper struct {
	// Capacity is the largest number of records; 0 means 20,000.
	Capacity int

	mu      sync.Mutex
	records map[fuchsiaspoke.StreamKey]entry
	// order holds the keys in the order in which they were put; those of replaced records occur again.
	order []fuchsiaspoke.StreamKey
}

type entry struct {
	origin    fuchsiaspoke.StreamOrigin
	expiresAt time.Duration
}

// Put adds a record. The origin of a stream that is known does not change.
func (k *RecordKeeper) Put(now time.Duration, r fuchsiaspoke.StreamRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil {
		k.records = make(map[fuchsiaspoke.StreamKey]entry)
	}
	if known, found := k.records[r.Key]; found && known.expiresAt >= now {
		return
	} else if !found {
		k.order = append(k.order, r.Key)
	}
	k.records[r.Key] = entry{r.Origin, now + min(r.TTL, maxTTL)}
	for len(k.order) > k.capacity() || len(k.order) > 0 && k.records[k.order[0]].expiresAt < now {
		delete(k.records, k.order[0])
		k.order = k.order[1:]
	}
}

func (k *RecordKeeper) capacity() int {
	if k.Capacity > 0 {
		return k.Capacity
	}
	return defaultCapacity
}

// Get returns the origin of a stream, and whether it is known.
func (k *RecordKeeper) Get(now time.Duration, key fuchsiaspoke.StreamKey) (fuchsiaspoke.StreamOrigin, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, known := k.records[key]
	return e.origin, known && now <= e.expiresAt
}

// Len returns the number of records, expired ones included that were not yet dropped.
func (k *RecordKeeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.records)
}

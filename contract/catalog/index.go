package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketBits = 10
	buckets    = 1 << bucketBits
)

// index finds the shards that hold a name; a copy shares the buckets that a change leaves alone.
type index struct {
	shards  []*shard
	buckets [][]slot
}

// slot ties the hash of a name to its place; it has no pointers, so that the collector skips it.
type slot struct {
	hash uint64
	// shard is a position in the index's shards.
	shard uint32
	// at is a position in the shard.
	at uint32
}

// find returns the name's place in the shard with the lowest document name, or nil.
func (x index) find(name string) (*shard, int) {
	hash := xxhash.Sum64String(name)
	bucket, i := x.first(hash)
	var best *shard
	var position int
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s, at := x.shards[bucket[i].shard], int(bucket[i].at)
		if s.name(at) == name && (best == nil || s.doc.Name < best.doc.Name) {
			best, position = s, at
		}
	}
	return best, position
}

// any reports whether the name fits in any of the shards that hold it.
func (x index) any(name string, fits func(s *shard, at int) bool) bool {
	hash := xxhash.Sum64String(name)
	bucket, i := x.first(hash)
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s, at := x.shards[bucket[i].shard], int(bucket[i].at)
		if s.name(at) == name && fits(s, at) {
			return true
		}
	}
	return false
}

// first returns the hash's bucket and the position of the first slot that is not below the hash.
func (x index) first(hash uint64) ([]slot, int) {
	if x.buckets == nil {
		return nil, 0
	}
	bucket := x.buckets[bucketOf(hash)]
	low, high := 0, len(bucket)
	for low < high {
		middle := (low + high) / 2
		if bucket[middle].hash < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return bucket, low
}

// with replaces a shard by its next revision, or adds one where old is nil.
func (x index) with(old, next *shard) index {
	number := slices.Index(x.shards, old)
	x.shards = slices.Clone(x.shards)
	if old == nil {
		number = len(x.shards)
		x.shards = append(x.shards, nil)
	}
	x.shards[number] = next
	return x.withChanges(changesOf(uint32(number), old, next))
}

// withChanges copies the buckets that change, each once.
func (x index) withChanges(changes map[uint64]*change) index {
	if len(changes) == 0 {
		return x
	}
	copied := make([][]slot, buckets)
	copy(copied, x.buckets)
	for b, c := range changes {
		copied[b] = c.apply(copied[b])
	}
	x.buckets = copied
	return x
}

// change is what comes to one bucket and goes from it.
type change struct {
	add    []slot
	remove []slot
}

// changesOf compares two revisions place by place; most revisions change versions and no names.
func changesOf(number uint32, old, next *shard) map[uint64]*change {
	changes := map[uint64]*change{}
	for at := range max(old.names(), next.names()) {
		gone, comes := at < old.names(), at < next.names()
		if gone && comes && old.name(at) == next.name(at) {
			continue
		}
		if gone {
			s := slot{xxhash.Sum64String(old.name(at)), number, uint32(at)}
			c := changeIn(changes, s.hash)
			c.remove = append(c.remove, s)
		}
		if comes {
			s := slot{xxhash.Sum64String(next.name(at)), number, uint32(at)}
			c := changeIn(changes, s.hash)
			c.add = append(c.add, s)
		}
	}
	return changes
}

func changeIn(changes map[uint64]*change, hash uint64) *change {
	b := bucketOf(hash)
	if changes[b] == nil {
		changes[b] = &change{}
	}
	return changes[b]
}

func (c *change) apply(bucket []slot) []slot {
	next := make([]slot, 0, len(bucket)+len(c.add))
	next = append(next, bucket...)
	for _, gone := range c.remove {
		if i := slices.Index(next, gone); i >= 0 {
			next = slices.Delete(next, i, i+1)
		}
	}
	next = append(next, c.add...)
	slices.SortFunc(next, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.shard, b.shard))
	})
	return next
}

func bucketOf(hash uint64) uint64 {
	return hash >> (64 - bucketBits)
}

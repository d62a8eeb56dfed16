package catalog

import (
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

// slot ties the hash of a name to a position in the index's shards; without pointers, so that the collector skips it.
type slot struct {
	hash  uint64
	shard uint32
}

func (x index) find(name string) (*shard, int) {
	hash := xxhash.Sum64String(name)
	bucket, i := x.first(hash)
	var best *shard
	var position int32
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s := x.shards[bucket[i].shard]
		at, ok := s.at[name]
		if ok && (best == nil || s.doc.Name < best.doc.Name) {
			best, position = s, at
		}
	}
	return best, int(position)
}

// any reports whether the name fits in any of the shards that hold it.
func (x index) any(name string, fits func(s *shard, at int) bool) bool {
	hash := xxhash.Sum64String(name)
	bucket, i := x.first(hash)
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s := x.shards[bucket[i].shard]
		if at, ok := s.at[name]; ok && fits(s, int(at)) {
			return true
		}
	}
	return false
}

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
	if old == nil {
		number = len(x.shards)
	}
	x.shards = append(slices.Clone(x.shards[:number]), append([]*shard{next}, x.shards[min(number+1, len(x.shards)):]...)...)
	var gone map[string]int32
	if old != nil {
		gone = old.at
	}
	return x.withSlots(uint32(number), gone, next.at)
}

// withSlots copies the buckets of the names that came or went, each once.
func (x index) withSlots(number uint32, old, next map[string]int32) index {
	changes := map[uint64]*change{}
	for name := range next {
		if _, kept := old[name]; !kept {
			hash := xxhash.Sum64String(name)
			c := changeIn(changes, hash)
			c.add = append(c.add, slot{hash, number})
		}
	}
	for name := range old {
		if _, kept := next[name]; !kept {
			hash := xxhash.Sum64String(name)
			c := changeIn(changes, hash)
			c.remove = append(c.remove, slot{hash, number})
		}
	}
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

type change struct {
	add    []slot
	remove []slot
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
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return int(a.shard) - int(b.shard)
	})
	return next
}

func bucketOf(hash uint64) uint64 {
	return hash >> (64 - bucketBits)
}

package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	bucketBits  = 10
	bucketCount = 1 << bucketBits
)

// index is a hash index from the name of an item to the shards that hold it. It is copied on write: the copy shares the
// unchanged buckets with the original.
type index struct {
	shards  []*shard
	buckets [][]slot
}

// slot maps the hash of a name to its shard and item. It has no pointers, so that the garbage collector does not scan the
// buckets.
type slot struct {
	hash uint64
	// shard is the position in the index's shards.
	shard uint32
	// item is the position among the shard's items.
	item uint32
}

// find returns the shard that holds the name, and the item's position in it, or nil. If several shards hold the name, it
// returns the one with the lowest document name.
func (x index) find(name string) (*shard, int) {
	hash := xxhash.Sum64String(name)
	bucket, i := x.lowerBound(hash)
	var best *shard
	var position int
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s, item := x.shards[bucket[i].shard], int(bucket[i].item)
		if s.name(item) == name && (best == nil || s.doc.Name < best.doc.Name) {
			best, position = s, item
		}
	}
	return best, position
}

// anyMatch reports whether matches is true for the name in any of the shards that hold it.
func (x index) anyMatch(name string, matches func(s *shard, item int) bool) bool {
	hash := xxhash.Sum64String(name)
	bucket, i := x.lowerBound(hash)
	for ; i < len(bucket) && bucket[i].hash == hash; i++ {
		s, item := x.shards[bucket[i].shard], int(bucket[i].item)
		if s.name(item) == name && matches(s, item) {
			return true
		}
	}
	return false
}

// lowerBound returns the hash's bucket and the position of the first slot whose hash is not lower.
func (x index) lowerBound(hash uint64) ([]slot, int) {
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

// with replaces a shard by its next revision, or adds next if old is nil.
func (x index) with(old, next *shard) index {
	shardIndex := slices.Index(x.shards, old)
	x.shards = slices.Clone(x.shards)
	if old == nil {
		shardIndex = len(x.shards)
		x.shards = append(x.shards, nil)
	}
	x.shards[shardIndex] = next
	return x.withChanges(diffShards(uint32(shardIndex), old, next))
}

// withChanges returns an index with copies of the changed buckets, each copied once.
func (x index) withChanges(changes map[uint64]*bucketChange) index {
	if len(changes) == 0 {
		return x
	}
	copied := make([][]slot, bucketCount)
	copy(copied, x.buckets)
	for b, c := range changes {
		copied[b] = c.apply(copied[b])
	}
	x.buckets = copied
	return x
}

// bucketChange lists the slots to add to one bucket and to remove from it.
type bucketChange struct {
	add    []slot
	remove []slot
}

// diffShards compares two revisions item by item, by position. This keeps most changes small, since most revisions change
// adapter versions and leave names and positions as they are.
func diffShards(shardIndex uint32, old, next *shard) map[uint64]*bucketChange {
	changes := map[uint64]*bucketChange{}
	for item := range max(old.nameCount(), next.nameCount()) {
		removed, added := item < old.nameCount(), item < next.nameCount()
		if removed && added && old.name(item) == next.name(item) {
			continue
		}
		if removed {
			s := slot{xxhash.Sum64String(old.name(item)), shardIndex, uint32(item)}
			c := changeForHash(changes, s.hash)
			c.remove = append(c.remove, s)
		}
		if added {
			s := slot{xxhash.Sum64String(next.name(item)), shardIndex, uint32(item)}
			c := changeForHash(changes, s.hash)
			c.add = append(c.add, s)
		}
	}
	return changes
}

func changeForHash(changes map[uint64]*bucketChange, hash uint64) *bucketChange {
	b := bucketOf(hash)
	if changes[b] == nil {
		changes[b] = &bucketChange{}
	}
	return changes[b]
}

func (c *bucketChange) apply(bucket []slot) []slot {
	next := make([]slot, 0, len(bucket)+len(c.add))
	next = append(next, bucket...)
	for _, removed := range c.remove {
		if i := slices.Index(next, removed); i >= 0 {
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

package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// bytesPerToken is the prompt length in bytes that counts as one token.
	bytesPerToken  = 4
	tokensPerBlock = 16
	bytesPerBlock  = bytesPerToken * tokensPerBlock
	// cacheEventDelay is the time between a cache change and its visibility in /v1/cache_events.
	cacheEventDelay = 500 * time.Millisecond
	// cacheEventDropInterval is the interval of dropped events: every seventh is dropped, which simulates gaps in the numbering.
	cacheEventDropInterval = 7
	maxCacheEvents         = 1024
)

// prefixCache is an LRU cache of prompt blocks. A block's key is the hash of its adapter and of the prompt up to the
// block's end.
type prefixCache struct {
	capacityBlocks int
	blocks         map[uint64]*list.Element
	// lru lists the cached blocks, the most recently used first.
	lru             list.List
	events          []cacheEvent
	lastEventNumber int64
}

// cacheEvent is one entry of the response to GET /v1/cache_events.
type cacheEvent struct {
	Number  int64                `json:"number"`
	Kind    string               `json:"kind"`
	Adapter fuchsiaspoke.Adapter `json:"adapter"`
	Block   uint64               `json:"block"`

	recordedAt time.Time
}

type cachedBlock struct {
	adapter fuchsiaspoke.Adapter
	hash    uint64
}

// matchAndInsert caches the prompt's full blocks and returns the number of prompt tokens in the longest prefix that was
// already cached.
func (c *prefixCache) matchAndInsert(adapter fuchsiaspoke.Adapter, prompt string, now time.Time) int64 {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	h := fnv.New64a()
	h.Write([]byte(adapter.Name))
	h.Write([]byte{byte(adapter.Version), byte(adapter.Version >> 8), '\n'})
	var matchedTokens int64
	missed := false
	for end := bytesPerBlock; end <= len(prompt); end += bytesPerBlock {
		h.Write([]byte(prompt[end-bytesPerBlock : end]))
		element, ok := c.blocks[h.Sum64()]
		if ok {
			c.lru.MoveToFront(element)
		} else {
			c.insert(cachedBlock{adapter: adapter, hash: h.Sum64()}, now)
		}
		missed = missed || !ok
		if !missed {
			matchedTokens += tokensPerBlock
		}
	}
	return matchedTokens
}

// insert adds a block and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) insert(block cachedBlock, now time.Time) {
	c.blocks[block.hash] = c.lru.PushFront(block)
	c.recordEvent("stored", block, now)
	for len(c.blocks) > c.capacityBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(cachedBlock)
		delete(c.blocks, oldest.hash)
		c.recordEvent("removed", oldest, now)
	}
}

// recordEvent numbers each change, drops one in cacheEventDropInterval and keeps the latest maxCacheEvents.
func (c *prefixCache) recordEvent(kind string, block cachedBlock, now time.Time) {
	c.lastEventNumber++
	if c.lastEventNumber%cacheEventDropInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.lastEventNumber, Kind: kind, Adapter: block.adapter, Block: block.hash, recordedAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events numbered above after that are at least cacheEventDelay old.
func (c *prefixCache) eventsAfter(after int64, now time.Time) []cacheEvent {
	published := []cacheEvent{}
	for _, e := range c.events {
		if e.Number > after && now.Sub(e.recordedAt) >= cacheEventDelay {
			published = append(published, e)
		}
	}
	return published
}

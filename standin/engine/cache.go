package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	bytesPerToken  = 4
	blockTokens    = 16
	blockBytes     = bytesPerToken * blockTokens
	cacheEventLag  = 500 * time.Millisecond
	cacheEventGap  = 7
	maxCacheEvents = 1024
)

// prefixCache holds blocks of prompts by adapter, each named by the hash of everything before its end.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	// recent has the block that was used last in front.
	recent list.List
	events []cacheEvent
	number int64
}

type cacheEvent struct {
	Number  int64                `json:"number"`
	Kind    string               `json:"kind"`
	Adapter fuchsiaspoke.Adapter `json:"adapter"`
	Block   uint64               `json:"block"`

	at time.Time
}

type cachedBlock struct {
	adapter fuchsiaspoke.Adapter
	hash    uint64
}

// hit stores the prompt's blocks and returns how many of its tokens were there before.
func (c *prefixCache) hit(adapter fuchsiaspoke.Adapter, prompt string, now time.Time) int64 {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	h := fnv.New64a()
	h.Write([]byte(adapter.Name))
	h.Write([]byte{byte(adapter.Version), byte(adapter.Version >> 8), '\n'})
	var found int64
	missed := false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		h.Write([]byte(prompt[end-blockBytes : end]))
		element, ok := c.blocks[h.Sum64()]
		if ok {
			c.recent.MoveToFront(element)
		} else {
			c.store(cachedBlock{adapter: adapter, hash: h.Sum64()}, now)
		}
		missed = missed || !ok
		if !missed {
			found += blockTokens
		}
	}
	return found
}

func (c *prefixCache) store(block cachedBlock, now time.Time) {
	c.blocks[block.hash] = c.recent.PushFront(block)
	c.event("stored", block, now)
	for len(c.blocks) > c.limit {
		oldest := c.recent.Remove(c.recent.Back()).(cachedBlock)
		delete(c.blocks, oldest.hash)
		c.event("removed", oldest, now)
	}
}

// event numbers each change and loses every seventh.
func (c *prefixCache) event(kind string, block cachedBlock, now time.Time) {
	c.number++
	if c.number%cacheEventGap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.number, Kind: kind, Adapter: block.adapter, Block: block.hash, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a number that are old enough to be published.
func (c *prefixCache) since(after int64, now time.Time) []cacheEvent {
	got := []cacheEvent{}
	for _, e := range c.events {
		if e.Number > after && now.Sub(e.at) >= cacheEventLag {
			got = append(got, e)
		}
	}
	return got
}

package scheduler

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// prefixCacheTokens is the assumed capacity of an engine's prefix cache, in tokens.
const prefixCacheTokens = 110_000

// prefixCache estimates which prompt parts an engine has in its prefix cache, for each adapter.
type prefixCache struct {
	parts  map[partKey]cachedPart
	tokens int64
}

type partKey struct {
	adapter string
	part    string
}

type cachedPart struct {
	lastUsedAt time.Duration
	tokens     int64
}

// uncachedTokens estimates the prompt tokens that need prefill: those after the longest cached prefix, at least 1.
func (c *prefixCache) uncachedTokens(d fuchsiaspoke.Demand) int64 {
	remaining := d.PromptTokens
	for _, part := range d.Parts {
		if _, cached := c.parts[partKey{d.Adapter, part.ID}]; !cached {
			break
		}
		remaining -= part.Tokens
	}
	return max(remaining, 1)
}

// add records that the prompt's parts are cached; RecordFirstEvent calls it, as the prefill is complete then. Beyond
// prefixCacheTokens, the least recently used parts are removed, except the last one.
func (c *prefixCache) add(d fuchsiaspoke.Demand, now time.Duration) {
	if c.parts == nil {
		c.parts = make(map[partKey]cachedPart)
	}
	for _, part := range d.Parts {
		key := partKey{d.Adapter, part.ID}
		c.tokens += part.Tokens - c.parts[key].tokens
		c.parts[key] = cachedPart{lastUsedAt: now, tokens: part.Tokens}
	}
	for c.tokens > prefixCacheTokens && len(c.parts) > 1 {
		c.evictLeastRecentlyUsed()
	}
}

func (c *prefixCache) evictLeastRecentlyUsed() {
	var oldest partKey
	oldestUse := time.Duration(-1)
	for key, part := range c.parts {
		if oldestUse < 0 || part.lastUsedAt < oldestUse {
			oldest, oldestUse = key, part.lastUsedAt
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

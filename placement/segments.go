package placement

// This file defines Segment and segmentCache, the router's model of the prompt prefixes
// in a model server's KV cache.

import "container/list"

// Segment is a part of a prompt. ID identifies the prefix that ends with this segment.
type Segment struct {
	ID     uint64
	Tokens int
}

// segmentCache models the prompt segments in a model server's KV cache. The least
// recently used ones are evicted.
type segmentCache struct {
	capacityTokens, heldTokens int
	order                      *list.List               // front is the most recently used
	index                      map[uint64]*list.Element // by segment ID
}

// newSegmentCache returns an empty cache for the given number of tokens.
func newSegmentCache(limit int) *segmentCache {
	return &segmentCache{capacityTokens: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// cachedTokens returns the total length in tokens of the leading segments that are cached.
func (c *segmentCache) cachedTokens(segments []Segment) int {
	tokens := 0
	for _, s := range segments {
		if c.index[s.ID] == nil {
			break
		}
		tokens += s.Tokens
	}
	return tokens
}

// recordUse records that a request with these segments was sent to the server.
func (c *segmentCache) recordUse(segments []Segment) {
	for i := len(segments) - 1; i >= 0; i-- { // so that the first segment becomes the most recently used
		s := segments[i]
		if e := c.index[s.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.index[s.ID] = c.order.PushFront(s)
		c.heldTokens += s.Tokens
	}
	for c.heldTokens > c.capacityTokens && c.order.Len() > 0 {
		e := c.order.Back()
		s := c.order.Remove(e).(Segment)
		delete(c.index, s.ID)
		c.heldTokens -= s.Tokens
	}
}

// clear removes all segments, as a restart of the server does.
func (c *segmentCache) clear() {
	c.order.Init()
	clear(c.index)
	c.heldTokens = 0
}

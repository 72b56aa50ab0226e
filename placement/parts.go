package placement

// This file defines Part and partCache, what a model engine is believed to have read.

import "container/list"

// Part is one part of a prompt; its ID stands for the part and all parts before it.
type Part struct {
	ID     uint64
	Tokens int
}

// partCache is a model of an engine's cache of prompt parts: the least recently used yield.
type partCache struct {
	limit, held int
	order       *list.List // front is the newest
	index       map[uint64]*list.Element
}

func newPartCache(limit int) *partCache {
	return &partCache{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// known returns the tokens of the leading parts that the engine holds.
func (c *partCache) known(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.index[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use takes in that a request with these parts was sent to the engine.
func (c *partCache) use(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- { // the first part ends up as the newest
		p := parts[i]
		if e := c.index[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.index[p.ID] = c.order.PushFront(p)
		c.held += p.Tokens
	}
	for c.held > c.limit && c.order.Len() > 0 {
		e := c.order.Back()
		p := c.order.Remove(e).(Part)
		delete(c.index, p.ID)
		c.held -= p.Tokens
	}
}

// clear forgets everything, as after a restart of the engine.
func (c *partCache) clear() {
	c.order.Init()
	clear(c.index)
	c.held = 0
}

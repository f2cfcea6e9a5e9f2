package standin

import "sync"

// counts counts runs.
type counts struct {
	mu       sync.Mutex
	requests map[string]int
	keys     map[string]int
	bytes    map[string]int64
	total    int
}

func (c *counts) add(requestID, key string, bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests, c.keys, c.bytes = map[string]int{}, map[string]int{}, map[string]int64{}
	}
	c.total++
	c.requests[requestID]++
	c.bytes[requestID] = bodyBytes
	if key != "" {
		c.keys[key]++
	}
}

func (c *counts) ofRequest(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

func (c *counts) ofKey(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key]
}

func (c *counts) sum() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *counts) bodyBytesOf(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[id]
}

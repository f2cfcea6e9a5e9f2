package standin

import "sync"

// runCounts counts the requests that ran.
type runCounts struct {
	mu       sync.Mutex
	requests map[string]int   // runs by Tarragon-Request-Id
	keys     map[string]int   // runs by Idempotency-Key
	bytes    map[string]int64 // body length of the last run by Tarragon-Request-Id
	total    int
}

func (c *runCounts) add(requestID, key string, bodyBytes int64) {
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

func (c *runCounts) runsOfRequest(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

func (c *runCounts) runsOfKey(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key]
}

func (c *runCounts) totalRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *runCounts) bodyBytesOf(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[id]
}

package gateway

import (
	"math/rand/v2"
	"sync/atomic"
)

// counterShards is the number of parts of a sharedCounter; a power of two.
const counterShards = 16

// cacheLineBytes keeps the parts of a sharedCounter on cache lines of their own.
const cacheLineBytes = 64

// sharedCounter is a counter in parts, so that requests on several threads do not
// contend for one cache line.
type shardedCounter struct {
	shards [counterShards]struct {
		n atomic.Int64
		_ [cacheLineBytes - 8]byte
	}
}

func (c *shardedCounter) add(n int64) {
	c.shards[rand.Uint32()%counterShards].n.Add(n)
}

// sum returns the counter's value once all additions have ended; while some go
// on it may miss them.
func (c *shardedCounter) sum() int64 {
	total := int64(0)
	for i := range c.shards {
		total += c.shards[i].n.Load()
	}
	return total
}

package gateway

import (
	"math/rand/v2"
	"sync/atomic"
)

// counterShards is the number of shards of a shardedCounter; a power of two.
const counterShards = 16

// cacheLineBytes is the size to which a shard is padded, so that each has its own cache line.
const cacheLineBytes = 64

// shardedCounter is a counter in shards, so that requests on several threads do not
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

// sum returns the counter's value. It may miss additions that run concurrently.
func (c *shardedCounter) sum() int64 {
	total := int64(0)
	for i := range c.shards {
		total += c.shards[i].n.Load()
	}
	return total
}

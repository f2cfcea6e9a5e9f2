package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// demandTime is the time constant over which offered load is averaged.
	demandTimeConstant = 2 * time.Second
	// unknownRunTime stands for the run time of a class that has not run yet.
	defaultRunTime = 10 * time.Millisecond
	// leastLoad is the load that counts as none, in slots.
	minLoad = 0.01
)

// demand averages the load offered, in slots.
type demand struct {
	offered atomic.Int64  // expected run time of requests since the last update, in nanoseconds
	load    atomic.Uint64 // float64 bits

	mu        sync.Mutex
	updatedAt time.Time // of the last update
}

// add counts a request whose run time is expected to be runTime.
func (d *demand) add(runTime time.Duration) {
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	d.offered.Add(int64(runTime))
}

// update takes the load since the last update into the average.
func (d *demand) update(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := now.Sub(d.updatedAt)
	if d.updatedAt.IsZero() || elapsed <= 0 {
		d.updatedAt = now
		return
	}
	d.updatedAt = now
	recent := float64(d.offered.Swap(0)) / float64(elapsed)
	weight := -math.Expm1(-elapsed.Seconds() / demandTimeConstant.Seconds())
	load := d.average()
	d.load.Store(math.Float64bits(load + weight*(recent-load)))
}

// average returns the load in slots.
func (d *demand) average() float64 { return math.Float64frombits(d.load.Load()) }

package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// demandTimeConstant is the time constant of the average of offered load.
	demandTimeConstant = 2 * time.Second
	// defaultRunTime is the expected run time while no request has completed.
	defaultRunTime = 10 * time.Millisecond
	// minLoad is the load in slots below which a service counts as having none.
	minLoad = 0.01
)

// demand averages offered load, in slots.
type demand struct {
	offered atomic.Int64  // expected run time of requests since the last update, in nanoseconds
	load    atomic.Uint64 // average in slots, as float64 bits

	mu        sync.Mutex
	updatedAt time.Time // of the last update
}

// add counts a request with its expected run time; zero means unknown.
func (d *demand) add(runTime time.Duration) {
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	d.offered.Add(int64(runTime))
}

// update adds the load offered since the last update to the average.
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

// average returns the average load in slots.
func (d *demand) average() float64 { return math.Float64frombits(d.load.Load()) }

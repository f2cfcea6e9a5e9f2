package dispatch

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/retry"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

const (
	// allocationInterval is the time between two allocations of slots at an entry instance.
	allocationInterval = 250 * time.Millisecond
	// sameZoneLag is the longest time until a changed summary reaches peers of the own
	// availability zone: the mesh engine pushes it at the next check of its timers, which
	// happens every 200 ms.
	sameZoneLag = 250 * time.Millisecond
	// otherZoneLag is the longest time until it reaches peers of another availability
	// zone: it is sent to them with every fifth heartbeat.
	otherZoneLag = 10 * time.Second
)

// fakeEntry is one entry instance that uses the policy.
type fakeEntry struct {
	driver              *driver
	name                string
	zone                fleet.AvailabilityZone
	service             *Service
	executors           map[fleet.InstanceID]*fakeExecutor
	unreachable         func(*fakeExecutor) bool      // requests to such an executor are lost
	peerDemands         map[*fakeEntry]routing.Demand // as last received
	previouslyPublished routing.Demand                // before published
	published           routing.Demand                // as last sent to peers
	publishedAt         time.Duration
}

// addEntry adds an entry instance without executors that ticks and decays its windows.
func (d *driver) addEntry(zone fleet.AvailabilityZone, n int) *fakeEntry {
	e := &fakeEntry{driver: d, name: fmt.Sprintf("e%02d", n), zone: zone}
	e.service = New("svc", zone, DefaultSettings(), d.rng)
	d.after(0, func() {
		d.every(TickInterval, func() { e.service.Tick(d.clock()) })
		d.every(10*time.Second, e.service.DecayWindows)
	})
	return e
}

// setMembers sets the entry instance's executors and its shares of their slots.
func (e *fakeEntry) setMembers(executors []*fakeExecutor, shares []int) {
	e.executors = map[fleet.InstanceID]*fakeExecutor{}
	var endpoints []Endpoint
	for i, x := range executors {
		e.executors[x.id] = x
		endpoints = append(endpoints, Endpoint{ID: x.id, Zone: x.zone, Slots: x.slots, Share: shares[i]})
	}
	e.service.SetMembers(endpoints, 0, e.driver.clock())
}

// submit starts the first attempt of a call.
func (e *fakeEntry) submit(c *call) {
	c.verdict = verdict.NotRun
	e.service.Earn()
	e.acquire(c, nil)
}

func (e *fakeEntry) acquire(c *call, exclude *Executor) {
	w := &Waiter{Request: Request{
		Class:      c.workload.class,
		Priority:   c.workload.priority,
		Tenant:     c.workload.class,
		Deadline:   epoch.Add(c.createdAt + c.workload.timeout),
		Repeatable: c.workload.repeatable,
		Exclude:    exclude,
	}}
	w.Deliver = func(g Grant) { e.handleGrant(c, g) }
	grant, queued := e.service.Acquire(w, e.driver.clock())
	if !queued {
		e.handleGrant(c, grant)
		return
	}
	c.onEnd = func() { e.service.Cancel(w) }
}

func (e *fakeEntry) handleGrant(c *call, g Grant) {
	c.onEnd = nil
	if g.Err != nil {
		c.end(refused)
		return
	}
	start := e.driver.now
	ended := false
	complete := func(v verdict.Verdict, code verdict.Code) {
		if !ended {
			ended = true
			e.handleCompletion(c, g.Executor, v, code, e.driver.now-start)
		}
	}
	overdue := func() { complete(verdict.MayHaveRun, verdict.CodeTimeout) }
	e.driver.after(c.createdAt+c.workload.timeout-start, overdue)
	e.driver.after(e.attemptTimeout(c), func() {
		if !g.Executor.RespondedSince(epoch.Add(start)) {
			overdue()
		}
	})
	if x := e.executors[g.Executor.ID]; e.unreachable == nil || !e.unreachable(x) {
		x.send(c, complete)
	}
}

// attemptTimeout returns how long an attempt may take, as in the gateway.
func (e *fakeEntry) attemptTimeout(c *call) time.Duration {
	left := c.createdAt + c.workload.timeout - e.driver.now
	expected := e.service.RunTime(c.workload.class)
	if c.workload.repeatable && c.attempts <= 1 && left/2 >= MinAttemptFactor*expected {
		return left / 2
	}
	return left
}

func (e *fakeEntry) handleCompletion(c *call, x *Executor, v verdict.Verdict, code verdict.Code, took time.Duration) {
	if v == verdict.Ran {
		e.service.Release(x, c.workload.class, Succeeded, took, e.driver.clock())
		c.end(succeeded)
		return
	}
	if c.verdict == verdict.NotRun {
		c.verdict = v
	}
	willRetry := mayRetry(e.service, c, code)
	e.service.Release(x, c.workload.class, outcomeOf(code), took, e.driver.clock())
	if !willRetry {
		c.end(failed)
		return
	}
	left := c.createdAt + c.workload.timeout - e.driver.now
	e.driver.after(retry.Pause(left, e.driver.rng), func() { e.acquire(c, x) })
}

func outcomeOf(code verdict.Code) Outcome {
	if code == verdict.CodeBackendServerBusy {
		return Busy
	}
	return Failed
}

// shareSlots allocates the executors' slots as entry instances do. Each publishes a new
// summary when it is due; every peer receives it after a random lag and uses it for its
// allocation.
func (d *driver) shareSlots(entries []*fakeEntry, executors func(*fakeEntry) []*fakeExecutor) {
	for _, e := range entries {
		e.published = e.demand(0)
		e.previouslyPublished = e.published
		e.peerDemands = map[*fakeEntry]routing.Demand{e: e.published}
		for _, peer := range entries {
			e.peerDemands[peer] = routing.Demand{Peer: peer.name, Zone: peer.zone}
		}
	}
	for _, e := range entries {
		d.every(allocationInterval, func() {
			if !routing.ShouldPublish(e.published.Slots, e.service.Load(), d.now-e.publishedAt) {
				return
			}
			own := e.demand(e.published.Slots)
			e.previouslyPublished, e.published, e.publishedAt = e.published, own, d.now
			for _, peer := range entries {
				if peer != e {
					d.after(d.summaryLag(e, peer), func() { peer.peerDemands[e] = own })
				}
			}
		})
		d.every(allocationInterval, func() {
			e.peerDemands[e] = routing.EffectiveDemand(e.previouslyPublished, e.published, d.now-e.publishedAt)
			var demands []routing.Demand
			for _, peer := range entries {
				demands = append(demands, e.peerDemands[peer])
			}
			e.allocate(executors(e), demands)
		})
	}
}

// summaryLag returns a random time until a peer receives a summary.
func (d *driver) summaryLag(from, to *fakeEntry) time.Duration {
	if from.zone == to.zone {
		return time.Duration(d.rng.Int64N(int64(sameZoneLag)))
	}
	return time.Duration(d.rng.Int64N(int64(otherZoneLag)))
}

// demand returns the demand that the entry instance publishes next, where last is the one
// published before.
func (e *fakeEntry) demand(last int) routing.Demand {
	return routing.Demand{Peer: e.name, Zone: e.zone, Slots: routing.DampDemand(last, e.service.Load()), Known: true}
}

func (e *fakeEntry) allocate(executors []*fakeExecutor, demands []routing.Demand) {
	e.setMembers(executors, routing.AllocateSlots(slotsOf(executors), demands, e.name))
}

func slotsOf(executors []*fakeExecutor) []routing.ExecutorSlots {
	var slots []routing.ExecutorSlots
	for _, x := range executors {
		slots = append(slots, routing.ExecutorSlots{Zone: x.zone, Count: x.slots})
	}
	return slots
}

// naive is the baseline: round robin, no limits, and up to naiveRetries unconditional
// retries.
type naive struct {
	executors   []*fakeExecutor
	next        int
	unreachable func(*fakeExecutor) bool // requests to such an executor are lost
}

const naiveRetries = 3

func (n *naive) submit(c *call) {
	x := n.executors[n.next%len(n.executors)]
	n.next++
	if n.unreachable != nil && n.unreachable(x) {
		return
	}
	x.send(c, func(v verdict.Verdict, _ verdict.Code) {
		switch {
		case v == verdict.Ran:
			c.end(succeeded)
		case c.attempts <= naiveRetries && c.result == pending:
			n.submit(c)
		default:
			c.end(failed)
		}
	})
}

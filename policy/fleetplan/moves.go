package fleetplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// rateMargin is the capacity planned for arriving work, as a multiple of its rate.
	rateMargin = 1.15
	// lateShare is the share of the late tasks' need for which capacity is planned.
	lateShare = 0.8
	// blockedShare is the share of the blocked tasks' need for which capacity is planned.
	blockedShare = 0.3
	// leadMargin is how long after its move a machine requested for a peak becomes usable:
	// its executor must register and be polled first.
	leadMargin = 900 * time.Millisecond
	// maxMovesPerPlan bounds the moves started by one plan.
	maxMovesPerPlan = 16
	// minIdleTime is how long a machine must have been idle to be moved for late jobs:
	// the need of its own service may have dropped for a moment only.
	minIdleTime = 700 * time.Millisecond
	// minPoolMachines is the minimum number of machines that every pool keeps.
	minPoolMachines = 2
	// maxCapacityRatio is by how much the CPU capacities of machines of one fleet may differ from their
	// median. One that differs more is a mistake of the list, and would shift the mean of all.
	maxCapacityRatio = 16
	// maxNeed bounds the machines that a service may need, beyond any fleet, so that sums and products of
	// needs don't overflow.
	maxNeed = 1_000_000
)

// planMoves starts moves to pools that lack machines, from the spare pool and from pools
// that have more than their share, and moves of idle machines back to the spare pool.
func (p *Planner) planMoves(v *view) {
	if v.spare == "" {
		return
	}
	p.observe(v)
	p.trackUnusable(v)
	needs := p.needs(v)
	p.lastNeeds = needs
	donors := p.donors(v, needs)
	started := 0
	for _, n := range needs {
		for missing := n.share - n.have; missing > 0 && started < maxMovesPerPlan; missing-- {
			if p.cancelReturn(v, n.service) {
				continue
			}
			inTime := min(n.rising, n.share) > n.share-missing
			m, found := donors.take(n.service, inTime)
			if !found {
				break
			}
			started++
			p.startOperation(v, m, operation{kind: Move, to: n.service, preempt: inTime}, "demand")
		}
	}
	p.returnIdle(v, donors, maxMovesPerPlan-started)
}

// Exhausted returns the services to which the last plan allocated fewer machines than their present and
// arriving work needs to be in time: the fleet has no more.
func (p *Planner) Exhausted() []cluster.Service {
	var list []cluster.Service
	for _, n := range p.lastNeeds {
		if n.share < n.rising {
			list = append(list, n.service)
		}
	}
	slices.Sort(list)
	return list
}

// Needs formats each service's need in the last plan for the log.
func (p *Planner) Needs() string {
	var b strings.Builder
	for _, n := range p.lastNeeds {
		fmt.Fprintf(&b, "%s present=%d rising=%d in_time=%d all=%d share=%d have=%d; ", n.service, n.present, n.rising, n.inTime, n.all, n.share, n.have)
	}
	return b.String()
}

// needs returns the needs of all services with their shares, those that lack most
// first.
func (p *Planner) needs(v *view) []need {
	machineCPU := v.machineCPU()
	riseTime := p.peaks.riseTime()
	var list []need
	for _, service := range slices.Sorted(maps.Keys(v.Loads)) {
		pool, configured := v.pools[service]
		if !configured || pool.Spare || machineCPU == 0 {
			continue
		}
		wanted := p.wantedCPU(v, service, riseTime)
		minimum := min(max(minPoolMachines, v.Loads[service].MinExecutors), maxNeed)
		list = append(list, need{
			service: service,
			late:    machinesFor(wanted.inRate-wanted.inTime, machineCPU),
			present: max(minimum, machinesFor(wanted.present, machineCPU)),
			rising:  max(minimum, machinesFor(wanted.rising, machineCPU)),
			inTime:  max(minimum, machinesFor(wanted.inTime, machineCPU)),
			inRate:  max(minimum, machinesFor(wanted.inRate, machineCPU)),
			all:     max(minimum, machinesFor(wanted.all, machineCPU)),
			minimum: minimum,
			have:    p.have(v, service),
		})
	}
	allocate(list, v.usableMachines(list))
	slices.SortStableFunc(list, func(a, b need) int {
		return cmp.Compare(b.share-b.have, a.share-a.have)
	})
	return list
}

// wantedCPU is the CPU capacity in thousandths of a core that a service needs; the fields
// correspond to those of need.
type wantedCPU struct{ present, rising, inTime, inRate, all float64 }

// wantedCPU returns the CPU capacity that a service needs when a machine requested now
// becomes usable. Demand rises to its peak rate within riseTime.
func (p *Planner) wantedCPU(v *view, service cluster.Service, riseTime time.Duration) wantedCPU {
	l := v.Loads[service]
	peakRate := p.peaks.expectedPeakRate(service)
	lead := p.limits.MoveTime + leadMargin
	rate := p.demandOf(service).expectedRate(v.Now, peakRate, riseTime, lead)
	risingRate := rate
	if at, predicted := p.peaks.dueWithin(service, v.Now, lead); predicted {
		// Until the peak is detected, machines are prepared at most for the rate that it
		// reaches within lead of its start.
		rate = max(rate, peakRate*riseFraction(min(lead, v.Now.Add(lead).Sub(at)), riseTime))
	}
	longRunning := float64(l.LongRunningCPU)
	present := float64(l.InTimeCPU) + blockedShare*float64(l.BlockedCPU)
	inTime := longRunning + max(rateMargin*rate, present)
	return wantedCPU{
		present: longRunning + present,
		rising:  longRunning + max(rateMargin*risingRate, present),
		inTime:  inTime,
		inRate:  inTime + lateShare*float64(l.LateCPU-l.ExcessCPU),
		all:     inTime + lateShare*float64(l.LateCPU),
	}
}

// machinesFor returns how many machines of the given mean capacity a need takes, from 0 to maxNeed; both amounts
// are in thousandths of a core.
func machinesFor(cpu float64, machineCPU int64) int {
	n := math.Ceil(cpu / float64(machineCPU))
	switch {
	case n >= maxNeed:
		return maxNeed
	case n > 0:
		return int(n)
	default:
		return 0
	}
}

// usableMachines counts the machines that are up or are moving between pools, of the spare pool and of the services
// with the given needs. No machine is moved from any other pool.
func (v *view) usableMachines(needs []need) int {
	n := countUsable(v.members[v.spare])
	for i := range needs {
		n += countUsable(v.members[needs[i].service])
	}
	return n
}

func countUsable(machines []cluster.Machine) int {
	n := 0
	for _, m := range machines {
		if m.State == cluster.MachineUp || m.State == cluster.MachineMoving {
			n++
		}
	}
	return n
}

// have counts the machines that a service can use now or as soon as their move is over. It
// leaves out those that the owner has not been able to use for unusableTime, up to
// maxReplacedShare of the pool.
func (p *Planner) have(v *view, service cluster.Service) int {
	n, unusable := 0, 0
	for _, m := range v.members[service] {
		inPool := m.State == cluster.MachineUp || m.State == cluster.MachineMoving
		if !inPool || p.operations[m.ID] != nil {
			continue
		}
		n++
		if p.longUnusable(v.incarnation(m), v.Now) {
			unusable++
		}
	}
	n -= min(unusable, max(1, int(maxReplacedShare*float64(len(v.members[service])))))
	for _, op := range p.operations {
		if op.kind == Move && op.to == service {
			n++
		}
	}
	return n
}

// unusableTime is how long an owner can't use an executor before its pool gets a machine in
// its place. A new executor is polled within that time.
const unusableTime = 6 * time.Second

// maxReplacedShare is the share of a pool up to which unusable machines are replaced; one
// always is. Where more are unusable, the cause is more likely with their owner.
const maxReplacedShare = 0.25

// trackUnusable records since when owners can't use the executors of machines that are up: an
// owner reports that it can't, or does not list the executor at all. It forgets all while the
// loads can't be read.
func (p *Planner) trackUnusable(v *view) {
	since := map[cluster.Incarnation]time.Time{}
	if v.Now.Sub(v.LoadsReadAt) <= maxLoadsPause {
		for _, m := range v.Machines {
			if !v.unusable(m) {
				continue
			}
			executor := v.incarnation(m)
			since[executor] = v.Now
			if at, known := p.unusableSince[executor]; known {
				since[executor] = at
			}
		}
	}
	p.unusableSince = since
}

// unusable reports whether the owner of a machine's service can't use its executor.
func (v *view) unusable(m cluster.Machine) bool {
	_, loaded := v.Loads[m.Pool]
	if !loaded || m.State != cluster.MachineUp || m.Executor == "" || m.Pool == v.spare {
		return false
	}
	l, listed := v.load(m)
	return !listed || l.Unusable
}

// longUnusable reports whether an executor has been unusable for unusableTime.
func (p *Planner) longUnusable(executor cluster.Incarnation, now time.Time) bool {
	at, unusable := p.unusableSince[executor]
	return unusable && now.Sub(at) >= unusableTime
}

// machineCPU returns the mean CPU capacity of a machine in thousandths of a core, without those that differ from the
// median by more than maxCapacityRatio.
func (v *view) machineCPU() int64 {
	var list []int64
	for _, m := range v.Machines {
		if m.Capacity.MilliCPU > 0 {
			list = append(list, m.Capacity.MilliCPU)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	median := list[len(list)/2]
	var sum, n int64
	for _, cpu := range list {
		if cpu/maxCapacityRatio <= median && median/maxCapacityRatio <= cpu {
			sum += cpu
			n++
		}
	}
	return sum / n
}

// donors are the machines that may change their pool, by pool.
type donors struct {
	spare        []cluster.Machine
	longIdle     []cluster.Machine       // of services' pools, idle for minIdleTime or longer, longest first
	recentlyIdle []cluster.Machine       // of services' pools, idle for less, longest first
	busy         []cluster.Machine       // of services' pools, with short tasks; cordoned first, then fewest tasks
	excess       map[cluster.Service]int // how many machines a pool may lose
}

func (p *Planner) donors(v *view, needs []need) *donors {
	d := &donors{excess: map[cluster.Service]int{}}
	for _, n := range needs {
		d.excess[n.service] = n.have - n.share
	}
	for _, m := range v.Machines {
		l, known := v.load(m)
		switch {
		case m.State != cluster.MachineUp || p.operations[m.ID] != nil:
			delete(p.idleSince, m.ID)
		case m.Pool == v.spare:
			d.spare = append(d.spare, m)
		case p.trackIdle(v, m):
			list := &d.recentlyIdle
			if v.Now.Sub(p.idleSince[m.ID]) >= minIdleTime {
				list = &d.longIdle
			}
			*list = append(*list, m)
		case known && l.LongRunning == 0 && !v.cordonReleased(m, l):
			d.busy = append(d.busy, m)
		}
	}
	byIdleTime := func(a, b cluster.Machine) int { return p.idleSince[a.ID].Compare(p.idleSince[b.ID]) }
	slices.SortStableFunc(d.longIdle, byIdleTime)
	slices.SortStableFunc(d.recentlyIdle, byIdleTime)
	slices.SortStableFunc(d.busy, func(a, b cluster.Machine) int {
		return cmp.Compare(v.evacuationRank(a), v.evacuationRank(b))
	})
	return d
}

// trackIdle reports whether a machine is idle and usable, and records since when.
func (p *Planner) trackIdle(v *view, m cluster.Machine) bool {
	l, known := v.load(m)
	if !known || l.Runs > 0 || v.cordonReleased(m, l) {
		delete(p.idleSince, m.ID)
		return false
	}
	if p.idleSince[m.ID].IsZero() {
		p.idleSince[m.ID] = v.Now
	}
	return true
}

// cordonReleased reports whether the cordon of a machine's executor was revoked but its
// owner still applies it. A cordon set by an earlier holder of the duty remains in force.
func (v *view) cordonReleased(m cluster.Machine, l shard.ExecutorLoad) bool {
	return l.Cordoned && !v.cordoned(m.Executor)
}

// take returns a machine for a service: a spare one, one that has been idle for
// minIdleTime, or, for jobs that can be in time, one that has been idle for less or that
// must first finish its tasks.
func (d *donors) take(service cluster.Service, inTime bool) (cluster.Machine, bool) {
	if len(d.spare) > 0 {
		m := d.spare[0]
		d.spare = d.spare[1:]
		return m, true
	}
	if m, found := d.takeFrom(&d.longIdle, service); found || !inTime {
		return m, found
	}
	if m, found := d.takeFrom(&d.recentlyIdle, service); found {
		return m, true
	}
	return d.takeFrom(&d.busy, service)
}

func (d *donors) takeFrom(list *[]cluster.Machine, service cluster.Service) (cluster.Machine, bool) {
	for i, m := range *list {
		if m.Pool != service && d.excess[m.Pool] > 0 {
			d.excess[m.Pool]--
			*list = slices.Delete(*list, i, i+1)
			return m, true
		}
	}
	return cluster.Machine{}, false
}

// returnIdle moves up to limit machines to the spare pool that have been idle for so long
// that keeping them has cost as much as a move.
func (p *Planner) returnIdle(v *view, d *donors, limit int) {
	wait := time.Duration(p.limits.MoveCost / p.limits.MachineSecondCost * float64(time.Second))
	for _, m := range d.longIdle {
		if limit <= 0 || v.Now.Sub(p.idleSince[m.ID]) < wait {
			break // sorted by idle time
		}
		if d.excess[m.Pool] <= 0 {
			continue
		}
		d.excess[m.Pool]--
		limit--
		p.startOperation(v, m, operation{kind: Move, to: v.spare}, "idle")
	}
}

// cancelReturn cancels the return of a machine to the spare pool while it is still being
// evacuated, since it can be used at once. It reports whether there was one.
func (p *Planner) cancelReturn(v *view, service cluster.Service) bool {
	for _, m := range v.members[service] {
		op := p.operations[m.ID]
		if op != nil && op.kind == Move && op.to == v.spare && op.calledAt.IsZero() {
			delete(p.operations, m.ID)
			return true
		}
	}
	return false
}

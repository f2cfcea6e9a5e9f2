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
)

const (
	// rateMargin is the room kept above the rate at which work arrives.
	rateMargin = 1.15
	// waitingShare is the share of the waiting tasks' need for which room is made.
	waitingShare = 0.8
	// comingShare is the share of the coming tasks' need for which room is made.
	comingShare = 0.3
	// leadMargin is how much earlier than its move takes a machine is called for a
	// predicted peak: its executor must register, and be looked at.
	leadMargin = 900 * time.Millisecond
	// movesAtOnce bounds the moves begun by one plan.
	movesAtOnce = 16
	// leastMachines is how many machines every pool keeps.
	leastMachines = 2
)

// need is how many machines a service wants now.
type need struct {
	service cluster.Service
	want    int
	have    int // in the pool or on their way to it, less those that leave
	urgent  bool
}

// planMoves begins moves between pools: to those that lack machines from the spare
// pool and from pools whose machines stand idle, and back to the spare pool.
func (p *Planner) planMoves(v *view) []Action {
	if v.spare == "" {
		return nil
	}
	p.observe(v)
	needs := p.needs(v)
	p.lastNeeds = needs
	donors := p.donors(v, needs)
	var actions []Action
	begun := 0
	for _, n := range needs {
		for n.have < n.want && begun < movesAtOnce {
			m, found := donors.take(n.service)
			if !found {
				return actions
			}
			n.have++
			begun++
			actions = append(actions, p.begin(v, m, operation{kind: Move, to: n.service}, "demand")...)
		}
	}
	return append(actions, p.giveBack(v, donors, movesAtOnce-begun)...)
}

// Needs describes what each service wanted of the last plan, for the log.
func (p *Planner) Needs() string {
	var b strings.Builder
	for _, n := range p.lastNeeds {
		fmt.Fprintf(&b, "%s want=%d have=%d waiting=%t; ", n.service, n.want, n.have, n.urgent)
	}
	return b.String()
}

// needs returns the needs of all services, the most urgent first.
func (p *Planner) needs(v *view) []need {
	room := v.machineCPU()
	var list []need
	for _, service := range slices.Sorted(maps.Keys(v.Loads)) {
		pool, configured := v.pools[service]
		if !configured || pool.Spare || room == 0 {
			continue
		}
		cpu, urgent := p.wantedCPU(v, service)
		want := max(leastMachines, v.Loads[service].LeastExecutors, int(math.Ceil(cpu/float64(room))))
		list = append(list, need{service: service, want: want, have: p.have(v, service), urgent: urgent})
	}
	slices.SortStableFunc(list, func(a, b need) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.want-b.have, a.want-a.have)
	})
	return list
}

// wantedCPU is the processor room that a service needs now, or will by the time
// that a machine called now has come.
func (p *Planner) wantedCPU(v *view, service cluster.Service) (cpu float64, urgent bool) {
	l := v.Loads[service]
	var used, lasting float64
	for _, x := range l.Executors {
		used += float64(x.UsedCPU)
		lasting += float64(x.LastingCPU)
	}
	d := p.demandOf(service)
	present := used + waitingShare*float64(l.WaitingCPU) + comingShare*float64(l.ComingCPU)
	arriving := lasting + rateMargin*d.expected(v.Now, p.turns.peak(service))
	predicted := 0.0
	if p.turns.expects(service, v.Now, p.limits.MoveTime+leadMargin) {
		predicted = lasting + rateMargin*p.turns.peak(service)
	}
	return max(present, arriving, predicted), l.WaitingCPU > 0
}

// have counts the machines of a pool that are or will be of use to it.
func (p *Planner) have(v *view, service cluster.Service) int {
	n := 0
	for _, m := range v.members[service] {
		op := p.operations[m.ID]
		leaving := op != nil && op.kind == Move && op.to != service
		if !leaving && m.State != cluster.MachineDown {
			n++
		}
	}
	for id, op := range p.operations {
		if op.kind == Move && op.to == service && v.byID[id].Pool != service {
			n++
		}
	}
	return n
}

// machineCPU is the processor room of a typical machine.
func (v *view) machineCPU() int64 {
	var sum int64
	for _, m := range v.Machines {
		sum += m.Capacity.MilliCPU
	}
	if len(v.Machines) == 0 {
		return 0
	}
	return sum / int64(len(v.Machines))
}

// donors are the machines that may change their pool, by pool.
type donors struct {
	spare  []cluster.Machine
	idle   []cluster.Machine       // of other pools, longest idle first
	excess map[cluster.Service]int // how many a pool may give
}

func (p *Planner) donors(v *view, needs []need) *donors {
	d := &donors{excess: map[cluster.Service]int{}}
	for _, n := range needs {
		d.excess[n.service] = n.have - n.want
	}
	for _, m := range v.Machines {
		idle := m.State == cluster.MachineUp && p.operations[m.ID] == nil
		switch {
		case !idle:
			delete(p.idleSince, m.ID)
		case m.Pool == v.spare:
			d.spare = append(d.spare, m)
		case p.standsIdle(v, m):
			d.idle = append(d.idle, m)
		}
	}
	slices.SortStableFunc(d.idle, func(a, b cluster.Machine) int {
		return p.idleSince[a.ID].Compare(p.idleSince[b.ID])
	})
	return d
}

// standsIdle reports whether nothing runs on a machine, and notes since when.
func (p *Planner) standsIdle(v *view, m cluster.Machine) bool {
	l, known := v.load(m)
	if !known || l.Runs > 0 || l.Cordoned {
		delete(p.idleSince, m.ID)
		return false
	}
	if p.idleSince[m.ID].IsZero() {
		p.idleSince[m.ID] = v.Now
	}
	return true
}

// take returns a machine for a service.
func (d *donors) take(service cluster.Service) (cluster.Machine, bool) {
	if len(d.spare) > 0 {
		m := d.spare[0]
		d.spare = d.spare[1:]
		return m, true
	}
	for i, m := range d.idle {
		if m.Pool != service && d.excess[m.Pool] > 0 {
			d.excess[m.Pool]--
			d.idle = slices.Delete(d.idle, i, i+1)
			return m, true
		}
	}
	return cluster.Machine{}, false
}

// giveBack moves machines to the spare pool that have stood idle for so long that
// the moves there and back cost less than keeping them.
func (p *Planner) giveBack(v *view, d *donors, room int) []Action {
	wait := time.Duration(p.limits.MoveCost / p.limits.MachineSecondCost * float64(time.Second))
	var actions []Action
	for _, m := range d.idle {
		if room <= 0 || v.Now.Sub(p.idleSince[m.ID]) < wait {
			break // sorted by idle time
		}
		if d.excess[m.Pool] <= 0 {
			continue
		}
		d.excess[m.Pool]--
		room--
		actions = append(actions, p.begin(v, m, operation{kind: Move, to: v.spare}, "idle")...)
	}
	return actions
}

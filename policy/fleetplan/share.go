package fleetplan

import "github.com/tarragonreach/tarragonreach/api/cluster"

// need is how many machines a service needs and how many it is allocated.
type need struct {
	service cluster.Service
	minimum int // below which its long-running tasks don't fit
	late    int // for late jobs alone, without excess ones
	present int // for the jobs that are there and can still be in time
	rising  int // for those and the ones that a peak in progress will bring
	inTime  int // for those and the ones of a predicted peak
	inRate  int // for late jobs, too
	all     int // for excess jobs, too
	have    int // in the pool or on their way to it, less those that leave
	share   int // machines allocated to it
}

// lateReserve is the share of the machines that late jobs get before jobs that can still
// be in time: without it a long overload would starve late jobs completely.
const lateReserve = 0.15

// allocate sets the share of each need. Jobs that can still be in time come before late
// ones of any service, except for lateReserve. Those that are there come first, then those of
// peaks in progress, then those of predicted peaks: a peak that does not come must not hold
// machines that others have work for. Jobs beyond the rates of their tenants come last, and get
// nothing of lateReserve. Where there are too few machines, all services are cut
// back in proportion to what they need above their minimum.
func allocate(needs []need, machines int) {
	remaining := machines
	for i := range needs {
		needs[i].share = needs[i].minimum
		remaining -= needs[i].minimum
	}
	forLate := min(remaining, int(lateReserve*float64(machines)))
	remaining -= forLate
	remaining += raiseShares(needs, forLate, func(n need) int { return n.minimum + n.late })
	remaining = raiseShares(needs, remaining, func(n need) int { return n.present })
	remaining = raiseShares(needs, remaining, func(n need) int { return n.rising })
	remaining = raiseShares(needs, remaining, func(n need) int { return n.inTime })
	remaining = raiseShares(needs, remaining, func(n need) int { return n.inRate })
	raiseShares(needs, remaining, func(n need) int { return n.all })
}

// raiseShares raises the shares towards a goal, in proportion to what each lacks, and
// returns how many machines remain.
func raiseShares(needs []need, remaining int, goal func(need) int) int {
	wanted := 0
	for _, n := range needs {
		wanted += max(0, goal(n)-n.share)
	}
	if remaining <= 0 || wanted == 0 {
		return max(0, remaining)
	}
	available := min(remaining, wanted)
	allocated := 0
	wantedSum := 0
	for i := range needs {
		// Rounding the running sum keeps the total exact.
		wantedSum += max(0, goal(needs[i])-needs[i].share)
		upTo := wantedSum * available / wanted
		needs[i].share += upTo - allocated
		allocated = upTo
	}
	return remaining - available
}

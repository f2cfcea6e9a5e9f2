package fleetplan

import "github.com/tarragonreach/tarragonreach/api/cluster"

// need is how many machines a service wants, and what it gets.
type need struct {
	service cluster.Service
	minimum int // below which its lasting tasks have no place
	late    int // for late jobs alone
	inTime  int // for jobs that can still be in time
	all     int // for late jobs, too
	have    int // in the pool or on their way to it, less those that leave
	share   int // what it gets of the machines there are
}

// lateRoom is the share of the machines that late jobs get before jobs that can still
// be in time: under load beyond the room for long, none of them would be served at all.
const lateReserve = 0.15

// share divides the machines. Jobs that can still be in time come before late ones
// of any service, but for lateRoom; where there are too few machines for either, all
// services are cut back in proportion to what they want above their least.
func allocate(needs []need, machines int) {
	remaining := machines
	for i := range needs {
		needs[i].share = needs[i].minimum
		remaining -= needs[i].minimum
	}
	forLate := min(remaining, int(lateReserve*float64(machines)))
	remaining -= forLate
	remaining += raiseShares(needs, forLate, func(n need) int { return n.minimum + n.late })
	remaining = raiseShares(needs, remaining, func(n need) int { return n.inTime })
	raiseShares(needs, remaining, func(n need) int { return n.all })
}

// fill raises the shares towards a goal, and returns how many machines are left.
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

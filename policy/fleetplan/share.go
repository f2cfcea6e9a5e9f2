package fleetplan

import "github.com/tarragonreach/tarragonreach/api/cluster"

// need is how many machines a service wants, and what it gets.
type need struct {
	service cluster.Service
	least   int // below which its lasting tasks have no place
	late    int // for late jobs alone
	inTime  int // for jobs that can still be in time
	all     int // for late jobs, too
	have    int // in the pool or on their way to it, less those that leave
	share   int // what it gets of the machines there are
}

// lateRoom is the share of the machines that late jobs get before jobs that can still
// be in time: under load beyond the room for long, none of them would be served at all.
const lateRoom = 0.15

// share divides the machines. Jobs that can still be in time come before late ones
// of any service, but for lateRoom; where there are too few machines for either, all
// services are cut back in proportion to what they want above their least.
func share(needs []need, machines int) {
	left := machines
	for i := range needs {
		needs[i].share = needs[i].least
		left -= needs[i].least
	}
	forLate := min(left, int(lateRoom*float64(machines)))
	left -= forLate
	left += fill(needs, forLate, func(n need) int { return n.least + n.late })
	left = fill(needs, left, func(n need) int { return n.inTime })
	fill(needs, left, func(n need) int { return n.all })
}

// fill raises the shares towards a goal, and returns how many machines are left.
func fill(needs []need, left int, goal func(need) int) int {
	wanted := 0
	for _, n := range needs {
		wanted += max(0, goal(n)-n.share)
	}
	if left <= 0 || wanted == 0 {
		return max(0, left)
	}
	available := min(left, wanted)
	given := 0
	asked := 0
	for i := range needs {
		// Rounding the running sum keeps the total exact.
		asked += max(0, goal(needs[i])-needs[i].share)
		upTo := asked * available / wanted
		needs[i].share += upTo - given
		given = upTo
	}
	return left - available
}

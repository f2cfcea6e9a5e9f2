package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Divide divides a limit among services by max-min fairness, for each resource: a service gets
// what it demands, or as much as any other one that does not get all. A resource whose limit is
// zero is not limited. The same arguments give the same result for each owner.
func Divide(limit job.Resources, demands map[cluster.Service]job.Resources) map[cluster.Service]job.Resources {
	vectors := make(map[cluster.Service]vector, len(demands))
	for service, demand := range demands {
		vectors[service] = vectorOf(demand)
	}
	parts := make(map[cluster.Service]job.Resources, len(demands))
	for service, part := range divide(vectorOf(limit), vectors) {
		parts[service] = part.resources()
	}
	return parts
}

func divide(limit vector, demands map[cluster.Service]vector) map[cluster.Service]vector {
	return divideLeft(limit, limit, demands)
}

// divideResource sets the parts of one resource. The smallest demands are satisfied first; what one
// leaves of an even share goes to the others.
func divideResource(limit int64, i int, services []cluster.Service, demands, parts map[cluster.Service]vector) {
	byDemand := slices.Clone(services)
	slices.SortStableFunc(byDemand, func(x, y cluster.Service) int {
		return cmp.Compare(demands[x][i], demands[y][i])
	})
	left := limit
	for n, service := range byDemand {
		part := parts[service]
		part[i] = min(demands[service][i], left/int64(len(byDemand)-n))
		left -= part[i]
		parts[service] = part
	}
}

// claim is what a service asks for when a limit is divided.
type claim struct {
	demand  vector
	task    vector // the need of what starts next; zero if nothing waits
	portion vector
	turn    int64
}

// divideInTasks divides a limit like divide, but leaves no service that waits a part that is too small
// for the task that starts next there. As many of them as possible get room for at least that task, those
// with the smallest portions first, then those whose turn is the earliest; the others get nothing. As a
// service that runs a task has the larger portion and then a later turn, each gets room in time.
func divideInTasks(limit vector, claims map[cluster.Service]claim) division {
	fixed := map[cluster.Service]vector{}
	demands := make(map[cluster.Service]vector, len(claims))
	for service, c := range claims {
		demands[service] = c.demand
	}
	floors, leftOut := floorsOf(limit, claims)
	for _, service := range leftOut {
		fixed[service] = vector{}
		delete(demands, service)
	}
	minimum := map[cluster.Service]vector{}
	for _, f := range floors {
		minimum[f.service] = f.amount
	}
	left := limit
	for {
		parts := divideLeft(limit, left, demands)
		stable := true
		for service, part := range parts {
			if floor := minimum[service]; !floor.fits(part) {
				stable = false
				fixed[service] = floor
				left = left.sub(floor)
				delete(demands, service)
			}
		}
		if stable {
			maps.Copy(parts, fixed)
			return division{parts: parts, floors: floors}
		}
	}
}

// division is a limit divided by divideInTasks.
type division struct {
	parts map[cluster.Service]vector
	// floors holds what the services that wait need for the task that starts next, in their order.
	floors []floor
}

type floor struct {
	service cluster.Service
	amount  vector
}

// floorsOf returns the needs of the tasks that start next in the services that wait, as far as they fit
// into the limit together, and the services whose tasks don't fit besides.
func floorsOf(limit vector, claims map[cluster.Service]claim) (floors []floor, leftOut []cluster.Service) {
	var waiting []cluster.Service
	for service, c := range claims {
		if c.task.where(limit) != (vector{}) {
			waiting = append(waiting, service)
		}
	}
	slices.SortFunc(waiting, func(x, y cluster.Service) int {
		return cmp.Or(
			cmp.Compare(share(claims[x].portion, limit), share(claims[y].portion, limit)),
			cmp.Compare(claims[x].turn, claims[y].turn),
			cmp.Compare(x, y),
		)
	})
	left := limit
	for _, service := range waiting {
		need := claims[service].task.where(limit).min(limit)
		if !need.fits(left) {
			leftOut = append(leftOut, service)
			continue
		}
		floors = append(floors, floor{service, need})
		left = left.sub(need)
	}
	return floors, leftOut
}

// before returns what the services before this one in the order lack for the task that starts next.
func (d division) before(service cluster.Service, claims map[cluster.Service]claim) vector {
	var sum vector
	for _, f := range d.floors {
		if f.service == service {
			break
		}
		sum = sum.add(f.amount.sub(claims[f.service].portion).max(vector{}))
	}
	return sum
}

// divideLeft divides what is left of a limit. Unlike in divide, nothing left of a resource does
// not mean that there is no limit.
func divideLeft(limit, left vector, demands map[cluster.Service]vector) map[cluster.Service]vector {
	parts := maps.Clone(demands)
	services := slices.Sorted(maps.Keys(demands))
	for i := range limit {
		if limit[i] > 0 {
			divideResource(left[i], i, services, demands, parts)
		}
	}
	return parts
}

// share returns the largest part of a limited resource that the amounts are.
func share(amounts, limit vector) float64 {
	largest := 0.0
	for i := range amounts {
		if limit[i] > 0 {
			largest = max(largest, float64(amounts[i])/float64(limit[i]))
		}
	}
	return largest
}

package maintenance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/policy/budget"
)

// fleetShape is the size of a simulated fleet.
type fleetShape struct {
	name                              string
	instances, zones, pools, rackSize int
}

var (
	agrisportello = fleetShape{"agrisportello", 100, 4, 5, 4}
	magnolia      = fleetShape{"magnolia", 100, 3, 5, 4}
	target        = fleetShape{"target", 6400, 13, 28, 8}
)

const (
	simStep    = 30 * time.Minute
	simPeriods = 2
	// Daily rates of one instance at the target scale: of 6,400 instances, 25 fail and
	// 740 restart per day.
	failureRate = 25.0 / 6400
	restartRate = 740.0 / 6400
	repairTime  = 4 * time.Hour
	// A rack fails every rackLoss, and one zone fails zoneLoss after the start, for
	// zoneLossTime.
	rackLoss     = 45 * 24 * time.Hour
	zoneLoss     = 30 * 24 * time.Hour
	zoneLossTime = 3 * time.Hour
	budgetShare  = 10 // percent of a pool
)

// simulation is a fleet under maintenance in virtual time.
type simulation struct {
	shape     fleetShape
	instances []Instance
	upAt      []time.Time // when an instance that is out of service returns
	random    *rand.Rand
	now       time.Time
	// results
	firstRound time.Time // when each instance had been maintained once; zero before
	longestGap time.Duration
	breaches   int // maintenance starts that exceeded the budget
	starts     int
	outages    int
}

func newSimulation(shape fleetShape) *simulation {
	r := &simulation{shape: shape, random: rand.New(rand.NewPCG(3, 3)), now: now}
	for i := range shape.instances {
		rank := i / shape.zones
		r.instances = append(r.instances, Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%04d", i)), Zone: fleet.AvailabilityZone(fmt.Sprintf("z%02d", i%shape.zones)),
			Rack: fmt.Sprintf("r%03d", rank/shape.rackSize), Pool: fmt.Sprint("p", rank%shape.pools),
			State: fleet.StateServing, Since: now,
		})
	}
	r.upAt = make([]time.Time, shape.instances)
	return r
}

func (r *simulation) takeOut(i int, state fleet.State, d time.Duration) {
	r.instances[i].State, r.instances[i].Since, r.upAt[i] = state, r.now, r.now.Add(d)
	r.instances[i].InMaintenance = state == fleet.StateMaintenance
}

// fail simulates the failures and restarts of one step, and losses of racks and a zone.
func (r *simulation) fail() {
	dayShare := float64(simStep) / float64(24*time.Hour)
	elapsed := r.now.Sub(now)
	rackLost := elapsed > 0 && elapsed%rackLoss == 0
	rack := r.instances[r.random.IntN(len(r.instances))]
	for i := range r.instances {
		if r.instances[i].State != fleet.StateServing {
			continue
		}
		switch {
		case elapsed == zoneLoss && r.instances[i].Zone == "z00":
			r.takeOut(i, fleet.StateFailed, zoneLossTime)
		case rackLost && r.instances[i].Zone == rack.Zone && r.instances[i].Rack == rack.Rack:
			r.takeOut(i, fleet.StateFailed, repairTime)
		case r.random.Float64() < failureRate*dayShare:
			r.takeOut(i, fleet.StateFailed, repairTime)
		case r.random.Float64() < restartRate*dayShare:
			r.takeOut(i, fleet.StateFailed, simStep)
		default:
			continue
		}
		r.outages++
	}
}

func (r *simulation) recover() {
	for i := range r.instances {
		instance := &r.instances[i]
		if instance.State == fleet.StateServing || r.now.Before(r.upAt[i]) {
			continue
		}
		if instance.InMaintenance {
			last := instance.LastMaintained
			if last.IsZero() {
				last = now
			}
			r.longestGap = max(r.longestGap, r.now.Sub(last))
			instance.LastMaintained = r.now
		}
		instance.State, instance.InMaintenance, instance.Since = fleet.StateServing, false, r.now
	}
}

// budgetLeft returns how many more instances of each pool may leave service.
func (r *simulation) budgetLeft() map[string]int {
	size, out := make(map[string]int), make(map[string]int)
	for _, instance := range r.instances {
		size[instance.Pool]++
		if instance.State != fleet.StateServing {
			out[instance.Pool]++
		}
	}
	share := object.Budget{MaxUnavailable: &object.Amount{Value: budgetShare, Percent: true}}
	for pool := range size {
		out[pool] = budget.Limit(share, size[pool]) - out[pool]
	}
	return out
}

func (r *simulation) start(ids []fleet.InstanceID, left map[string]int) {
	byID := make(map[fleet.InstanceID]int, len(r.instances))
	for i, instance := range r.instances {
		byID[instance.ID] = i
	}
	for _, id := range ids {
		i := byID[id]
		left[r.instances[i].Pool]--
		if left[r.instances[i].Pool] < 0 {
			r.breaches++
		}
		r.starts++
		r.takeOut(i, fleet.StateMaintenance, time.Duration(plan.Duration))
	}
}

// decideWaves applies Decide for the zone whose turn it is.
func decideWaves(r *simulation, left map[string]int) []fleet.InstanceID {
	in := Input{Now: r.now, Plan: plan, Instances: r.instances, BudgetLeft: left, Failures: DefaultFailureLimits()}
	in.Zone = newWave(in).activeZone
	return started(Decide(in))
}

// oneAtATime maintains one instance at a time, the least recently maintained one first.
func oneAtATime(r *simulation, _ map[string]int) []fleet.InstanceID {
	next := -1
	for i, instance := range r.instances {
		if instance.InMaintenance {
			return nil
		}
		due := !dueAt(instance, plan).After(r.now) && instance.State == fleet.StateServing
		if due && (next < 0 || instance.LastMaintained.Before(r.instances[next].LastMaintained)) {
			next = i
		}
	}
	if next < 0 {
		return nil
	}
	return []fleet.InstanceID{r.instances[next].ID}
}

func (r *simulation) play(decide func(*simulation, map[string]int) []fleet.InstanceID) {
	for end := now.Add(simPeriods * time.Duration(plan.Period)); r.now.Before(end); r.now = r.now.Add(simStep) {
		r.recover()
		r.fail()
		left := r.budgetLeft()
		r.start(decide(r, left), left)
		if r.firstRound.IsZero() && r.allMaintained() {
			r.firstRound = r.now
		}
	}
	for _, instance := range r.instances {
		last := instance.LastMaintained
		if last.IsZero() {
			last = now
		}
		r.longestGap = max(r.longestGap, r.now.Sub(last))
	}
}

func (r *simulation) allMaintained() bool {
	for _, instance := range r.instances {
		if instance.LastMaintained.IsZero() {
			return false
		}
	}
	return true
}

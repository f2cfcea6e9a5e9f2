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
	now       time.Time // virtual; starts at the package's now
	// results
	allMaintainedAt time.Time // when each instance had been maintained once; zero before
	longestGap      time.Duration
	breaches        int // maintenance starts that exceeded the budget
	starts          int
	outages         int
}

func newSimulation(shape fleetShape) *simulation {
	s := &simulation{shape: shape, random: rand.New(rand.NewPCG(3, 3)), now: now}
	for i := range shape.instances {
		indexInZone := i / shape.zones
		s.instances = append(s.instances, Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%04d", i)), Zone: fleet.AvailabilityZone(fmt.Sprintf("z%02d", i%shape.zones)),
			Rack: fmt.Sprintf("r%03d", indexInZone/shape.rackSize), Pool: fmt.Sprint("p", indexInZone%shape.pools),
			State: fleet.StateServing, Since: now,
		})
	}
	s.upAt = make([]time.Time, shape.instances)
	return s
}

func (s *simulation) takeOut(i int, state fleet.State, d time.Duration) {
	s.instances[i].State, s.instances[i].Since, s.upAt[i] = state, s.now, s.now.Add(d)
	s.instances[i].InMaintenance = state == fleet.StateMaintenance
}

// fail simulates the failures and restarts of one step, and losses of racks and a zone.
func (s *simulation) fail() {
	dayShare := float64(simStep) / float64(24*time.Hour)
	elapsed := s.now.Sub(now)
	rackLost := elapsed > 0 && elapsed%rackLoss == 0
	rack := s.instances[s.random.IntN(len(s.instances))]
	for i := range s.instances {
		if s.instances[i].State != fleet.StateServing {
			continue
		}
		switch {
		case elapsed == zoneLoss && s.instances[i].Zone == "z00":
			s.takeOut(i, fleet.StateFailed, zoneLossTime)
		case rackLost && s.instances[i].Zone == rack.Zone && s.instances[i].Rack == rack.Rack:
			s.takeOut(i, fleet.StateFailed, repairTime)
		case s.random.Float64() < failureRate*dayShare:
			s.takeOut(i, fleet.StateFailed, repairTime)
		case s.random.Float64() < restartRate*dayShare:
			s.takeOut(i, fleet.StateFailed, simStep)
		default:
			continue
		}
		s.outages++
	}
}

func (s *simulation) recover() {
	for i := range s.instances {
		instance := &s.instances[i]
		if instance.State == fleet.StateServing || s.now.Before(s.upAt[i]) {
			continue
		}
		if instance.InMaintenance {
			last := instance.LastMaintained
			if last.IsZero() {
				last = now
			}
			s.longestGap = max(s.longestGap, s.now.Sub(last))
			instance.LastMaintained = s.now
		}
		instance.State, instance.InMaintenance, instance.Since = fleet.StateServing, false, s.now
	}
}

// budgetLeft returns how many more instances of each pool may leave service.
func (s *simulation) budgetLeft() map[string]int {
	size, out := make(map[string]int), make(map[string]int)
	for _, instance := range s.instances {
		size[instance.Pool]++
		if instance.State != fleet.StateServing {
			out[instance.Pool]++
		}
	}
	poolBudget := object.Budget{MaxUnavailable: &object.Amount{Value: budgetShare, Percent: true}}
	for pool := range size {
		out[pool] = budget.Limit(poolBudget, size[pool]) - out[pool]
	}
	return out
}

func (s *simulation) start(ids []fleet.InstanceID, left map[string]int) {
	byID := make(map[fleet.InstanceID]int, len(s.instances))
	for i, instance := range s.instances {
		byID[instance.ID] = i
	}
	for _, id := range ids {
		i := byID[id]
		left[s.instances[i].Pool]--
		if left[s.instances[i].Pool] < 0 {
			s.breaches++
		}
		s.starts++
		s.takeOut(i, fleet.StateMaintenance, time.Duration(plan.Duration))
	}
}

// decideWaves applies Decide for the active zone.
func decideWaves(s *simulation, left map[string]int) []fleet.InstanceID {
	in := Input{Now: s.now, Plan: plan, Instances: s.instances, BudgetLeft: left, Failures: DefaultFailureLimits()}
	in.Zone = newWave(in).activeZone
	return started(Decide(in))
}

// oneAtATime maintains one instance at a time, the least recently maintained one first.
func oneAtATime(s *simulation, _ map[string]int) []fleet.InstanceID {
	next := -1
	for i, instance := range s.instances {
		if instance.InMaintenance {
			return nil
		}
		due := !dueAt(instance, plan).After(s.now) && instance.State == fleet.StateServing
		if due && (next < 0 || instance.LastMaintained.Before(s.instances[next].LastMaintained)) {
			next = i
		}
	}
	if next < 0 {
		return nil
	}
	return []fleet.InstanceID{s.instances[next].ID}
}

func (s *simulation) play(decide func(*simulation, map[string]int) []fleet.InstanceID) {
	for end := now.Add(simPeriods * time.Duration(plan.Period)); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.recover()
		s.fail()
		left := s.budgetLeft()
		s.start(decide(s, left), left)
		if s.allMaintainedAt.IsZero() && s.allMaintained() {
			s.allMaintainedAt = s.now
		}
	}
	for _, instance := range s.instances {
		last := instance.LastMaintained
		if last.IsZero() {
			last = now
		}
		s.longestGap = max(s.longestGap, s.now.Sub(last))
	}
}

func (s *simulation) allMaintained() bool {
	for _, instance := range s.instances {
		if instance.LastMaintained.IsZero() {
			return false
		}
	}
	return true
}

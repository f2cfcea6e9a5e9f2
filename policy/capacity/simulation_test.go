package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// deployment is a workload of five services in some availability zones.
type deployment struct {
	name    string
	zones   int
	workers int // in all zones, on top of the executors
	// peakHour is the hour of the daily peak; nightShare is the demand at the quietest
	// hour as a share of the peak's.
	peakHour   float64
	nightShare float64
	// burst is the relative growth of the demand of one service for half a day, every
	// burstDays.
	burst        float64
	burstDays    int
	moveWeight   float64
	bufferWeight float64
	days         int // simulated after a warm-up of one day
}

var (
	agrisportello = deployment{"agrisportello", 4, 50, 11, 0.25, 0.5, 5, 10, 1, 14}
	magnolia      = deployment{"magnolia", 3, 50, 1, 0.4, 0.3, 3, 1, 10, 14}
)

const (
	simulationStep    = 5 * time.Minute
	stepsPerHour      = int(time.Hour / simulationStep)
	stepsPerDay       = 24 * stepsPerHour
	lossHour          = 11 // of every fourth day, in which a zone is lost
	simulatedServices = 5
	executorsMean     = 10 // mean of a service in all zones at its daily peak
	// provisionTime is how long the platform takes to provide an instance.
	provisionTime = 10 * time.Minute
	// drainTime is how long a move takes.
	drainTime = time.Minute
)

// sizer is a sizing policy: it observes demand and returns the pools for the planner.
type sizer interface {
	observe(demand [][]float64, now time.Time)
	pools(zone int, now time.Time) []Pool
}

// score is the result of a simulation.
type score struct {
	bufferPercent float64 // instances paid for beyond the demand, in percent of the demand
	costPerDay    float64 // weighted cost of moves and idle instance-days
	movesPerDay   float64
	shortMinutes  float64 // pool-minutes a day with less capacity than demand
	lossMinutes   float64 // total of such minutes in the hours in which a zone is lost
}

// demands returns the demand of each service in each zone at a time.
func (d deployment) demands(now time.Time, noise *rand.Rand) [][]float64 {
	day := now.Sub(start).Hours() / 24
	hour := math.Mod(day, 1) * 24
	daily := d.nightShare + (1-d.nightShare)*math.Pow((1+math.Cos((hour-d.peakHour)/12*math.Pi))/2, 2)
	out := make([][]float64, simulatedServices)
	for s := range out {
		out[s] = make([]float64, d.zones)
		level := executorsMean * (0.8 + 0.1*float64(s)) * daily
		if (int(day)+s)%d.burstDays == 0 && hour > 6 && hour < 18 {
			level *= 1 + d.burst
		}
		for z := range out[s] {
			share := (1 + 0.3*math.Sin(day+float64(z))) / float64(d.zones)
			out[s][z] = 0.75 * level * share * math.Exp(0.1*noise.NormFloat64())
		}
	}
	return out
}

// simulatedInstance is an instance with its state in the simulation.
type simulatedInstance struct {
	Instance
	busyUntil time.Time // while it moves or is provisioned
	returned  bool      // to the platform; costs nothing
}

func (d deployment) instances() [][]*simulatedInstance {
	perZone := (simulatedServices*executorsMean*2 + d.workers) / d.zones
	var names []string
	for s := range simulatedServices {
		names = append(names, fmt.Sprint("service-", s))
	}
	zones := make([][]*simulatedInstance, d.zones)
	for z := range zones {
		for i := range perZone {
			id := fleet.InstanceID(fmt.Sprintf("z%d-%03d", z, i))
			zones[z] = append(zones[z], &simulatedInstance{Instance: Instance{ID: id, Eligible: names}, returned: true})
		}
	}
	return zones
}

// run simulates the workload under a sizing policy.
func (d deployment) run(policy sizer) score {
	noise := rand.New(rand.NewPCG(1, uint64(d.zones)))
	zones := d.instances()
	var s score
	var idle, needed float64
	for step := range (d.days + 1) * stepsPerDay {
		now := start.Add(time.Duration(step) * simulationStep)
		demand := d.demands(now, noise)
		policy.observe(demand, now)
		warm := step >= stepsPerDay
		for z, instances := range zones {
			moves := replan(policy.pools(z, now), instances, now)
			if warm {
				s.movesPerDay += float64(moves) / float64(d.days)
			}
		}
		if !warm {
			continue
		}
		lost := -1
		if day, stepOfDay := step/stepsPerDay, step%stepsPerDay; day%4 == 0 && stepOfDay/stepsPerHour == lossHour {
			lost = day % d.zones
		}
		paid, used, short := d.measure(zones, demand, lost, now)
		if lost >= 0 {
			s.lossMinutes += short * simulationStep.Minutes()
			continue
		}
		s.shortMinutes += short * simulationStep.Minutes() / float64(d.days)
		idle, needed = idle+paid-used, needed+used
	}
	s.bufferPercent = 100 * idle / needed
	s.costPerDay = d.moveWeight*s.movesPerDay + d.bufferWeight*idle/float64(stepsPerDay*d.days)
	return s
}

// replan applies a plan to one zone and counts the instances that leave a pool.
func replan(pools []Pool, instances []*simulatedInstance, now time.Time) int {
	byID := make(map[fleet.InstanceID]*simulatedInstance, len(instances))
	input := make([]Instance, len(instances))
	for i, instance := range instances {
		byID[instance.ID], input[i] = instance, instance.Instance
	}
	moves := 0
	for _, a := range MakePlan(pools, input).Assignments {
		instance := byID[a.ID]
		switch {
		case a.To == a.From:
			continue
		case a.Moved():
			moves++
			instance.busyUntil = now.Add(drainTime)
		case instance.returned:
			instance.busyUntil = now.Add(provisionTime)
		}
		instance.Pool, instance.returned = a.To, a.To == ""
	}
	return moves
}

// measure returns the number of paid instances, the demand in instances, and the number
// of pools that are short. A pool's demand may be served in any zone that is not lost.
func (d deployment) measure(zones [][]*simulatedInstance, demand [][]float64, lost int, now time.Time) (paid, used, short float64) {
	capacity := make(map[string]float64)
	for z, instances := range zones {
		for _, instance := range instances {
			if !instance.returned {
				paid++
			}
			if z != lost && !now.Before(instance.busyUntil) {
				capacity[instance.Pool]++
			}
		}
	}
	for s, byZone := range demand {
		total := 0.0
		for _, value := range byZone {
			total += value
		}
		used += total
		if capacity[fmt.Sprint("service-", s)] < total {
			short++
		}
	}
	return paid, used, short
}

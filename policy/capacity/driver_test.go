package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// deployment is a workload of five services over some availability zones.
type deployment struct {
	name    string
	zones   int
	workers int // in all zones, on top of the executors
	// peakHour of the day; nightShare is the demand at the quietest hour over the peak's.
	peakHour   float64
	nightShare float64
	// burst is how much the demand of one service grows, every burstDays, for half a day.
	burst     float64
	burstDays int
	move      float64
	buffer    float64
	days      int // that are played, after a day of warming up
}

var (
	agrisportello = deployment{"agrisportello", 4, 50, 11, 0.25, 0.5, 5, 10, 1, 14}
	magnolia      = deployment{"magnolia", 3, 50, 1, 0.4, 0.3, 3, 1, 10, 14}
)

const (
	driverStep     = 5 * time.Minute
	stepsAnHour    = int(time.Hour / driverStep)
	stepsADay      = 24 * stepsAnHour
	lossHour       = 11 // of every fourth day a zone is lost
	driverServices = 5
	executorsMean  = 10 // of one service, in all zones, at its peak
	// returnTime is how long the platform takes to hand an instance out.
	returnTime = 10 * time.Minute
	// drainTime is how long a move takes.
	drainTime = time.Minute
)

// sizer says which pools exist at a step, as the planner sees them.
type sizer interface {
	observe(demand [][]float64, now time.Time)
	pools(zone int, now time.Time) []Pool
}

// score is what a run costs.
type score struct {
	bufferPercent float64 // paid for beyond the demand, of the demand
	costADay      float64 // moves and idle instance-days by the deployment's weights
	movesADay     float64
	shortMinutes  float64 // minutes a day in which a pool has less than its demand
	lossMinutes   float64 // such minutes in the hours in which a zone is lost, in all
}

// demands returns the demand of each service in each zone at a time.
func (d deployment) demands(now time.Time, noise *rand.Rand) [][]float64 {
	day := now.Sub(start).Hours() / 24
	hour := math.Mod(day, 1) * 24
	daily := d.nightShare + (1-d.nightShare)*math.Pow((1+math.Cos((hour-d.peakHour)/12*math.Pi))/2, 2)
	out := make([][]float64, driverServices)
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

// simulated is one instance of the driver.
type simulated struct {
	Instance
	busyUntil time.Time // moving, or on its way from the platform
	returned  bool      // given back to the platform, costs nothing
}

func (d deployment) instances() [][]*simulated {
	perZone := (driverServices*executorsMean*2 + d.workers) / d.zones
	var names []string
	for s := range driverServices {
		names = append(names, fmt.Sprint("service-", s))
	}
	zones := make([][]*simulated, d.zones)
	for z := range zones {
		for i := range perZone {
			id := fleet.InstanceID(fmt.Sprintf("z%d-%03d", z, i))
			zones[z] = append(zones[z], &simulated{Instance: Instance{ID: id, Eligible: names}, returned: true})
		}
	}
	return zones
}

// run plays the workload.
func (d deployment) run(policy sizer) score {
	noise := rand.New(rand.NewPCG(1, uint64(d.zones)))
	zones := d.instances()
	var s score
	var spare, needed float64
	for step := range (d.days + 1) * stepsADay {
		now := start.Add(time.Duration(step) * driverStep)
		demand := d.demands(now, noise)
		policy.observe(demand, now)
		warm := step >= stepsADay
		for z, instances := range zones {
			moves := replan(policy.pools(z, now), instances, now)
			if warm {
				s.movesADay += float64(moves) / float64(d.days)
			}
		}
		if !warm {
			continue
		}
		lost := -1
		if day, part := step/stepsADay, step%stepsADay; day%4 == 0 && part/stepsAnHour == lossHour {
			lost = day % d.zones
		}
		paid, used, short := d.judge(zones, demand, lost, now)
		if lost >= 0 {
			s.lossMinutes += short * driverStep.Minutes()
			continue
		}
		s.shortMinutes += short * driverStep.Minutes() / float64(d.days)
		spare, needed = spare+paid-used, needed+used
	}
	s.bufferPercent = 100 * spare / needed
	s.costADay = d.move*s.movesADay + d.buffer*spare/float64(stepsADay*d.days)
	return s
}

// replan applies a plan to one zone and counts the instances that leave a pool.
func replan(pools []Pool, instances []*simulated, now time.Time) int {
	byID := make(map[fleet.InstanceID]*simulated, len(instances))
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
			instance.busyUntil = now.Add(returnTime)
		}
		instance.Pool, instance.returned = a.To, a.To == ""
	}
	return moves
}

// judge returns the paid instances, the demand, and how many pools fall short. A
// pool's demand may be served in any zone that is not lost.
func (d deployment) judge(zones [][]*simulated, demand [][]float64, lost int, now time.Time) (paid, used, short float64) {
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

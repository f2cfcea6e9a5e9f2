package shard

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// largeFactor is how many times the typical need a need must exceed to be large: two or three ending
	// tasks make room for a smaller one. With a factor of 2, the largest of needs from 3 to 13 cores would
	// at times count as large.
	largeFactor = 2.5
	// minNeedJobs is the number of jobs from which a need may count as large.
	minNeedJobs = 8
	// minLargeShare is the minimum share of an executor of a large need. Smaller ones seldom wait
	// for want of room in one place.
	minLargeShare = 0.25
	// needMemory is how long the largest needs are remembered at least; at most twice as long.
	needMemory = 10 * time.Second
	// typicalNeedTasks is the number of tasks over which the typical need is averaged.
	typicalNeedTasks = 1000
)

// needMix tracks the sizes of recent needs, to detect uneven work: whether some tasks need far more than the typical one.
// For even work, placement has to consider neither gaps nor what will end.
type needMix struct {
	factor float64 // largeFactor, but in tests
	weight float64
	jobs   int
	// logCPU and logMemory are the decaying means of the logarithms of the needs of short tasks.
	logCPU, logMemory float64
	recent, earlier   largestNeeds
	recentSince       time.Time
}

// largestNeeds holds the needs that are largest by each resource.
type largestNeeds struct{ byCPU, byMemory job.Resources }

func (l *largestNeeds) add(need job.Resources) {
	if need.MilliCPU > l.byCPU.MilliCPU {
		l.byCPU = need
	}
	if need.MemoryMB > l.byMemory.MemoryMB {
		l.byMemory = need
	}
}

// note records the needs of a job.
func (m *needMix) note(j *jobState, now time.Time) {
	m.advance(now)
	m.jobs++
	for i := range j.Definition.Steps {
		def := &j.Definition.Steps[i]
		if def.LongRunning {
			continue
		}
		need := def.Reservation()
		m.recent.add(need)
		tasks := float64(def.Count)
		m.weight = min(m.weight+tasks, typicalNeedTasks)
		share := min(1, tasks/m.weight)
		m.logCPU += share * (math.Log(float64(max(1, need.MilliCPU))) - m.logCPU)
		m.logMemory += share * (math.Log(float64(max(1, need.MemoryMB))) - m.logMemory)
	}
}

func (m *needMix) advance(now time.Time) {
	switch age := now.Sub(m.recentSince); {
	case age >= 2*needMemory:
		m.earlier, m.recent, m.recentSince = largestNeeds{}, largestNeeds{}, now
	case age >= needMemory:
		m.earlier, m.recent, m.recentSince = m.recent, largestNeeds{}, now
	}
}

// unevenness is what a batch needs to know of the mix of needs.
type unevenness struct {
	minCPU, minMemory float64
	// references holds the largest needs seen lately if they are large; none if the work is even.
	references []job.Resources
}

// unevenness returns the state of the mix for executors of the given mean capacity.
func (m *needMix) unevenness(capacity job.Resources, now time.Time) unevenness {
	m.advance(now)
	u := unevenness{
		minCPU:    max(minLargeShare*float64(capacity.MilliCPU), m.factor*math.Exp(m.logCPU)),
		minMemory: max(minLargeShare*float64(capacity.MemoryMB), m.factor*math.Exp(m.logMemory)),
	}
	if m.jobs < minNeedJobs {
		return u
	}
	largest := m.recent
	largest.add(m.earlier.byCPU)
	largest.add(m.earlier.byMemory)
	if u.isLarge(largest.byCPU) {
		u.references = append(u.references, largest.byCPU)
	}
	if largest.byMemory != largest.byCPU && u.isLarge(largest.byMemory) {
		u.references = append(u.references, largest.byMemory)
	}
	return u
}

// isLarge reports whether the need is far larger than the typical one.
func (u *unevenness) isLarge(need job.Resources) bool {
	return float64(need.MilliCPU) > u.minCPU || float64(need.MemoryMB) > u.minMemory
}

// fragmentationCost returns what a placement costs the largest needs: places for them that it uses
// up, and capacity that they can't use any more since the executor lacks the other resource.
func (u *unevenness) fragmentationCost(need, free, capacity job.Resources) float64 {
	cost := 0.0
	rest := free.Sub(need)
	for _, large := range u.references {
		if large.Fits(free) {
			cost += penaltyLostPlace * float64(fitCount(large, free)-fitCount(large, rest))
		}
		cost += stranded(large, rest, capacity) - stranded(large, free, capacity)
	}
	return cost
}

// stranded returns the share of an executor that is free but of no use for tasks with the
// proportions of the given need, since the other resource runs out first.
func stranded(need, free, capacity job.Resources) float64 {
	if need.MilliCPU == 0 || need.MemoryMB == 0 || capacity.MilliCPU == 0 || capacity.MemoryMB == 0 {
		return 0
	}
	cpu := float64(free.MilliCPU) / float64(need.MilliCPU)
	memory := float64(free.MemoryMB) / float64(need.MemoryMB)
	if cpu > memory {
		return (cpu - memory) * float64(need.MilliCPU) / float64(capacity.MilliCPU)
	}
	return (memory - cpu) * float64(need.MemoryMB) / float64(capacity.MemoryMB)
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/estimate"
)

// urgentBound is the time within which urgent tasks must start.
const urgentBound = 2200 * time.Millisecond

const simulatedHours = 4

// deployment describes the workers of one customer.
type deployment struct {
	name     string
	workers  int
	capacity fleet.Resources // of one worker
}

func deployments() []deployment {
	return []deployment{
		{"agrisportello", 50, fleet.Resources{MilliCPU: 16_000, MemoryMiB: 64_000}},
		{"magnolia", 50, fleet.Resources{MilliCPU: 64_000, MemoryMiB: 128_000}},
		{"agrisportello-third", 16, fleet.Resources{MilliCPU: 16_000, MemoryMiB: 64_000}},
	}
}

// outcome is the result of a policy in a simulation.
type outcome struct {
	missed     float64 // share of batch tasks that miss their deadline
	ooms       int
	unstarted  int // urgent tasks that never started
	delayP99   time.Duration
	delayWorst time.Duration
}

func newLearnedPolicy() *learnedPolicy {
	l := &learnedPolicy{estimator: estimate.New(1000)}
	for i := range 5 {
		l.tenants = append(l.tenants, tenantWithQuota(fmt.Sprintf("t-%d", i), res(160_000, 640_000)))
	}
	return l
}

func run(d deployment, policy policyUnderTest, seed uint64) outcome {
	sim := drawSimulation(rand.New(rand.NewPCG(seed, 1)), simulatedHours, d.capacity, d.workers)
	sim.run(policy, simulatedHours*time.Hour)
	return sim.outcome()
}

func (sim *simulation) outcome() outcome {
	o := outcome{ooms: sim.ooms}
	batches, missed := 0, 0
	for _, t := range sim.tasks {
		switch {
		case t.urgent && t.started == 0:
			o.unstarted++
		case !t.urgent && t.deadline <= simulatedHours*time.Hour:
			batches++
			if t.finished == 0 || t.finished > t.deadline {
				missed++
			}
		}
	}
	o.missed = float64(missed) / float64(max(batches, 1))
	slices.Sort(sim.delays)
	if len(sim.delays) > 0 {
		o.delayP99 = sim.delays[(len(sim.delays)-1)*99/100]
		o.delayWorst = sim.delays[len(sim.delays)-1]
	}
	return o
}

func BenchmarkPlacementSimulation(b *testing.B) {
	for _, d := range deployments() {
		policies := map[string]func() policyUnderTest{
			"naive":   func() policyUnderTest { return firstFit{} },
			"learned": func() policyUnderTest { return newLearnedPolicy() },
		}
		for _, name := range []string{"naive", "learned"} {
			b.Run(d.name+"/"+name, func(b *testing.B) {
				var o outcome
				for range b.N {
					o = run(d, policies[name](), 1)
				}
				b.ReportMetric(100*o.missed, "%missed")
				b.ReportMetric(float64(o.ooms), "ooms")
				b.ReportMetric(float64(o.unstarted), "urgent-unstarted")
				b.ReportMetric(o.delayP99.Seconds(), "urgent-p99-s")
				b.ReportMetric(o.delayWorst.Seconds(), "urgent-max-s")
			})
		}
	}
}

// TestUrgentWorkStartsInTime checks urgentBound over a seeded workload that requests
// more than its workers have.
func TestUrgentWorkStartsInTime(t *testing.T) {
	d := deployment{"agrisportello-eighth", 6, fleet.Resources{MilliCPU: 16_000, MemoryMiB: 64_000}}
	sim := drawSimulation(rand.New(rand.NewPCG(1, 1)), 1, d.capacity, d.workers)
	sim.run(newLearnedPolicy(), time.Hour)
	o := sim.outcome()
	assert.Assert(t, o.delayWorst <= urgentBound, "%s", o.delayWorst)
	assert.Equal(t, o.unstarted, 0)
}

// nearlyFullZone returns a zone whose workers are nearly full, with pending tasks.
func nearlyFullZone(workers, pendingTasks int) Snapshot {
	rng := rand.New(rand.NewPCG(1, 2))
	s := Snapshot{Now: now}
	for i := range 210 {
		s.Tenants = append(s.Tenants, tenantWithQuota(fmt.Sprintf("t-%d", i), res(50_000, 200_000)))
	}
	for i := range workers {
		var running []Task
		for j := range 7 {
			running = append(running, batch(fmt.Sprintf("r-%d-%d", i, j), fmt.Sprintf("t-%d", rng.IntN(210)),
				res(2000, 8000), time.Duration(rng.IntN(3600))*time.Second))
		}
		s.Workers = append(s.Workers, worker(i, running...))
	}
	for i := range pendingTasks {
		p := pending(fmt.Sprintf("j-%d", i%50), fmt.Sprintf("t-%d", rng.IntN(210)), res(1000+rng.Int64N(2000), 4000))
		p.Index, p.Urgent = i, i%20 == 0
		s.Pending = append(s.Pending, p)
	}
	return s
}

// BenchmarkPlacementDecide measures one decision for one zone of the target fleet
// (3,100 workers over 13 zones), for a tenth of the zone, and for the whole fleet.
func BenchmarkPlacementDecide(b *testing.B) {
	const decisionsPerSecond = 2
	for _, workers := range []int{24, 240, 3100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := nearlyFullZone(workers, workers)
			b.ReportAllocs()
			for b.Loop() {
				Decide(s)
			}
			perDecision := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(100*perDecision*decisionsPerSecond, "%core")
		})
	}
}

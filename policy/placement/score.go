package placement

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// bestWorker returns the worker with the highest score among those that the task fits,
// or nil.
func (p *planner) bestWorker(t Pending) *node {
	if _, refused := p.refusedJobs[t.Job]; refused && !t.Urgent {
		return nil
	}
	var best *node
	var bestScore float64
	for _, n := range p.workers {
		if !p.usable(t, n) || !t.Need.Fits(n.free) {
			continue
		}
		if score := p.score(t, n); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

func (p *planner) usable(t Pending, n *node) bool {
	return n.Unusable == "" && t.Selector.Matches(n.Labels) && !slices.Contains(t.Avoid, n.ID)
}

const (
	// trustWeight, fitWeight and spreadWeight weigh the terms of a score.
	trustWeight  = 4.0
	fitWeight    = 2.0
	spreadWeight = 1.0
	// acceleratorWeight keeps tasks without accelerators off workers that have some.
	acceleratorWeight = 3.0
)

// score prefers trusted workers, tight fits and racks with few tasks of the job.
func (p *planner) score(t Pending, n *node) float64 {
	score := trustWeight*n.Trust + fitWeight*fit(t.Need, n)
	score -= spreadWeight * float64(p.tasksPerRack[rackJob{n.Rack, t.Job}])
	if t.Need.Accelerators == 0 && n.Capacity.Accelerators > 0 {
		score -= acceleratorWeight
	}
	return score
}

// fit returns the utilisation of CPU or memory after the start, whichever is higher.
func fit(need fleet.Resources, n *node) float64 {
	remaining := n.free.Sub(need)
	cpu := 1 - fraction(remaining.MilliCPU, n.Capacity.MilliCPU)
	memory := 1 - fraction(remaining.MemoryMiB, n.Capacity.MemoryMiB)
	return max(cpu, memory)
}

package placement

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// bestWorker returns the worker with the highest score among those that the task fits,
// or nil.
func (p *planner) bestWorker(t Pending) *workerState {
	if _, refused := p.refusedJobs[t.Job]; refused && !t.Urgent {
		return nil
	}
	var best *workerState
	var bestScore float64
	for _, w := range p.workers {
		if !p.usable(t, w) || !t.Need.Fits(w.free) {
			continue
		}
		if score := p.score(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (p *planner) usable(t Pending, w *workerState) bool {
	return w.Unusable == "" && t.Selector.Matches(w.Labels) && !slices.Contains(t.Avoid, w.ID)
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
func (p *planner) score(t Pending, w *workerState) float64 {
	score := trustWeight*w.Trust + fitWeight*fit(t.Need, w)
	score -= spreadWeight * float64(p.tasksPerRack[rackJob{w.Rack, t.Job}])
	if t.Need.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score -= acceleratorWeight
	}
	return score
}

// fit returns the utilisation of CPU or memory after the start, whichever is higher.
func fit(need fleet.Resources, w *workerState) float64 {
	remaining := w.free.Sub(need)
	cpu := 1 - fraction(remaining.MilliCPU, w.Capacity.MilliCPU)
	memory := 1 - fraction(remaining.MemoryMiB, w.Capacity.MemoryMiB)
	return max(cpu, memory)
}

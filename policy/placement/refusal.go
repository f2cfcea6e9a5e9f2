package placement

import (
	"fmt"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// refuse records why a task did not start. Later tasks of the same job share the
// refusal, since free capacity only shrinks in the meantime.
func (p *planner) refuse(t Pending) {
	refusal, known := p.refusedJobs[t.Job]
	if !known {
		counts := p.countFilters(t)
		refusal = Refusal{Job: t.Job, Unsatisfiable: counts.unsatisfiable(), Reason: counts.String()}
		p.refusedJobs[t.Job] = refusal
	}
	refusal.Index = t.Index
	p.plan.Refusals = append(p.plan.Refusals, refusal)
}

// filterCounts counts the workers that each filter rejects for a task.
type filterCounts struct {
	workers   int
	unmatched int
	unusable  int
	avoided   int
	tooSmall  int
	full      int
	need      fleet.Resources
}

func (p *planner) countFilters(t Pending) filterCounts {
	c := filterCounts{workers: len(p.workers), need: t.Need}
	for _, w := range p.workers {
		switch {
		case !t.Selector.Matches(w.Labels):
			c.unmatched++
		case !t.Need.Fits(w.Capacity):
			c.tooSmall++
		case w.Unusable != "":
			c.unusable++
		case slices.Contains(t.Avoid, w.ID):
			c.avoided++
		default:
			c.full++
		}
	}
	return c
}

func (c filterCounts) unsatisfiable() bool { return c.unmatched+c.tooSmall == c.workers }

// String lists the filters with the number of workers that each rejects.
func (c filterCounts) String() string {
	return fmt.Sprintf("of %d workers %d do not match the selector, %d are too small for %dm CPU, %d MiB and %d accelerators, "+
		"%d accept no new tasks, %d are excluded since the task failed there, %d lack free capacity",
		c.workers, c.unmatched, c.tooSmall, c.need.MilliCPU, c.need.MemoryMiB, c.need.Accelerators,
		c.unusable, c.avoided, c.full)
}

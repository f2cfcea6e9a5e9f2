// Package estimate learns what tasks really use from lagging usage reports, since
// what jobs declare is often far from the truth.
package estimate

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// JobKey names a job of a tenant.
type JobKey struct {
	Tenant string
	Job    string
}

// Sample is one usage report of one task with what its job declared.
type Sample struct {
	Key      JobKey
	Declared fleet.Resources
	Used     fleet.Resources
	At       time.Time
}

// Source says on what an estimate rests.
type Source string

// The sources of an estimate, from the best to the worst.
const (
	SourceJob      Source = "usage of this job"
	SourceTenant   Source = "usage of the tenant's other jobs"
	SourceFailure  Source = "failures before any report"
	SourceDeclared Source = "declaration"
)

// Need is an estimate of what one task uses at its peak.
type Need struct {
	Resources fleet.Resources
	Source    Source
	Samples   int
}

const (
	// minJobSamples is how many reports make a job's own estimate count.
	minJobSamples = 3
	// minTenantSamples is how many reports make the tenant's ratio count.
	minTenantSamples = 10
	// riseShare and fallShare are the shares of the distance by which an estimate
	// follows a higher and a lower report. The quick rise and slow fall keep the
	// estimate near the peak.
	riseShare = 0.6
	fallShare = 0.04
	// memoryHeadroom multiplies memory, which unlike processor time cannot be throttled.
	memoryHeadroom = 1.1
	// failureRaise multiplies the memory of a job whose task failed unreported.
	failureRaise = 1.5
	// minRatio and maxRatio bound how far a tenant's ratio changes a declaration.
	minRatio = 0.1
	maxRatio = 4.0
)

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	maxJobs int
	jobs    map[JobKey]*jobEstimate
	tenants map[string]*ratioEstimate
}

type jobEstimate struct {
	cpu     float64 // thousandths of a core
	memory  float64 // mebibytes
	samples int
	last    time.Time
	// guess is what a task is given after unreported failures, until the first report.
	provisional fleet.Resources
}

// ratioEstimate is used by declared, for each dimension.
type ratioEstimate struct {
	cpu     float64
	memory  float64
	samples int
}

// New returns an estimator that remembers up to maxJobs jobs.
func New(maxJobs int) *Estimator {
	return &Estimator{maxJobs: maxJobs, jobs: map[JobKey]*jobEstimate{}, tenants: map[string]*ratioEstimate{}}
}

// Observe learns from one report.
func (e *Estimator) Observe(s Sample) {
	e.observeJob(s)
	e.observeTenant(s)
}

func (e *Estimator) observeJob(s Sample) {
	job, known := e.jobs[s.Key]
	if !known {
		e.evictOldest()
		job = &jobEstimate{}
		e.jobs[s.Key] = job
	}
	job.cpu = moveTowards(job.cpu, float64(s.Used.MilliCPU), job.samples)
	job.memory = moveTowards(job.memory, float64(s.Used.MemoryMiB), job.samples)
	job.samples++
	job.last = s.At
}

func (e *Estimator) observeTenant(s Sample) {
	ratio, known := e.tenants[s.Key.Tenant]
	if !known {
		ratio = &ratioEstimate{}
		e.tenants[s.Key.Tenant] = ratio
	}
	ratio.cpu = moveTowards(ratio.cpu, usageRatio(s.Used.MilliCPU, s.Declared.MilliCPU), ratio.samples)
	ratio.memory = moveTowards(ratio.memory, usageRatio(s.Used.MemoryMiB, s.Declared.MemoryMiB), ratio.samples)
	ratio.samples++
}

// ObserveFailure learns from a task that failed before any task of its job was
// reported. What it used is unknown; since it may have been killed for memory, the
// next start asks for more, up to limit and maxRatio times the declaration. The first
// report replaces this guess.
func (e *Estimator) ObserveFailure(key JobKey, declared, limit fleet.Resources, at time.Time) {
	job, known := e.jobs[key]
	if known && job.samples > 0 {
		return
	}
	need := e.Estimate(key, declared).Resources
	if !known {
		e.evictOldest()
		job = &jobEstimate{}
		e.jobs[key] = job
	}
	maxMemory := min(float64(limit.MemoryMiB), maxRatio*float64(declared.MemoryMiB))
	job.provisional = fleet.Resources{
		MilliCPU: need.MilliCPU, MemoryMiB: int64(min(float64(need.MemoryMiB)*failureRaise, maxMemory)),
		Accelerators: declared.Accelerators,
	}
	job.last = at
}

// follow moves estimate towards value; the first value is taken whole.
func moveTowards(estimate, value float64, samples int) float64 {
	if samples == 0 {
		return value
	}
	if value > estimate {
		return estimate + riseShare*(value-estimate)
	}
	return estimate + fallShare*(value-estimate)
}

// quotient returns used by declared within the bounds of a ratio, 1 where nothing
// was declared.
func usageRatio(used, declared int64) float64 {
	if declared <= 0 {
		return 1
	}
	return min(max(float64(used)/float64(declared), minRatio), maxRatio)
}

// evictOldest makes room for one job by forgetting the one without reports for longest.
func (e *Estimator) evictOldest() {
	if len(e.jobs) < e.maxJobs {
		return
	}
	var oldest JobKey
	var at time.Time
	for key, job := range e.jobs {
		if at.IsZero() || job.last.Before(at) {
			oldest, at = key, job.last
		}
	}
	delete(e.jobs, oldest)
}

// Estimate returns what one task of the job is expected to use at its peak.
// Accelerators are exclusive devices, so the declaration stands for them.
func (e *Estimator) Estimate(key JobKey, declared fleet.Resources) Need {
	job, known := e.jobs[key]
	if known && job.samples >= minJobSamples {
		return Need{Resources: rounded(job.cpu, job.memory, declared), Source: SourceJob, Samples: job.samples}
	}
	if known && job.samples == 0 {
		return Need{Resources: job.provisional, Source: SourceFailure}
	}
	ratio, ok := e.tenants[key.Tenant]
	if !ok || ratio.samples < minTenantSamples {
		return Need{Resources: declared, Source: SourceDeclared}
	}
	cpu := ratio.cpu * float64(declared.MilliCPU)
	memory := ratio.memory * float64(declared.MemoryMiB)
	return Need{Resources: rounded(cpu, memory, declared), Source: SourceTenant, Samples: ratio.samples}
}

func rounded(cpu, memory float64, declared fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     int64(cpu) + 1,
		MemoryMiB:    int64(memory*memoryHeadroom) + 1,
		Accelerators: declared.Accelerators,
	}
}

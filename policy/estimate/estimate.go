// Package estimate estimates the resource usage of tasks from delayed usage reports,
// since the declarations of jobs are often far from the real usage.
package estimate

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// JobKey identifies a job of a tenant.
type JobKey struct {
	Tenant string
	Job    string
}

// Sample is one usage report of one task with the declaration of its job.
type Sample struct {
	Key      JobKey
	Declared fleet.Resources
	Used     fleet.Resources
	At       time.Time
}

// Source is the basis of an estimate.
type Source string

// The sources of an estimate, best first.
const (
	SourceJob      Source = "usage of this job"
	SourceTenant   Source = "usage of the tenant's other jobs"
	SourceFailure  Source = "failures before any report"
	SourceDeclared Source = "declaration"
)

// Need is an estimate of the peak usage of one task.
type Need struct {
	Resources fleet.Resources
	Source    Source
	Samples   int
}

const (
	// minJobSamples is the number of reports from which a job's own estimate is used.
	minJobSamples = 3
	// minTenantSamples is the number of reports from which the tenant's ratio is used.
	minTenantSamples = 10
	// riseShare and fallShare are the shares of the difference by which an estimate
	// moves towards a higher and a lower report. The quick rise and slow fall keep it
	// near the peak.
	riseShare = 0.6
	fallShare = 0.04
	// memoryHeadroom multiplies estimated memory, which unlike CPU can't be throttled.
	memoryHeadroom = 1.1
	// failureRaise multiplies the memory of a job whose task failed before any report.
	failureRaise = 1.5
	// minRatio and maxRatio limit a tenant's ratio of usage to declaration. maxRatio also
	// limits the raise after failures.
	minRatio = 0.1
	maxRatio = 4.0
)

// Estimator holds estimates by job and by tenant. It is not safe for concurrent use.
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
	// provisional is the estimate after failures; it is used until the first report.
	provisional fleet.Resources
}

// ratioEstimate is the ratio of used to declared resources.
type ratioEstimate struct {
	cpu     float64
	memory  float64
	samples int
}

// New returns an estimator that keeps estimates of up to maxJobs jobs.
func New(maxJobs int) *Estimator {
	return &Estimator{maxJobs: maxJobs, jobs: map[JobKey]*jobEstimate{}, tenants: map[string]*ratioEstimate{}}
}

// Observe updates the estimates of the job and its tenant with one report.
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

// ObserveFailure raises the memory estimate of a job of which a task failed before any
// usage report. The task's usage is unknown, but it may have been killed for memory.
// Memory is raised up to limit and up to maxRatio times the declaration. The first
// report replaces this estimate.
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

// moveTowards moves estimate towards value; the first value replaces it.
func moveTowards(estimate, value float64, samples int) float64 {
	if samples == 0 {
		return value
	}
	if value > estimate {
		return estimate + riseShare*(value-estimate)
	}
	return estimate + fallShare*(value-estimate)
}

// usageRatio returns used divided by declared within minRatio and maxRatio, 1 if nothing
// was declared.
func usageRatio(used, declared int64) float64 {
	if declared <= 0 {
		return 1
	}
	return min(max(float64(used)/float64(declared), minRatio), maxRatio)
}

// evictOldest removes the least recently updated job if the estimator is full.
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

// Estimate returns the expected peak usage of one task of the job. Accelerators are
// exclusive devices, so for them the declaration is used.
func (e *Estimator) Estimate(key JobKey, declared fleet.Resources) Need {
	job, known := e.jobs[key]
	if known && job.samples >= minJobSamples {
		return Need{Resources: withHeadroom(job.cpu, job.memory, declared), Source: SourceJob, Samples: job.samples}
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
	return Need{Resources: withHeadroom(cpu, memory, declared), Source: SourceTenant, Samples: ratio.samples}
}

// withHeadroom returns the need for the estimated usage: rounded up, with memoryHeadroom
// and the declared accelerators.
func withHeadroom(cpu, memory float64, declared fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     int64(cpu) + 1,
		MemoryMiB:    int64(memory*memoryHeadroom) + 1,
		Accelerators: declared.Accelerators,
	}
}

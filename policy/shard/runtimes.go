package shard

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxRunTimeKinds bounds the kinds of tasks whose run times are remembered.
	maxRunTimeKinds = 512
	// minRunTimeWeight is the weight of observations from which a distribution is used.
	minRunTimeWeight = 6
	// runTimeDecay is the weight that older observations keep with each new one: about a hundred
	// count.
	runTimeDecay = 0.99
	// remoteSlowdown is how many times longer a task runs away from its data, until that is known
	// better.
	remoteSlowdown = 3
	// ratioBuckets is the number of classes of a distribution, ratioBucketsPerDoubling of them for
	// each doubling of the ratio, from minRatio on.
	ratioBuckets            = 56
	ratioBucketsPerDoubling = 8
	minRatio                = 0.125
)

// runTimeKind identifies tasks whose run times are similar relative to their estimates: by image
// where one is given, else by the shape of the step.
type runTimeKind struct {
	image string
	queue string
	step  int
	// cpuClass and memoryClass are the binary orders of magnitude of the need: jobs of one kind
	// may differ in their needs.
	cpuClass, memoryClass int
	remote                bool // away from its data
}

func (st *step) runTimeKind(remote bool) runTimeKind {
	if st.def.Image != "" {
		return runTimeKind{image: st.def.Image, remote: remote}
	}
	need := st.def.Reservation()
	return runTimeKind{
		queue: st.job.Queue.Name, step: st.id.Step, remote: remote,
		cpuClass: bits.Len64(uint64(need.MilliCPU)), memoryClass: bits.Len64(uint64(need.MemoryMB)),
	}
}

// ratioDistribution is a decaying histogram of the ratio of observed run time to the estimate.
type ratioDistribution struct {
	weights    [ratioBuckets]float64
	total      float64
	observedAt time.Time
}

// ratioUpperBounds holds the upper bounds of the buckets.
var ratioUpperBounds = func() (bounds [ratioBuckets]float64) {
	for i := range bounds {
		bounds[i] = minRatio * math.Exp2(float64(i+1)/ratioBucketsPerDoubling)
	}
	return bounds
}()

func ratioBucket(ratio float64) int {
	if ratio <= minRatio {
		return 0
	}
	return min(ratioBuckets-1, int(ratioBucketsPerDoubling*math.Log2(ratio/minRatio)))
}

func (d *ratioDistribution) observe(ratio float64, now time.Time) {
	for i := range d.weights {
		d.weights[i] *= runTimeDecay
	}
	d.weights[ratioBucket(ratio)]++
	d.total = d.total*runTimeDecay + 1
	d.observedAt = now
}

// quantileAbove returns the quantile of the ratios that are at least the given one; false if there
// are too few.
func (d *ratioDistribution) quantileAbove(ratio, quantile float64) (float64, bool) {
	first := 0
	if ratio > 0 {
		first = ratioBucket(ratio)
	}
	above := 0.0
	for _, w := range d.weights[first:] {
		above += w
	}
	if above < 1 {
		return 0, false
	}
	sum := 0.0
	for i := first; i < ratioBuckets; i++ {
		sum += d.weights[i]
		if sum >= quantile*above {
			return ratioUpperBounds[i], true
		}
	}
	return ratioUpperBounds[ratioBuckets-1], true
}

// runTimes holds what is learned of run times during a term.
type runTimes struct {
	kinds map[runTimeKind]*ratioDistribution
}

// observe records the run time of a task.
func (r *runTimes) observe(kind runTimeKind, ratio float64, now time.Time) {
	d := r.kinds[kind]
	if d == nil {
		if r.kinds == nil {
			r.kinds = map[runTimeKind]*ratioDistribution{}
		}
		if len(r.kinds) >= maxRunTimeKinds {
			r.evict()
		}
		d = &ratioDistribution{}
		r.kinds[kind] = d
	}
	d.observe(ratio, now)
}

// evict drops the kind that has not been observed for longest.
func (r *runTimes) evict() {
	var oldest runTimeKind
	var at time.Time
	for kind, d := range r.kinds {
		if at.IsZero() || d.observedAt.Before(at) {
			oldest, at = kind, d.observedAt
		}
	}
	delete(r.kinds, oldest)
}

// of returns the distribution of the kind, or nil if too little is known.
func (r *runTimes) of(kind runTimeKind) *ratioDistribution {
	d := r.kinds[kind]
	if d == nil || d.total < minRunTimeWeight {
		return nil
	}
	return d
}

// remoteFrom reports whether the executor is away from the data of the step's tasks.
func (st *step) remoteFrom(e *executorState) bool {
	return st.def.Affinity != "" && e.Rack() != st.def.Affinity
}

// learnRunTime records the run time of a completed run, from when the executor was known to have it
// until its end was listed. Runs that were slowed down, that resumed, or that an earlier owner
// started, tell nothing about the whole run time, and neither does an end in a late response.
func (s *Shard) learnRunTime(r *run, now time.Time) {
	if s.path.applyingLate {
		return
	}
	def := r.task.step.def
	partial := r.startedAt.IsZero() || r.sentAt.IsZero() || r.checkpoint != "" || r.throttle < 100
	if partial || def.LongRunning || def.Estimate <= 0 {
		return
	}
	ratio := float64(now.Sub(r.startedAt)) / float64(def.Estimate)
	s.runTimes.observe(r.task.step.runTimeKind(r.task.step.remoteFrom(r.executor)), ratio, now)
}

// unknownRunTime stands for the run time of a task that runs until it is cancelled, or of which
// nothing is known.
const unknownRunTime = time.Duration(math.MaxInt64)

// runTime returns the run time that the given share of the step's tasks does not exceed, of those
// that have run for elapsed. Without enough observations it is the estimate with a margin.
func (s *Shard) runTime(st *step, remote bool, elapsed time.Duration, quantile float64) time.Duration {
	estimate := st.def.Estimate
	if st.def.LongRunning || estimate <= 0 {
		return unknownRunTime
	}
	if d := s.runTimes.of(st.runTimeKind(remote)); d != nil {
		ratio, known := d.quantileAbove(float64(elapsed)/float64(estimate), quantile)
		if total := time.Duration(ratio * float64(estimate)); known && total > elapsed {
			return total
		}
		return overdueRunTime(elapsed)
	}
	total := withMargin(estimate)
	if remote {
		total *= remoteSlowdown
	}
	if total <= elapsed {
		return overdueRunTime(elapsed)
	}
	return total
}

// overdueFactorLeft is the run time that a run is given that has exceeded all that is known, as a
// multiple of the time that it has run for.
const overdueFactorLeft = 1.5

func overdueRunTime(elapsed time.Duration) time.Duration {
	return time.Duration(overdueFactorLeft * float64(elapsed))
}

package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// durationWindow is the time over which run times are compared with their estimates.
	durationWindow = 2 * time.Second
	// priorRuns is the weight of the estimates, in runs, beside the observed run times.
	priorRuns = 8
	// minDurationFactor and maxDurationFactor bound the factor on estimates.
	minDurationFactor = 0.4
	maxDurationFactor = 2.5
	// overdueRest is how much longer a run is expected to take that exceeds its expected time,
	// as a share of the time that it has taken.
	overdueRest = 0.25
	// forecastHold is for how long waits are forecast after work within the rates has waited for
	// capacity: in a peak all that waits may start now and then, and large tasks find no gap still.
	forecastHold = 500 * time.Millisecond
	// probeLead is when the jobs arrive whose waits are forecast: the mean age of an Admission
	// when it is used.
	probeLead = 150 * time.Millisecond
	// overloadWait is the wait of a job, and overloadShortLoad the work of the last second as a share of
	// the capacity, from which on the service counts as overloaded; for the last two seconds the
	// share is overloadLongLoad. overloadHold is for how long it does so after that.
	overloadWait      = 200 * time.Millisecond
	overloadShortLoad = 1.7
	overloadLongLoad  = 1.45
	overloadHold      = 2 * time.Second
	// burstTime is for how long jobs are expected at the highest rate: the time until the next
	// Admission has reached all instances.
	burstTime = 400 * time.Millisecond
)

// noteCompletion records the run time of a short run that was done.
func (s *Shard) noteCompletion(r *run, now time.Time) {
	def := r.task.step.def
	if !s.admission.enabled || def.LongRunning || r.startedAt.IsZero() || def.Estimate <= 0 {
		return
	}
	s.admission.completed.add(now, def.Reservation().MilliCPU, def.Estimate, now.Sub(r.startedAt))
}

// durationFactor returns by which factor the work of the runs that ended lately, in
// core-milliseconds, exceeds what their estimates said.
func (st *admissionState) durationFactor(now time.Time) float64 {
	sum := st.completed.sum(now, durationWindow)
	if sum.count == 0 || sum.expected <= 0 {
		return 1
	}
	prior := sum.expected / float64(sum.count) * priorRuns
	return min(max((sum.actual+prior)/(sum.expected+prior), minDurationFactor), maxDurationFactor)
}

// estimate collects what the waits are estimated from.
type estimate struct {
	shard  *Shard
	now    time.Time
	full   bool    // the batch left starts out for lack of entries
	factor float64 // on the estimates of run times

	usable  []*executorState
	steps   map[*step]*aheadStep
	jobs    []*aheadJob // that go before a new one, or may
	queues  map[string]*queueSample
	blocked bool          // ready work within the rates has no room
	oldest  time.Duration // longest wait of a job that can be in time and has not started
}

// estimateAdmission returns the present waits; full is whether the batch left starts out.
func (s *Shard) estimateAdmission(now time.Time, full bool) Admission {
	st := &s.admission
	if st.since.IsZero() {
		st.since = now
	}
	st.recent.forget(now)
	e := &estimate{
		shard: s, now: now, full: full, factor: st.durationFactor(now), usable: s.usableExecutors(now),
		steps: map[*step]*aheadStep{}, queues: map[string]*queueSample{},
	}
	e.noteCapacity()
	if !st.enabled || now.Sub(st.since) < admissionWarmUp {
		return Admission{}
	}
	e.collectJobs()
	e.noteBlocked()
	e.noteOverload()
	var a Admission
	e.addLimits(&a)
	if st.exhausted(now) {
		e.addQueues(&a) // the forecast uses up the jobs
		e.addExcess(&a)
	}
	if a.Rejects() {
		a.CapacityMs = e.capacityIn(a).Milliseconds()
	}
	return a
}

// noteCapacity records the usable capacity.
func (e *estimate) noteCapacity() {
	if len(e.usable) == 0 {
		return // what it was last counts
	}
	st := &e.shard.admission
	st.usableCPU = 0
	for _, x := range e.usable {
		st.usableCPU += x.Capacity.MilliCPU
	}
}

// noteBlocked records since when work within the rates waits for capacity.
func (e *estimate) noteBlocked() {
	st := &e.shard.admission
	if !e.blocked {
		st.saturatedAt = time.Time{}
		return
	}
	st.forecastUntil = e.now.Add(forecastHold)
	if st.saturatedAt.IsZero() {
		st.saturatedAt = e.now
	}
}

// noteOverload records whether the service is in a peak beyond its capacity: jobs wait long, and
// more work arrived lately than the capacity can do. A few jobs at once don't make a peak.
func (e *estimate) noteOverload() {
	st := &e.shard.admission
	capacity := float64(st.usableCPU)
	above := e.arrivedWork(rateTime) >= overloadShortLoad*capacity || e.arrivedWork(2*rateTime) >= overloadLongLoad*capacity
	begins := e.oldest >= overloadWait && above
	continues := e.now.Before(st.overloadedUntil) && e.oldest >= overloadWait/2
	if e.blocked && (begins || continues) {
		st.overloadedUntil = e.now.Add(overloadHold)
	}
}

// arrivedWork returns the work that arrived in the given time up to now, a second: thousandths of a
// core.
func (e *estimate) arrivedWork(over time.Duration) float64 {
	var work int64
	for _, j := range e.shard.admission.recent {
		if e.now.Sub(j.at) <= over {
			work += workOf(j.Record)
		}
	}
	return e.factor * float64(work) / over.Seconds()
}

// collectJobs collects the jobs that go before a new one within its tenant's rate: those within
// their rates that can still be in time, and late ones about to be worth nothing within their
// share.
func (e *estimate) collectJobs() {
	expiringLeft := e.shard.expiringCPU()
	for _, j := range e.shard.queue.jobs {
		if j.terminating() || j.state.Final() || j.isLongRunning() {
			continue
		}
		u := j.urgency(e.now)
		if u == urgencyExpiring {
			expiringLeft -= float64(j.openCPU())
		}
		ahead := u == urgencyInTime || u == urgencyExpiring && expiringLeft >= 0
		if !ahead || j.excess {
			continue
		}
		a := e.addJob(j)
		if u == urgencyExpiring {
			a.priority = -1 // before all that can be in time
			continue
		}
		if j.Definition.Schedule.Count == 0 {
			e.sample(j, a)
		}
	}
}

func (e *estimate) addJob(j *jobState) *aheadJob {
	a := &aheadJob{
		priority: j.Queue.Priority, tenant: j.Tenant, started: j.started(),
		slack: max(0, j.objective()-j.initialRemaining), deadline: j.deadline().Sub(e.now),
	}
	for _, o := range j.occurrences {
		first := len(a.steps)
		for _, st := range o.steps {
			a.steps = append(a.steps, e.addStep(st, a, first))
		}
	}
	e.jobs = append(e.jobs, a)
	return a
}

func (e *estimate) addStep(st *step, a *aheadJob, first int) *aheadStep {
	x := e.newStep(st.def, a, first)
	x.blockers, x.left = st.blockers, st.tasksLeft
	e.steps[st] = x
	if st.blockers > 0 || !e.everFits(x.need) {
		return x
	}
	x.waiting = max(0, st.tasksLeft-st.runs)
	unconstrained := st.def.RequiredLabel == "" && st.def.MaxPerServer == 0 && !st.def.Gang && st.job.Queue.Advice == nil
	if x.waiting > 0 && unconstrained && st.anyReady(e.now) && !e.full {
		e.blocked = true // the batch has just found no room for it
	}
	return x
}

func (e *estimate) newStep(def *job.Step, a *aheadJob, first int) *aheadStep {
	x := &aheadStep{
		job: a, need: def.Reservation(), blockers: countDependencies(def), left: def.Count,
		duration: max(time.Millisecond, time.Duration(e.factor*float64(def.Estimate))),
	}
	for _, i := range def.After {
		x.after = append(x.after, first+i)
	}
	return x
}

// everFits reports whether a usable executor could run a task with the need if nothing else ran
// there. What does not fit keeps nothing else waiting.
func (e *estimate) everFits(need job.Resources) bool {
	return len(e.usable) == 0 || slices.ContainsFunc(e.usable, func(x *executorState) bool { return need.Fits(x.Capacity) })
}

// queueSample describes the jobs of a queue that can be in time, as an example of new ones.
type queueSample struct {
	priority   int
	slack      time.Duration // the smallest one
	objectives []time.Duration
	sizes      []int64 // needs of the tasks of their first steps
	counts     int     // of these steps, in sum
	need       job.Resources
}

// sample adds a job to the sample of its queue.
func (e *estimate) sample(j *jobState, a *aheadJob) {
	q := e.queues[j.Queue.Name]
	if q == nil {
		q = &queueSample{priority: j.Queue.Priority, slack: a.slack}
		e.queues[j.Queue.Name] = q
	}
	first := &j.Definition.Steps[0]
	q.slack = min(q.slack, a.slack)
	if !j.started() {
		e.oldest = max(e.oldest, e.now.Sub(j.Accepted))
	}
	q.objectives = append(q.objectives, j.objective())
	q.sizes = append(q.sizes, first.Reservation().MilliCPU)
	q.counts += first.Count
	q.need = q.need.Add(first.Reservation())
}

// memoryPerCore returns the memory that goes with a core in the sample, MB.
func (q *queueSample) memoryPerCore() int64 {
	return 1000 * q.need.MemoryMB / max(1, q.need.MilliCPU)
}

// quantiles returns n values from the smallest to the largest of a list, without repetitions.
func quantiles[T cmp.Ordered](list []T, n int) []T {
	slices.Sort(list)
	var points []T
	for i := range n {
		points = append(points, list[i*(len(list)-1)/(n-1)])
	}
	return slices.Compact(points)
}

const (
	waitObjectives = 2 // for how many objectives of a queue the wait is forecast
	waitSizes      = 4 // and for how many sizes of tasks
)

// waits forecasts the waits of new jobs by queue.
func (e *estimate) waits() map[string]QueueWait {
	f := &forecast{}
	position := map[*executorState]int{}
	for i, x := range e.usable {
		position[x] = i
		f.free = append(f.free, x.free())
		for _, r := range x.runOrder {
			if def := r.task.step.def; !def.LongRunning {
				f.events = append(f.events, forecastEvent{at: e.restOf(r), executor: i, need: def.Reservation(), step: e.steps[r.task.step]})
			}
		}
	}
	e.expect(f)
	list := map[string]QueueWait{}
	probes := map[string][]*probe{}
	for name, q := range e.queues {
		w := QueueWait{MemoryPerCore: q.memoryPerCore()}
		for _, objective := range quantiles(q.objectives, waitObjectives) {
			w.Objectives = append(w.Objectives, objective.Milliseconds())
		}
		w.Sizes = quantiles(q.sizes, waitSizes)
		for _, objective := range w.Objectives {
			for _, size := range w.Sizes {
				probes[name] = append(probes[name], f.addProbe(q, time.Duration(objective)*time.Millisecond, size))
			}
		}
		list[name] = w
	}
	f.run(e.jobs, e.full)
	for name, w := range list {
		for _, p := range probes[name] {
			w.WaitMs = append(w.WaitMs, p.wait.Milliseconds())
		}
		list[name] = w
	}
	return list
}

// addProbe adds a new job to the forecast. It arrives probeLead from now.
func (f *forecast) addProbe(q *queueSample, objective time.Duration, size int64) *probe {
	p := &probe{arrival: probeLead, held: map[int]job.Resources{}}
	a := &aheadJob{priority: q.priority, deadline: probeLead + objective}
	need := job.Resources{MilliCPU: size, MemoryMB: q.memoryPerCore() * size / 1000}
	count := max(1, q.counts/len(q.sizes))
	a.steps = []*aheadStep{{job: a, left: count, waiting: count, need: need, probe: p}}
	f.probes = append(f.probes, p)
	f.events = append(f.events, forecastEvent{at: probeLead, arrival: a})
	return p
}

// expect adds the jobs that are expected to arrive. Those that the present Admission lets in come at
// the highest rate that was seen lately, since it does not show in the accepted jobs how many are
// rejected; after that, those of the last second come again.
func (e *estimate) expect(f *forecast) {
	recent := e.shard.admission.recent
	if !e.now.Before(e.shard.admission.overloadedUntil) {
		return
	}
	burst := recent.busiest(burstTime)
	for _, j := range burst {
		e.expectJob(f, j.jobState, j.at.Sub(burst[0].at))
	}
	for _, j := range recent {
		if at := j.at.Add(rateTime).Sub(e.now); at > burstTime {
			e.expectJob(f, j.jobState, at)
		}
		if at := j.at.Add(2 * rateTime).Sub(e.now); at > rateTime {
			e.expectJob(f, j.jobState, at)
		}
	}
}

func (e *estimate) expectJob(f *forecast, j *jobState, at time.Duration) {
	a := &aheadJob{priority: j.Queue.Priority, deadline: at + j.objective()}
	for i := range j.Definition.Steps {
		x := e.newStep(&j.Definition.Steps[i], a, 0)
		if x.blockers == 0 && e.everFits(x.need) {
			x.waiting = x.left
		}
		a.steps = append(a.steps, x)
	}
	f.events = append(f.events, forecastEvent{at: at, arrival: a})
}

// restOf returns how long a run is expected to take still.
func (e *estimate) restOf(r *run) time.Duration {
	expected := time.Duration(e.factor * float64(r.task.step.def.Estimate))
	if r.startedAt.IsZero() {
		return expected
	}
	taken := e.now.Sub(r.startedAt)
	return max(expected-taken, time.Duration(overdueRest*float64(taken)), time.Millisecond)
}

// addQueues adds the queues some of whose new jobs would wait beyond the smallest slack.
func (e *estimate) addQueues(a *Admission) {
	var list map[string]QueueWait
	switch {
	case len(e.usable) == 0:
		list = e.waitsWithoutExecutors()
	case e.now.Before(e.shard.admission.forecastUntil):
		list = e.waits()
	default:
		return // what could start has started
	}
	waits := map[string]time.Duration{}
	for queue, w := range list {
		waits[queue] = w.longest()
	}
	for _, queue := range longest(waits, maxAdmissionQueues) {
		threshold := e.queues[queue].slack
		if _, rejected := e.shard.admission.published.Queues[queue]; rejected {
			threshold -= admissionHysteresis
		}
		if waits[queue] <= max(0, threshold) {
			continue
		}
		if a.Queues == nil {
			a.Queues = map[string]QueueWait{}
		}
		a.Queues[queue] = list[queue]
	}
}

// waitsWithoutExecutors returns the waits after executors will have come back, by the capacity
// that there was last. Without any yet, nothing is known.
func (e *estimate) waitsWithoutExecutors() map[string]QueueWait {
	capacity := e.shard.admission.usableCPU
	if capacity == 0 {
		return nil
	}
	list := map[string]QueueWait{}
	for name, q := range e.queues {
		work := 0.0
		for _, j := range e.jobs {
			for _, st := range j.steps {
				if j.priority <= q.priority {
					work += float64(st.left) * float64(st.need.MilliCPU) * float64(st.duration)
				}
			}
		}
		wait := min(waitHorizon, time.Duration(work/float64(capacity)))
		list[name] = QueueWait{Objectives: []int64{0}, Sizes: []int64{0}, WaitMs: []int64{wait.Milliseconds()}}
	}
	return list
}

// capacityIn returns when capacity is expected for the jobs that are rejected now: when the longest
// wait has fallen to the slack, or, if that is later, when the rejection is expected to end.
func (e *estimate) capacityIn(a Admission) time.Duration {
	var longest time.Duration
	for queue, w := range a.Queues {
		longest = max(longest, w.longest()-e.queues[queue].slack)
	}
	return max(longest, e.shard.admission.episodeLeft(e.now))
}

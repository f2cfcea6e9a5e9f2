package shard

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// waitHorizon bounds the waits that are forecast.
	waitHorizon = 4 * time.Second
	// maxForecastEvents bounds the work of one forecast.
	maxForecastEvents = 2_000
)

// aheadStep is a step of a job in a forecast.
type aheadStep struct {
	job      *aheadJob
	after    []int
	blockers int
	left     int // tasks that have not ended
	waiting  int // tasks that may start
	need     job.Resources
	duration time.Duration
	probe    *probe // if it is the step of a probe
}

// aheadJob is a job in a forecast: one that the shard has, one that is expected, or a probe.
type aheadJob struct {
	priority int
	tenant   cluster.TenantName
	slack    time.Duration // between its acceptance and its latest start
	deadline time.Duration // from now
	started  bool
	steps    []*aheadStep
}

// compare is the start order of steps in a forecast.
func (st *aheadStep) compare(other *aheadStep) int {
	unstarted := func(s *aheadStep) int {
		if s.job.started {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(st.job.priority, other.job.priority),
		cmp.Compare(unstarted(st), unstarted(other)),
		cmp.Compare(st.job.deadline, other.job.deadline),
	)
}

// probe is a new job whose wait is forecast. It takes no capacity from others: held is what its
// tasks hold in its own view.
type probe struct {
	arrival time.Duration
	held    map[int]job.Resources // by executor
	wait    time.Duration
	done    bool
}

// forecastEvent is the end of a run, or the arrival of a job.
type forecastEvent struct {
	at       time.Duration
	executor int
	need     job.Resources
	step     *aheadStep // of the run; nil for runs of jobs that do not go before new ones
	arrival  *aheadJob
}

type forecastEvents []forecastEvent

func (h forecastEvents) Len() int           { return len(h) }
func (h forecastEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h forecastEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *forecastEvents) Push(x any)        { *h = append(*h, x.(forecastEvent)) }
func (h *forecastEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// forecast plays the start order forward: as runs end, tasks start on the capacity that they free,
// in order, and those that do not fit are passed over like in a batch.
type forecast struct {
	now    time.Duration
	free   []job.Resources // by executor
	events forecastEvents
	ready  []*aheadStep // in start order
	// smallest is a lower bound of the CPU needs of the ready tasks.
	smallest int64
	probes   []*probe
}

// run plays the forecast until all probes have started, and sets their waits. What has not started
// by waitHorizon counts with it. placeable is set if ready tasks may find room at once: otherwise
// the batch has just found none for them.
func (f *forecast) run(jobs []*aheadJob, placeable bool) {
	heap.Init(&f.events)
	for _, j := range jobs {
		for _, st := range j.steps {
			if st.waiting > 0 {
				f.add(st)
			}
		}
	}
	for i := range f.free {
		if placeable {
			f.start(i)
		}
	}
	for range maxForecastEvents {
		if len(f.events) == 0 || f.now > waitHorizon || !slices.ContainsFunc(f.probes, func(p *probe) bool { return !p.done }) {
			break
		}
		f.handle(heap.Pop(&f.events).(forecastEvent))
	}
	for _, p := range f.probes {
		if !p.done {
			p.wait = waitHorizon
		}
	}
}

func (f *forecast) handle(e forecastEvent) {
	f.now = max(f.now, e.at)
	if e.arrival != nil {
		f.arrive(e.arrival)
		return
	}
	f.free[e.executor] = f.free[e.executor].Add(e.need)
	if e.step != nil {
		f.end(e.step)
	}
	f.start(e.executor)
}

func (f *forecast) add(st *aheadStep) {
	if len(f.ready) == 0 || st.need.MilliCPU < f.smallest {
		f.smallest = st.need.MilliCPU
	}
	at, _ := slices.BinarySearchFunc(f.ready, st, func(a, b *aheadStep) int { return cmp.Or(a.compare(b), -1) })
	f.ready = slices.Insert(f.ready, at, st)
}

// arrive adds a job, and starts what fits on the free capacity.
func (f *forecast) arrive(j *aheadJob) {
	for _, st := range j.steps {
		if st.waiting > 0 {
			f.startAnywhere(st)
		}
	}
}

// startAnywhere starts the waiting tasks of a step on any executor; the others are ready.
func (f *forecast) startAnywhere(st *aheadStep) {
	for i := range f.free {
		if st.waiting == 0 {
			return
		}
		f.startStep(st, i)
	}
	if st.waiting > 0 {
		f.add(st)
	}
}

// start starts the ready tasks that fit on the executor, in order.
func (f *forecast) start(executor int) {
	emptied := false
	var begun []*aheadStep // whose job had not started
	for _, st := range f.ready {
		if f.free[executor].MilliCPU < f.smallest {
			break
		}
		started := st.job.started
		if !f.startStep(st, executor) {
			continue
		}
		emptied = emptied || st.waiting == 0
		if !started && st.waiting > 0 {
			begun = append(begun, st)
		}
	}
	if emptied {
		f.ready = slices.DeleteFunc(f.ready, func(st *aheadStep) bool { return st.waiting == 0 })
	}
	for _, st := range begun { // they go before those of jobs that have not started
		f.ready = slices.DeleteFunc(f.ready, func(other *aheadStep) bool { return other == st })
		f.add(st)
	}
}

// startStep starts the waiting tasks of a step that fit on the executor, and reports whether there
// were any.
func (f *forecast) startStep(st *aheadStep, executor int) bool {
	if st.probe != nil {
		return f.startProbe(st, executor)
	}
	n := min(st.waiting, fitCount(st.need, f.free[executor]))
	for range n {
		f.free[executor] = f.free[executor].Sub(st.need)
		heap.Push(&f.events, forecastEvent{at: f.now + st.duration, executor: executor, need: st.need, step: st})
	}
	st.waiting -= n
	st.job.started = st.job.started || n > 0
	return n > 0
}

func (f *forecast) startProbe(st *aheadStep, executor int) bool {
	p := st.probe
	n := min(st.waiting, fitCount(st.need, f.free[executor].Sub(p.held[executor])))
	for range n {
		p.held[executor] = p.held[executor].Add(st.need)
	}
	st.waiting -= n
	st.job.started = st.job.started || n > 0
	if n > 0 && st.waiting == 0 {
		p.wait, p.done = f.now-p.arrival, true
	}
	return n > 0
}

// end records the end of a task, and unblocks the steps that waited for its step.
func (f *forecast) end(st *aheadStep) {
	if st.left--; st.left > 0 {
		return
	}
	steps := st.job.steps
	for _, next := range steps {
		if next.blockers == 0 || !slices.ContainsFunc(next.after, func(i int) bool { return steps[i] == st }) {
			continue
		}
		if next.blockers--; next.blockers == 0 {
			next.waiting = next.left
			f.startAnywhere(next)
		}
	}
}

// longest returns the keys of the longest waits, at most n.
func longest[K ~string](list map[K]time.Duration, n int) []K {
	keys := slices.SortedFunc(maps.Keys(list), func(a, b K) int {
		return cmp.Or(cmp.Compare(list[b], list[a]), cmp.Compare(a, b))
	})
	return keys[:min(n, len(keys))]
}

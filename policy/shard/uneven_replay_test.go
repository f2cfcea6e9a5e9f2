package shard

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// unevenLoad is a load of small and large jobs, which is replayed with one shard without a network.
type unevenLoad struct {
	executors int
	capacity  job.Resources
	racks     int
	// otherCapacity is that of every second executor, if set.
	otherCapacity job.Resources
	load          float64 // of the scarcest resource, by the true run times
	largeShare    float64 // of that load, by large jobs
	small         func(r *rand.Rand) job.Step
	large         func(r *rand.Rand) job.Step
	misestimate   bool // true run times are 20% to 90% off the estimate, and a few tasks far slower
	images        int  // if set, estimates are wrong by image, of which there are so many
	affinity      bool // the data of each job is on one rack
	duration      time.Duration
	fault         func(h *harness, at time.Duration) // called with each tick
}

const (
	// stragglerShare of the tasks take stragglerFactor times their time where estimates are wrong.
	stragglerShare  = 0.02
	stragglerFactor = 5
)

var bigExecutor = job.Resources{MilliCPU: 64_000, MemoryMB: 256_000}

func stepOf(r *rand.Rand, count int, cpu, memory int64) job.Step {
	estimate := time.Duration((0.6 + 1.4*r.Float64()) * float64(time.Second))
	return job.Step{Count: count, Need: job.Resources{MilliCPU: cpu, MemoryMB: memory}, Estimate: estimate}
}

// memoryTasks are steps of 8 tasks of 12 to 24 GB, and few cores.
func memoryTasks(r *rand.Rand) job.Step {
	memory := 12_000 + r.Int64N(12_001)
	return stepOf(r, 8, memory/20, memory)
}

// smallTasks are steps of 8 tasks of 3 to 6 cores.
func smallTasks(r *rand.Rand) job.Step {
	cpu := 3000 + r.Int64N(3001)
	return stepOf(r, 8, cpu, cpu*2)
}

// largeTasks are steps of 2 tasks of 40 of 64 cores and 150 of 256 GB.
func largeTasks(r *rand.Rand) job.Step { return stepOf(r, 2, 40_000, 150_000) }

// unevenJob is one job of a replay and what became of it.
type unevenJob struct {
	at       time.Duration
	steps    []job.Step
	trueTime [][]time.Duration // by step and task
	size     float64           // need of its largest task, as a share of an executor
	accepted time.Time
	began    time.Time
	done     time.Time
	left     int
}

func (l unevenLoad) work(s job.Step, times []time.Duration) float64 {
	share := max(float64(s.Need.MilliCPU)/float64(l.capacity.MilliCPU), float64(s.Need.MemoryMB)/float64(l.capacity.MemoryMB))
	sum := 0.0
	for _, d := range times {
		sum += share * d.Seconds()
	}
	return sum
}

// jobs draws the jobs until their work makes up the load.
func (l unevenLoad) jobs(seed uint64) []*unevenJob {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []*unevenJob
	draw := func(steps func(*rand.Rand) job.Step, load float64) {
		total := load * float64(l.executors) * l.duration.Seconds()
		for sum := 0.0; sum < total; {
			j := &unevenJob{at: time.Duration(r.Float64() * float64(l.duration))}
			affinity := fmt.Sprintf("r%d-1", 1+r.IntN(max(1, l.racks)))
			for i := range 1 + r.IntN(2) {
				s := steps(r)
				if l.affinity {
					s.Affinity = affinity
				}
				if i > 0 {
					s.After = []int{i - 1}
				}
				off := 1.0
				if l.misestimate {
					off = misestimate(r)
				}
				if l.images > 0 {
					image := r.IntN(l.images)
					s.Image = fmt.Sprintf("image-%d", image)
					off = misestimate(rand.New(rand.NewPCG(seed, uint64(image))))
				}
				times := l.trueTimes(r, s, off)
				sum += l.work(s, times)
				j.size = max(j.size, float64(s.Need.MilliCPU)/float64(l.capacity.MilliCPU), float64(s.Need.MemoryMB)/float64(l.capacity.MemoryMB))
				j.steps, j.trueTime, j.left = append(j.steps, s), append(j.trueTime, times), j.left+s.Count
			}
			list = append(list, j)
		}
	}
	draw(l.small, l.load*(1-l.largeShare))
	draw(l.large, l.load*l.largeShare)
	slices.SortStableFunc(list, func(x, y *unevenJob) int { return int(x.at - y.at) })
	return list
}

// misestimate draws the ratio of true run times to an estimate that is off by 20% to 90%.
func misestimate(r *rand.Rand) float64 {
	off := 0.2 + 0.7*r.Float64()
	if r.IntN(2) == 0 {
		return 1 - off
	}
	return 1 + off
}

// trueTimes draws the run times of the step's tasks, whose estimate is off by the given factor.
func (l unevenLoad) trueTimes(r *rand.Rand, s job.Step, off float64) []time.Duration {
	times := make([]time.Duration, s.Count)
	for i := range times {
		factor := off * (0.9 + 0.2*r.Float64())
		if l.misestimate && r.Float64() < stragglerShare {
			factor *= stragglerFactor
		}
		times[i] = time.Duration(factor * float64(s.Estimate))
	}
	return times
}

// unevenReplay is the state of one replay.
type unevenReplay struct {
	*harness
	load     unevenLoad
	begin    time.Time
	jobs     []*unevenJob
	byID     map[job.ID]*unevenJob
	running  map[cluster.ExecutorID][]replayedRun
	lost     map[cluster.ExecutorID]bool // crashed
	sequence map[cluster.ExecutorID]int64
	digest   uint64 // of all starts
	counts   ReservationCounts
	observe  func(p *unevenReplay) // called with each tick
}

func (l unevenLoad) newUnevenReplay(t *testing.T, seed uint64, factor float64) *unevenReplay {
	var executors []cluster.Executor
	for i := range l.executors {
		e := newExecutorNamed(fmt.Sprintf("i-%02d", i))
		e.Capacity = l.capacity
		if i%2 == 1 && l.otherCapacity.MilliCPU > 0 {
			e.Capacity = l.otherCapacity
		}
		e.Labels = []string{"a", fmt.Sprintf("r%d-1", 1+i%max(1, l.racks))}
		executors = append(executors, e)
	}
	p := &unevenReplay{
		harness: newHarness(t, executors...), load: l, jobs: l.jobs(seed), byID: map[job.ID]*unevenJob{},
		running: map[cluster.ExecutorID][]replayedRun{}, sequence: map[cluster.ExecutorID]int64{}, lost: map[cluster.ExecutorID]bool{},
	}
	p.shard.needs.factor = factor
	p.begin = p.now
	return p
}

// formerRule as the factor of the needs makes no need large, so that all work counts as even.
var formerRule = math.Inf(1)

// play plays the load through a shard with the given factor of large needs.
func (l unevenLoad) play(t *testing.T, seed uint64, factor float64) *unevenReplay {
	p := l.newUnevenReplay(t, seed, factor)
	p.run()
	return p
}

func (p *unevenReplay) run() {
	next := 0
	for p.now.Sub(p.begin) < p.load.duration+10*time.Second {
		at := p.now.Sub(p.begin)
		for ; next < len(p.jobs) && p.jobs[next].at <= at; next++ {
			p.submitReplayed(p.jobs[next], next)
		}
		if p.load.fault != nil {
			p.load.fault(p.harness, at)
		}
		p.startReplayed()
		p.pollReplayed()
		if p.observe != nil {
			p.observe(p)
		}
		p.now = p.now.Add(replayTick)
	}
	r := p.shard.reservationReport()
	p.counts = r.ReservationCounts
}

// submitReplayed accepts a job with the objective of the target deployments.
func (p *unevenReplay) submitReplayed(j *unevenJob, number int) {
	id := job.ID(fmt.Sprintf("%016x", number+1))
	j.accepted = p.now
	p.byID[id] = j
	p.shard.AddJob(Record{
		ID: id, Accepted: p.now, Definition: job.Definition{Steps: j.steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 3, Stretch: 1.6, TargetDuration: 600 * time.Millisecond},
	}, nil, p.now)
}

func (p *unevenReplay) startReplayed() {
	hash := fnv.New64a()
	for _, cmd := range p.storeAndCommand() {
		if cmd.Kind != CommandStart {
			p.stopReplayed(cmd)
			continue
		}
		if p.lost[cmd.Executor.ID] {
			p.shard.HandleCommandResult(cmd, NotSent, execution.Reply{}, p.now)
			continue
		}
		task := cmd.Start.RunRef.Task
		fmt.Fprintln(hash, p.digest, task, cmd.Executor.ID)
		p.digest = hash.Sum64()
		j := p.byID[task.Job]
		if j.began.IsZero() {
			j.began = p.now
		}
		taken := j.trueTime[task.Step][task.Index]
		if a := j.steps[task.Step].Affinity; a != "" && a != cmd.Executor.Rack() {
			taken *= remoteSlowdown
		}
		p.running[cmd.Executor.ID] = append(p.running[cmd.Executor.ID], replayedRun{cmd.Start.RunRef, p.now.Add(taken)})
		p.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: p.clock()}, p.now)
	}
}

// stopReplayed ends a run that is stopped without a completion.
func (p *unevenReplay) stopReplayed(cmd Command) {
	id := cmd.Executor.ID
	p.running[id] = slices.DeleteFunc(p.running[id], func(r replayedRun) bool { return r.ref == cmd.Start.RunRef })
	p.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: p.clock()}, p.now)
}

func (p *unevenReplay) clock() int64 { return 1000 + p.now.Sub(p.begin).Milliseconds() }

// pollReplayed answers the polls.
func (p *unevenReplay) pollReplayed() {
	for _, poll := range p.shard.Polls(p.now) {
		id := poll.Executor.ID
		if p.lost[id] {
			p.shard.HandlePollResult(poll, NotSent, execution.PollResponse{}, p.now)
			continue
		}
		response := execution.PollResponse{Reply: execution.Reply{ClockMs: p.clock()}}
		var rest []replayedRun
		for _, r := range p.running[id] {
			if p.now.Before(r.end) {
				rest = append(rest, r)
				response.Running = append(response.Running, execution.Running{RunRef: r.ref, Percent: 100})
				continue
			}
			p.sequence[id]++
			response.Ended = append(response.Ended, execution.Ended{RunRef: r.ref, Sequence: p.sequence[id], Reason: execution.EndedDone})
			j := p.byID[r.ref.Task.Job]
			if j.left--; j.left == 0 {
				j.done = p.now
			}
		}
		p.running[id] = rest
		p.shard.HandlePollResult(poll, Responded, response, p.now)
	}
}

// sizeOutcome is what became of the jobs of one class of sizes.
type sizeOutcome struct {
	jobs   int
	inTime int
	wait   time.Duration // before the first start, in all
}

func (o sizeOutcome) share() float64 { return float64(o.inTime) / float64(max(1, o.jobs)) }

func (o sizeOutcome) meanWait() time.Duration { return o.wait / time.Duration(max(1, o.jobs)) }

func (o sizeOutcome) String() string {
	return fmt.Sprintf("%d jobs, %.3f in time, wait %d ms", o.jobs, o.share(), o.meanWait().Milliseconds())
}

func (o *sizeOutcome) add(p *unevenReplay, j *unevenJob) {
	o.jobs++
	objective := 600 * time.Millisecond
	objective += time.Duration(1.6 * float64(criticalPath(j.steps, func(s *job.Step, _ int) time.Duration { return s.Estimate })))
	if !j.done.IsZero() && j.done.Sub(j.accepted) <= objective {
		o.inTime++
	}
	began := j.began
	if began.IsZero() {
		began = p.now
	}
	o.wait += began.Sub(j.accepted)
}

// isLarge reports whether a job of the replay has a task of a quarter of an executor or more.
func (j *unevenJob) isLarge() bool { return j.size >= minLargeShare }

// outcomes returns what became of the small and the large jobs.
func (p *unevenReplay) outcomes() (small, large sizeOutcome) {
	for _, j := range p.jobs {
		if j.isLarge() {
			large.add(p, j)
		} else {
			small.add(p, j)
		}
	}
	return small, large
}

// byTenths returns what became of the largest tenth of the jobs by the work of their tasks' needs, of
// the fifth below it, and of the rest.
func (p *unevenReplay) byTenths() (classes [3]sizeOutcome) {
	sorted := slices.Clone(p.jobs)
	slices.SortStableFunc(sorted, func(x, y *unevenJob) int {
		switch {
		case x.size > y.size:
			return -1
		case x.size < y.size:
			return 1
		default:
			return 0
		}
	})
	for i, j := range sorted {
		switch {
		case i < len(sorted)/10:
			classes[0].add(p, j)
		case i < len(sorted)*3/10:
			classes[1].add(p, j)
		default:
			classes[2].add(p, j)
		}
	}
	return classes
}

package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The replayed demand: a peak of one and a half times the capacity, more than twice as long as
// the objective, and a low rate after it.
const (
	replayTick     = 20 * time.Millisecond
	replaySlots    = 40 // 10 executors of 4 cores, tasks of one core
	replayTaskTime = time.Second
	peakRate       = 60.0 // jobs of one task, per second
	peakDuration   = 8 * time.Second
	rateAfterPeak  = 10.0
	replayDuration = 24 * time.Second
	// replayObjective is the objective of a one-second task under the queue policy of
	// harness.submit: Stretch 2 and a TargetDuration of one second.
	replayObjective = 3 * time.Second
)

// peakArrivals draws the arrival times of the jobs.
func peakArrivals(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var list []time.Duration
	for at := time.Duration(0); at < replayDuration; {
		rate := peakRate
		if at > peakDuration {
			rate = rateAfterPeak
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		list = append(list, at)
	}
	return list
}

// outcomes counts the jobs that completed within their objective, late but still of use, and
// too late or never.
type outcomes struct{ inTime, late, tooLate int }

func (c *outcomes) add(took, objective time.Duration) {
	switch {
	case took <= objective:
		c.inTime++
	case took <= tooLateFactor*objective:
		c.late++
	default:
		c.tooLate++
	}
}

// playFIFO plays the arrivals through a first-in, first-out queue.
func playFIFO(arrivals []time.Duration) outcomes {
	freeAt := make([]time.Duration, replaySlots)
	var c outcomes
	for _, at := range arrivals {
		earliest := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[earliest] {
				earliest = i
			}
		}
		freeAt[earliest] = max(freeAt[earliest], at) + replayTaskTime
		c.add(freeAt[earliest]-at, replayObjective)
	}
	return c
}

// replayedRun is a running task of the replay.
type replayedRun struct {
	ref execution.RunRef
	end time.Time
}

// playShard plays the arrivals through a shard, which learns of completions by polls.
func playShard(t *testing.T, arrivals []time.Duration) outcomes {
	var jobs []replayedJob
	for _, at := range arrivals {
		jobs = append(jobs, replayedJob{at: at, steps: []job.Step{oneTask}})
	}
	return *playJobs(t, replaySlots, jobs, nil).outcomes[""]
}

// replayedJob is a job that arrives at a time after the begin of the replay.
type replayedJob struct {
	at     time.Duration
	tenant cluster.TenantName

	steps []job.Step
}

// objective returns the objective of a job whose steps follow each other, as that of replayObjective.
func (j replayedJob) objective() time.Duration {
	return 2*time.Duration(len(j.steps))*replayTaskTime + time.Second
}

// replay plays jobs through a shard.
type replay struct {
	*harness
	begin    time.Time
	running  map[cluster.ExecutorID][]replayedRun
	sequence map[cluster.ExecutorID]int64
	jobs     map[job.ID]replayedJob
	accepted map[job.ID]time.Time
	tasks    map[job.ID]int // tasks that have not ended
	outcomes map[cluster.TenantName]*outcomes
	work     map[cluster.TenantName]time.Duration // done from measuredFrom to peakDuration

	measuredFrom time.Duration
}

// measureFrom returns when the work of the tenants starts to be measured: the peak has filled all
// executors, and the jobs that started before have ended.
func measureFrom(jobs []replayedJob) time.Duration {
	return time.Second + time.Duration(len(jobs[0].steps))*replayTaskTime
}

// playJobs plays jobs in the order of their arrival, on executors with the given number of slots for
// tasks and with the given tenants configured.
func playJobs(t *testing.T, slots int, jobs []replayedJob, tenants []cluster.Tenant) *replay {
	var executors []cluster.Executor
	for i := range slots / 4 {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%02d", i)))
	}
	r := &replay{
		harness: newHarness(t, executors...),
		running: map[cluster.ExecutorID][]replayedRun{}, sequence: map[cluster.ExecutorID]int64{},
		jobs: map[job.ID]replayedJob{}, accepted: map[job.ID]time.Time{}, tasks: map[job.ID]int{},
		outcomes: map[cluster.TenantName]*outcomes{}, work: map[cluster.TenantName]time.Duration{},
	}
	r.begin, r.measuredFrom = r.now, measureFrom(jobs)
	if tenants != nil {
		r.shard.SetTenants(tenants)
	}
	for r.now.Sub(r.begin) < replayDuration+20*time.Second {
		for len(jobs) > 0 && r.begin.Add(jobs[0].at).Before(r.now) {
			r.accept(jobs[0])
			jobs = jobs[1:]
		}
		r.tick()
		r.now = r.now.Add(replayTick)
	}
	for id := range r.tasks {
		r.count(id, replayDuration)
	}
	return r
}

func (r *replay) accept(j replayedJob) {
	id := job.ID(fmt.Sprintf("%016x", len(r.jobs)+1))
	r.jobs[id], r.accepted[id] = j, r.now
	for _, s := range j.steps {
		r.tasks[id] += s.Count
	}
	r.shard.AddJob(Record{
		ID: id, Tenant: j.tenant, Accepted: r.now, Definition: job.Definition{Steps: j.steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, nil, r.now)
}

func (r *replay) count(id job.ID, took time.Duration) {
	j := r.jobs[id]
	if r.outcomes[j.tenant] == nil {
		r.outcomes[j.tenant] = &outcomes{}
	}
	r.outcomes[j.tenant].add(took, j.objective())
}

// tick stores a batch, executes its commands, and answers the polls.
func (r *replay) tick() {
	for _, cmd := range r.storeAndCommand() {
		assert.Equal(r.t, cmd.Kind, CommandStart)
		r.running[cmd.Executor.ID] = append(r.running[cmd.Executor.ID], replayedRun{cmd.Start.RunRef, r.now.Add(replayTaskTime)})
		r.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, r.now)
	}
	for _, poll := range r.shard.Polls(r.now) {
		r.shard.HandlePollResult(poll, Responded, r.respond(poll.Executor.ID), r.now)
	}
	if at := r.now.Sub(r.begin); at < r.measuredFrom || at >= peakDuration {
		return
	}
	for _, list := range r.running {
		for _, run := range list {
			r.work[r.jobs[run.ref.Task.Job].tenant] += replayTick
		}
	}
}

// respond returns the response of an executor to a poll.
func (r *replay) respond(id cluster.ExecutorID) execution.PollResponse {
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
	var stillRunning []replayedRun
	for _, run := range r.running[id] {
		if r.now.Before(run.end) {
			stillRunning = append(stillRunning, run)
			response.Running = append(response.Running, execution.Running{RunRef: run.ref, Percent: 100})
			continue
		}
		r.sequence[id]++
		response.Ended = append(response.Ended, execution.Ended{RunRef: run.ref, Sequence: r.sequence[id], Reason: execution.EndedDone})
		owner := run.ref.Task.Job
		if r.tasks[owner]--; r.tasks[owner] == 0 {
			delete(r.tasks, owner)
			r.count(owner, r.now.Sub(r.accepted[owner]))
		}
	}
	r.running[id] = stillRunning
	return response
}

// During a peak beyond the capacity, a FIFO queue makes nearly all jobs late once it is as
// long as the objective. The shard's start order keeps new jobs in time, and completes most
// of the others while they are still of use.
func TestStartOrderKeepsJobsInTimeThroughAPeak(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		arrivals := peakArrivals(seed + 1)
		fifo := playFIFO(arrivals)
		shard := playShard(t, arrivals)
		t.Logf("seed %d: FIFO %+v, shard %+v", seed+1, fifo, shard)
		assert.Assert(t, 10*shard.inTime >= 11*fifo.inTime)
		assert.Assert(t, 100*shard.tooLate <= len(arrivals))
	}
}

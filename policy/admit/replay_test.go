package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	replayTick = 10 * time.Millisecond
	// docDelay is the time from an estimate to its arrival at the instances.
	docDelay = 30 * time.Millisecond
	// jobDelay is the time from an acceptance until the owner knows the job.
	jobDelay = 20 * time.Millisecond

	// poolExecutors is the size of a small pool of the target deployments. Its executors have 32 or
	// 64 cores, poolCores on the average.
	poolExecutors = 61
	poolCores     = 48
	largestTask   = 13_000
	maxAttempts   = 6
	// followTime is how soon decisions must follow free capacity: a fraction of a second.
	followTime = 400 * time.Millisecond
)

var replayQueue = cluster.Queue{Name: "q", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond}

// load is a replayed demand: its rate as a share of the pool's capacity, by time.
type load struct {
	share    func(at time.Duration) float64
	duration time.Duration
	// error draws the factor by which the run times of a job differ from its estimates.
	error func(*rand.Rand) float64
	// tenant returns whose the job with the given number is.
	tenant  func(n int) cluster.TenantName
	tenants []cluster.Tenant
	// executors returns how many there are, if that changes.
	executors func(at time.Duration) int
}

func exact(*rand.Rand) float64 { return 1 }

// off draws an error of 20% to 90%, up or down; run times are right on the average.
func off(r *rand.Rand) float64 {
	size := 0.2 + 0.7*r.Float64()
	if r.IntN(2) == 0 {
		return 1 - size
	}
	return 1 + size
}

// peaks is a peak of five times the mean for 4.5 s, of which the pool holds half, and a twentieth
// of the mean between peaks.
func peaks(at time.Duration) float64 {
	const cycle, begin, length = 20 * time.Second, 3 * time.Second, 4500 * time.Millisecond
	if t := at % cycle; t >= begin && t < begin+length {
		return 2
	}
	return 2.0 / 5 / 20
}

type replayJob struct {
	id        job.ID
	tenant    cluster.TenantName
	def       job.Definition
	factor    float64
	due       time.Time // next attempt
	told      time.Time
	attempts  int
	accepted  time.Time
	knownAt   time.Time
	submitted time.Time
	tasks     int
}

type replayRun struct {
	ref execution.RunRef
	end time.Time
}

type replay struct {
	t            *testing.T
	load         load
	rejects      bool       // admission control
	random       *rand.Rand // of the jobs
	callerRandom *rand.Rand
	shard        *shard.Shard
	now          time.Time
	begin        time.Time
	revision     int64
	execs        []cluster.Executor
	jobs         map[job.ID]*replayJob
	callers      []*replayJob
	arriving     []*replayJob
	running      map[cluster.ExecutorID][]replayRun
	sequence     map[cluster.ExecutorID]int64
	used         map[cluster.ExecutorID]int64
	docs         []shard.Admission
	docsAt       []time.Time
	freeSince    time.Time
	result       result
}

type result struct {
	offered, accepted, inTime, rejections, gaveUp int
	inTimeOfOffer                                 int // in time counted from the first submission
	returned, returnedAccepted                    int // callers that came back when told
	newWhileRejecting, newAccepted                int // first attempts while anything is rejected
	rejectedWhileFree, documents                  int
	firstRejectedBy                               map[cluster.TenantName]int // first attempts
}

func newReplay(t *testing.T, l load, rejects bool, seed uint64) *replay {
	r := &replay{
		t: t, load: l, rejects: rejects, now: time.Unix(1_000_000, 0), revision: 7,
		random: rand.New(rand.NewPCG(seed, 7)), callerRandom: rand.New(rand.NewPCG(seed, 8)),
		shard: shard.New(shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, 7),
		jobs:  map[job.ID]*replayJob{}, running: map[cluster.ExecutorID][]replayRun{},
		sequence: map[cluster.ExecutorID]int64{}, used: map[cluster.ExecutorID]int64{},
	}
	r.result.firstRejectedBy = map[cluster.TenantName]int{}
	r.begin = r.now
	if l.executors == nil {
		r.setExecutors(poolExecutors)
	}
	r.shard.SetAdmission(rejects)
	r.shard.SetTenants(l.tenants)
	return r
}

func (r *replay) setExecutors(n int) {
	if n == len(r.execs) {
		return
	}
	for i := len(r.execs); i < n; i++ {
		id := cluster.ExecutorID(fmt.Sprintf("i-%02d", i))
		r.execs = append(r.execs, cluster.Executor{
			ID: id, Address: string(id) + ":80", Labels: []string{"a", "r1-1"},
			Capacity: job.Resources{MilliCPU: 32_000 * int64(1+i%2), MemoryMB: 256_000},
		})
	}
	r.shard.SetExecutors(r.execs, r.now)
}

// meanWork is the mean work of a job, in core-seconds: 1.5 steps of 8 tasks of 3 to 13 cores for
// 0.6 to 2 s.
const meanWork = 1.5 * 8 * 8 * 1.3

func (r *replay) newJob() *replayJob {
	n := len(r.jobs) + 1
	j := &replayJob{id: job.ID(fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15)), due: r.now, submitted: r.now, factor: r.load.error(r.random)}
	if r.load.tenant != nil {
		j.tenant = r.load.tenant(n)
	}
	for i := range 1 + r.random.IntN(2) {
		st := job.Step{
			Count:    8,
			Need:     job.Resources{MilliCPU: 3000 + r.random.Int64N(10_001), MemoryMB: 1000},
			Estimate: 600*time.Millisecond + time.Duration(r.random.Int64N(int64(1400*time.Millisecond))),
		}
		if i > 0 {
			st.After = []int{0}
		}
		j.def.Steps = append(j.def.Steps, st)
		j.tasks += 8
	}
	r.jobs[j.id] = j
	return j
}

// arrivals lets new callers arrive at the rate of the load.
func (r *replay) arrivals(next *time.Time) {
	for !next.After(r.now) {
		at := next.Sub(r.begin)
		rate := r.load.share(at) * poolExecutors * poolCores / meanWork
		if at > 0 {
			j := r.newJob()
			r.callers = append(r.callers, j)
			r.result.offered++
		}
		*next = next.Add(min(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), 200*time.Millisecond))
	}
}

func (r *replay) knowledge() *Knowledge {
	for i := len(r.docs) - 1; i >= 0; i-- {
		if !r.now.Before(r.docsAt[i]) {
			return &Knowledge{Admission: r.docs[i], Received: r.now.Sub(r.docsAt[i])}
		}
	}
	return nil
}

func (r *replay) submit(j *replayJob) {
	j.attempts++
	returned := !j.told.IsZero() && TimingOf(j.told, r.now) == OnTime
	k := r.knowledge()
	first := j.attempts == 1 && k != nil && k.Rejects()
	if first {
		r.result.newWhileRejecting++
	}
	objective, slack := shard.StartSlack(j.def, shard.QueuePolicyOf(replayQueue))
	d := Decide(k, Request{
		ID: j.id, Queue: replayQueue.Name, Tenant: j.tenant, Objective: objective, Slack: slack,
		Need: j.def.Steps[0].Reservation(), Returned: returned,
	}, r.now)
	if returned {
		r.result.returned++
	}
	if d.Rejected {
		r.result.rejections++
		if j.attempts == 1 {
			r.result.firstRejectedBy[j.tenant]++
		}
		if !r.freeSince.IsZero() && r.now.Sub(r.freeSince) > followTime {
			r.result.rejectedWhileFree++
		}
		j.told = r.now.Add(d.RetryAfter)
		j.due = j.told.Add(time.Duration(r.callerRandom.Int64N(int64(300 * time.Millisecond))))
		if j.attempts == maxAttempts {
			r.result.gaveUp++
			j.due = time.Time{}
		}
		return
	}
	if first {
		r.result.newAccepted++
	}
	if returned {
		r.result.returnedAccepted++
	}
	j.accepted, j.due = r.now, time.Time{}
	j.knownAt = r.now.Add(jobDelay)
	r.result.accepted++
	r.arriving = append(r.arriving, j)
}

// free returns the capacity on which the largest tasks fit.
func (r *replay) free() int64 {
	var sum int64
	for _, e := range r.execs {
		sum += (e.Capacity.MilliCPU - r.used[e.ID]) / largestTask * largestTask
	}
	return sum
}

func (r *replay) batch() {
	b := r.shard.Batch(r.now, 29)
	if b == nil {
		return
	}
	if b.Admission != nil {
		r.result.documents++
		r.docs = append(r.docs, *b.Admission)
		r.docsAt = append(r.docsAt, r.now.Add(docDelay))
	}
	r.revision++
	r.shard.NoteRevision(r.revision)
	r.shard.Committed()
}

func (r *replay) clockMs() int64 { return 1000 + r.now.Sub(r.begin).Milliseconds() }

func (r *replay) commands() {
	for _, cmd := range r.shard.Commands(r.now) {
		assert.Equal(r.t, cmd.Kind, shard.CommandStart)
		ref := cmd.Start.RunRef
		j := r.jobs[ref.Task.Job]
		st := j.def.Steps[ref.Task.Step]
		took := time.Duration(j.factor * float64(st.Estimate))
		r.running[cmd.Executor.ID] = append(r.running[cmd.Executor.ID], replayRun{ref, r.now.Add(took)})
		r.used[cmd.Executor.ID] += st.Need.MilliCPU
		r.shard.HandleCommandResult(cmd, shard.Responded, execution.Reply{ClockMs: r.clockMs()}, r.now)
	}
}

func (r *replay) polls() {
	for _, poll := range r.shard.Polls(r.now) {
		id := poll.Executor.ID
		response := execution.PollResponse{Reply: execution.Reply{ClockMs: r.clockMs()}}
		var still []replayRun
		for _, run := range r.running[id] {
			if r.now.Before(run.end) {
				still = append(still, run)
				response.Running = append(response.Running, execution.Running{RunRef: run.ref, Percent: 100})
				continue
			}
			r.sequence[id]++
			response.Ended = append(response.Ended, execution.Ended{RunRef: run.ref, Sequence: r.sequence[id], Reason: execution.EndedDone})
			r.ended(run.ref)
			r.used[id] -= r.jobs[run.ref.Task.Job].def.Steps[run.ref.Task.Step].Need.MilliCPU
		}
		r.running[id] = still
		r.shard.HandlePollResult(poll, shard.Responded, response, r.now)
	}
}

func (r *replay) ended(ref execution.RunRef) {
	j := r.jobs[ref.Task.Job]
	if j.tasks--; j.tasks > 0 {
		return
	}
	if r.now.Sub(j.accepted) <= r.objective(j) {
		r.result.inTime++
	}
	if r.now.Sub(j.submitted) <= r.objective(j) {
		r.result.inTimeOfOffer++
	}
}

func (r *replay) objective(j *replayJob) time.Duration {
	var path time.Duration
	for _, st := range j.def.Steps {
		path += st.Estimate
	}
	return replayQueue.Objective(path)
}

func (r *replay) run() result {
	next := r.begin
	for r.now.Sub(r.begin) < r.load.duration || len(r.callers)+len(r.arriving)+r.shard.Jobs() > 0 {
		if r.now.Sub(r.begin) < r.load.duration {
			r.arrivals(&next)
		}
		if r.load.executors != nil {
			r.setExecutors(r.load.executors(r.now.Sub(r.begin)))
		}
		callers := r.callers[:0]
		for _, j := range r.callers {
			if !j.due.IsZero() && !r.now.Before(j.due) {
				r.submit(j)
			}
			if !j.due.IsZero() {
				callers = append(callers, j)
			}
		}
		r.callers = callers
		for len(r.arriving) > 0 && !r.now.Before(r.arriving[0].knownAt) {
			j := r.arriving[0]
			r.arriving = r.arriving[1:]
			r.shard.AddJob(shard.Record{ID: j.id, Queue: shard.QueuePolicyOf(replayQueue), Tenant: j.tenant, Accepted: j.accepted, Definition: j.def}, nil, r.now)
		}
		if r.now.UnixMilli()%30 == 0 {
			r.batch()
		}
		r.commands()
		if r.free() < 8*largestTask {
			r.freeSince = time.Time{}
		} else if r.freeSince.IsZero() {
			r.freeSince = r.now
		}
		r.polls()
		r.now = r.now.Add(replayTick)
	}
	return r.result
}

func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(r.accepted) }

// seeds is how many loads each test replays.
const seeds = 3

// forEachSeed runs a test for several loads at the same time.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

// In peaks of twice the capacity, jobs are accepted that start too late if all are, and jobs are
// rejected in vain if the waits are overestimated.
func TestAcceptedJobsAreInTimeThroughPeaks(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { replayPeaks(t, seed, 30*time.Second) })
}

// A single peak that comes without warning has the largest share of jobs that are accepted before
// the owner can tell it from a burst.
func TestAcceptedJobsAreInTimeThroughOnePeak(t *testing.T) {
	for _, seed := range []uint64{0, 1, 3} {
		replayPeaks(t, seed, 12*time.Second)
	}
}

// The load of seed 2 misses the bound; see KNOWN-RED.txt.
func TestAcceptedJobsAreInTimeThroughOnePeakUnderSeed2(t *testing.T) {
	replayPeaks(t, 2, 12*time.Second)
}

func replayPeaks(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	l := load{share: peaks, duration: duration, error: exact}
	all, with := newReplay(t, l, false, seed).run(), newReplay(t, l, true, seed).run()
	t.Logf("accepting all: %+v", all)
	t.Logf("rejecting:     %+v; %.3f of the accepted in time", with, with.inTimeShare())
	assert.Assert(t, with.inTime >= all.inTime)
	assert.Equal(t, with.rejectedWhileFree, 0)
	assert.Assert(t, with.rejections > 0)
	assert.Assert(t, with.inTimeShare() >= 0.95)
}

// Estimates that are off by 20% to 90% must not make the rejections worse than none.
func TestWrongEstimatesDoNoHarm(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		l := load{share: peaks, duration: 12 * time.Second, error: off}
		all, with := newReplay(t, l, false, seed).run(), newReplay(t, l, true, seed).run()
		t.Logf("accepting all: %+v", all)
		t.Logf("rejecting:     %+v; %.3f of the accepted in time", with, with.inTimeShare())
		assert.Assert(t, with.inTime >= all.inTime)
		assert.Equal(t, with.rejectedWhileFree, 0)
	})
}

// A service within its capacity rejects nothing, although its load varies at random.
func TestNoRejectionWithinTheCapacity(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		for _, e := range []func(*rand.Rand) float64{exact, off} {
			within := func(time.Duration) float64 { return 0.8 }
			with := newReplay(t, load{share: within, duration: 20 * time.Second, error: e}, true, seed).run()
			t.Logf("%+v", with)
			assert.Equal(t, with.rejections, 0)
		}
	})
}

// Executors that arrive in a peak make the waits shorter: nothing is rejected once they are free.
func TestArrivingExecutorsEndTheRejection(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		l := load{share: peaks, duration: 12 * time.Second, error: exact, executors: func(at time.Duration) int {
			if at < 5*time.Second {
				return poolExecutors
			}
			return 3 * poolExecutors
		}}
		with := newReplay(t, l, true, seed).run()
		t.Logf("%+v", with)
		assert.Assert(t, with.rejections > 0)
		assert.Equal(t, with.rejectedWhileFree, 0)
	})
}

// Callers that come back when they were told go before new ones.
func TestReturningCallersGoFirst(t *testing.T) {
	var returned, returnedAccepted, first, firstAccepted int
	for seed := range uint64(seeds) {
		r := newReplay(t, load{share: peaks, duration: 12 * time.Second, error: exact}, true, seed).run()
		returned, returnedAccepted = returned+r.returned, returnedAccepted+r.returnedAccepted
		first, firstAccepted = first+r.newWhileRejecting, firstAccepted+r.newAccepted
	}
	t.Logf("accepted: %d of %d that came back when told, %d of %d new ones while some were rejected", returnedAccepted, returned, firstAccepted, first)
	assert.Assert(t, returnedAccepted*first > firstAccepted*returned)
}

// A tenant that sends seven times its rate has its own jobs rejected first, and gets its rate.
func TestExcessOfATenantIsRejectedFirst(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		l := load{
			share: func(time.Duration) float64 { return 1.4 }, duration: 10 * time.Second, error: exact,
			tenants: []cluster.Tenant{{Name: "within", Weight: 14}, {Name: "beyond", Weight: 1.5}},
			tenant: func(n int) cluster.TenantName { // about 21 jobs a second
				if n%2 == 0 {
					return "within"
				}
				return "beyond"
			},
		}
		with := newReplay(t, l, true, seed).run()
		t.Logf("%+v", with)
		assert.Assert(t, 3*with.firstRejectedBy["within"] <= with.firstRejectedBy["beyond"])
	})
}

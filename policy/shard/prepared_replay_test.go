package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The replayed load: jobs of two steps of 8 tasks arrive steadily and use about two thirds of the
// capacity. The store is silent for a while.
const (
	outageTick        = 10 * time.Millisecond
	outageExecutors   = 16
	outageJobInterval = 200 * time.Millisecond
	outageTasks       = 8
	outageEstimate    = time.Second
	outageBegin       = 8 * time.Second
	outageLength      = 4200 * time.Millisecond
	outageRenewal     = 500 * time.Millisecond // between two confirmations of the term
	// outageObjective is 1.6 times the critical path plus 0.6 s.
	outageObjective = 2*outageEstimate*16/10 + 600*time.Millisecond
	// outageConcerns is how long before the outage the jobs that are examined were accepted.
	outageConcerns = 3 * time.Second
	// outageShare is the least share of these jobs that must complete within their objective.
	outageShare = 0.9
)

// outageExecutor is an executor with long polls.
type outageExecutor struct {
	entry    cluster.Executor
	running  map[execution.RunRef]time.Time // with their ends
	ended    []execution.Ended
	sequence int64
	fence    int64
	lease    int64
	polls    []Poll
}

// outageReplay plays the load through one owner.
type outageReplay struct {
	t         *testing.T
	now       time.Time
	begin     time.Time
	random    *rand.Rand
	latency   time.Duration // of the store
	silent    bool          // whether the store has an outage
	prepared  bool          // whether the owner learns of confirmations, without which none is used
	shard     *Shard
	executors map[cluster.ExecutorID]*outageExecutor
	accepted  map[job.ID]time.Time
	tasksLeft map[job.ID]int
	completed map[job.ID]time.Time
	revision  int64
	batchDue  time.Time
	nextBatch time.Time
	open      bool
	results   []func()
}

func newOutageReplay(t *testing.T, seed uint64, limits Limits, latency time.Duration, silent, prepared bool) *outageReplay {
	w := &outageReplay{
		t: t, now: time.Unix(1000, 0), begin: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)),
		latency: latency, silent: silent, prepared: prepared, shard: New(limits, 7), revision: 7,
		executors: map[cluster.ExecutorID]*outageExecutor{},
		accepted:  map[job.ID]time.Time{}, tasksLeft: map[job.ID]int{}, completed: map[job.ID]time.Time{},
	}
	var list []cluster.Executor
	for i := range outageExecutors {
		entry := newExecutorNamed(fmt.Sprintf("i-%02d", i))
		entry.Born, entry.Capacity = longAgo, job.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		w.executors[entry.ID] = &outageExecutor{entry: entry, running: map[execution.RunRef]time.Time{}, lease: 1 << 60}
		list = append(list, entry)
	}
	w.shard.SetTenants(nil)
	w.shard.SetExecutors(list, w.now)
	return w
}

// storeSilent reports whether the store does not respond now.
func (w *outageReplay) storeSilent() bool {
	at := w.now.Sub(w.begin)
	return w.silent && at >= outageBegin && at < outageBegin+outageLength
}

func (w *outageReplay) play() {
	next, confirm := w.now, w.now
	lastSubmission := w.begin.Add(outageBegin + outageLength + time.Second)
	for end := lastSubmission.Add(8 * time.Second); w.now.Before(end); {
		if !w.storeSilent() && !w.now.Before(next) && w.now.Before(lastSubmission) {
			w.submit()
			next = w.now.Add(outageJobInterval)
		}
		if w.prepared && !w.storeSilent() && !w.now.Before(confirm) {
			w.shard.ConfirmTerm(w.now)
			confirm = w.now.Add(outageRenewal)
		}
		w.step()
		w.now = w.now.Add(outageTick)
	}
}

func (w *outageReplay) submit() {
	id := job.ID(fmt.Sprintf("%016x", len(w.accepted)+1))
	w.accepted[id], w.tasksLeft[id] = w.now, 2*outageTasks
	step := func(after ...int) job.Step {
		need := job.Resources{MilliCPU: 3000 + w.random.Int64N(10_000), MemoryMB: 1000}
		return job.Step{Count: outageTasks, Need: need, Estimate: outageEstimate, After: after}
	}
	w.shard.AddJob(Record{
		ID: id, Accepted: w.now, Definition: job.Definition{Steps: []job.Step{step(), step(0)}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond},
	}, nil, w.now)
}

func (w *outageReplay) step() {
	results := w.results
	w.results = nil
	for _, deliver := range results {
		deliver()
	}
	for i := range outageExecutors {
		w.advance(w.executors[cluster.ExecutorID(fmt.Sprintf("i-%02d", i))])
	}
	w.shard.Tick(w.now)
	w.store()
	for _, cmd := range w.shard.Commands(w.now) {
		reply := w.start(w.executors[cmd.Executor.ID], cmd)
		w.results = append(w.results, func() { w.shard.HandleCommandResult(cmd, Responded, reply, w.now) })
	}
	for _, poll := range w.shard.Polls(w.now) {
		e := w.executors[poll.Executor.ID]
		assert.Assert(w.t, poll.Request.Token >= e.fence)
		e.fence = poll.Request.Token
		e.ended = slices.DeleteFunc(e.ended, func(end execution.Ended) bool { return end.Sequence <= poll.Request.AckedThrough })
		e.polls = append(e.polls, poll)
	}
}

// store stores the open batch when it is due, and plans the next one.
func (w *outageReplay) store() {
	if w.open && !w.storeSilent() && !w.now.Before(w.batchDue) {
		w.open = false
		w.revision++
		w.shard.NoteRevision(w.revision)
		w.shard.Committed()
	}
	if w.open || w.now.Before(w.nextBatch) || !w.shard.Pending(w.now) {
		return
	}
	if batch := w.shard.Batch(w.now, 29); batch != nil {
		w.open = true
		w.batchDue = w.now.Add(w.latency)
		w.nextBatch = w.now.Add(30 * time.Millisecond)
		if batch.Full {
			w.nextBatch = w.now
		}
	}
}

func (w *outageReplay) clock() int64 { return 1000 + w.now.Sub(w.begin).Milliseconds() }

func (w *outageReplay) start(e *outageExecutor, cmd Command) execution.Reply {
	assert.Equal(w.t, cmd.Kind, CommandStart)
	assert.Assert(w.t, cmd.Start.UntilMs > w.clock())
	if cmd.Start.Token < e.fence {
		return execution.Reply{ClockMs: w.clock(), Refusal: execution.RefusedFenced}
	}
	e.fence = cmd.Start.Token
	took := outageEstimate*8/10 + time.Duration(w.random.Int64N(int64(outageEstimate)*3/10))
	e.running[cmd.Start.RunRef] = w.now.Add(took)
	return execution.Reply{ClockMs: w.clock()}
}

// advance ends runs and responds to the polls of an executor that have waited long enough.
func (w *outageReplay) advance(e *outageExecutor) {
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: w.clock()}, From: e.entry.Incarnation()}
	refs := []execution.RunRef{}
	for ref := range e.running {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b execution.RunRef) int { return compareTasks(a.Task, b.Task) })
	for _, ref := range refs {
		if w.now.Before(e.running[ref]) {
			response.Running = append(response.Running, execution.Running{RunRef: ref, Percent: 100})
			continue
		}
		delete(e.running, ref)
		e.sequence++
		e.ended = append(e.ended, execution.Ended{RunRef: ref, Sequence: e.sequence, Reason: execution.EndedDone})
		if w.tasksLeft[ref.Task.Job]--; w.tasksLeft[ref.Task.Job] == 0 {
			w.completed[ref.Task.Job] = w.now
		}
	}
	response.Ended = slices.Clone(e.ended)
	var waiting []Poll
	for _, poll := range e.polls {
		if len(e.ended) == 0 && w.now.Sub(poll.SentAt) < poll.Request.Wait {
			waiting = append(waiting, poll)
			continue
		}
		w.shard.HandlePollResult(poll, Responded, response, w.now)
	}
	e.polls = waiting
}

// shareInTime returns the share of the jobs accepted shortly before the outage whose last task ended
// within their objective. That callers can read it takes until the store responds.
func (w *outageReplay) shareInTime() float64 {
	jobs, inTime := 0, 0
	for id, at := range w.accepted {
		before := w.begin.Add(outageBegin).Sub(at)
		if before <= 0 || before > outageConcerns {
			continue
		}
		jobs++
		if end, done := w.completed[id]; done && end.Sub(at) <= outageObjective {
			inTime++
		}
	}
	return float64(inTime) / float64(jobs)
}

// meanTime returns the mean time from acceptance to the end of the last task.
func (w *outageReplay) meanTime() time.Duration {
	var sum time.Duration
	for id, end := range w.completed {
		sum += end.Sub(w.accepted[id])
	}
	return sum / time.Duration(len(w.completed))
}

// Guards against jobs that miss their objective because their next step waits for the end of a store
// outage: without prepared starts, those whose first step ends in that time do.
func TestJobsAcceptedBeforeAStoreOutageCompleteInTime(t *testing.T) {
	t.Parallel()
	for _, limits := range []Limits{{RunLease: 5 * time.Second, MaxRunLease: 6 * time.Second}, {RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}} {
		for seed := range uint64(3) {
			shares := map[bool]float64{}
			for _, prepared := range []bool{false, true} {
				w := newOutageReplay(t, seed, limits, outageTick, true, prepared)
				w.play()
				assert.Equal(t, len(w.completed), len(w.accepted))
				shares[prepared] = w.shareInTime()
				_, counts := w.shard.TakePreparedNotes()
				t.Logf("limits %v, seed %d, used %t: %.2f in time, %+v", limits, seed, prepared, shares[prepared], counts)
			}
			assert.Assert(t, shares[false] < outageShare, "the load does not show the fault")
			assert.Assert(t, shares[true] >= outageShare)
		}
	}
}

// Guards against a store that takes 240 ms for each write delaying every step by two batches.
func TestPreparedStartsShortenJobsOnASlowStore(t *testing.T) {
	t.Parallel()
	times := map[bool]time.Duration{}
	for _, prepared := range []bool{false, true} {
		w := newOutageReplay(t, 1, testLimits, 240*time.Millisecond, false, prepared)
		w.play()
		times[prepared] = w.meanTime()
	}
	t.Logf("mean time of a job: %s, with prepared starts %s", times[false], times[true])
	assert.Assert(t, times[true] < times[false])
}

package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

// world simulates a store, some executors and one owner at a time, in virtual time. Calls
// may be lost or delayed, and responses lost or late; owners are replaced and may continue
// as zombies. Every start is checked against the safety rules. A failure message begins
// with the rule that was violated:
//   - TWICE: a task starts while another run of it runs, or after its completion was
//     acknowledged.
//   - MIXED: a job is published as completed before all its tasks are.
//   - BUDGET: a task starts after its last allowed failure was acknowledged, or the third time
//     after three executors have crashed under it.
//   - ORDER: a task starts before the steps that it depends on are done.
//   - LIMIT: the runs on an executor exceed its capacity.
//   - QUOTA: the runs of a tenant in all worlds that share its ledger exceed its limit.
//   - UNASKED: a task starts long after its job was cancelled.
//   - LOST: a task does not start, or a job does not become final, within a bound.
type world struct {
	t              *rapid.T
	now            time.Time
	revision       int64 // of the store
	token          int64 // of the owner
	owner          *ownerSim
	zombies        []*ownerSim
	jobs           map[job.ID]*storedJob
	executors      map[cluster.ExecutorID]*executorSim
	executorsAdded int
	timers         []timer
	submitted      int
	sent           *[]string // commands in the order in which they were sent; nil if not recorded
	// faultFree worlds have no faults except CPU-starved owners. A completion counts as
	// acknowledged there as soon as it is listed.
	faultFree    bool
	machineLists machineLists
	crashing     *crashingTasks // nil if no task crashes executors
	// executingLate is set while a command is executed whose call got no response long before.
	executingLate bool
	// sentToEarlier is set besides if the call was sent to an earlier incarnation of the executor.
	sentToEarlier bool
	storeMayStall bool // a batch may take seconds to become durable
	// liveness is set if the test also checks that each task starts in time.
	liveness  *livenessSim
	unreached Unreached           // as stored with the last batch
	termBegan map[int64]time.Time // by token
	restarts  *restarts           // nil if no executor starts again under its ID
	odd       *oddWriters         // nil if only executors write their entries
	tenants   *tenantsSim         // nil if jobs belong to no tenants
	limits    Limits
	outages   *storeOutages  // nil unless starts are prepared and owners are cut off from the store
	slow      *slowResponses // nil unless responses queue on the owner's link
}

type storedJob struct {
	record      Record
	progress    *Progress
	state       job.State
	cancelledAt time.Time
	// what really happened on the executors
	ackedDone     map[job.TaskID]bool
	ackedAt       map[job.TaskID]time.Time // when an end was last acknowledged
	ackedFailures map[job.TaskID]int
	everDone      map[job.TaskID]bool
}

type ownerSim struct {
	replacedAt time.Time // when a successor took over; zero if none has
	shard      *Shard
	token      int64
	batchDue   time.Time
	batch      *Batch
	// batchApplied is set once the store has applied the batch, though the owner may not know.
	batchApplied bool
	cutOffSince  time.Time // since when the store does not respond to it; zero if it does
	responses    []responseSim
	pausedUntil  time.Time // gets no processor time until then; responses are read later
	listedAt     time.Time // when it last requested the machine list
	reportedAt   time.Time
	ledgers      *ledgersSim // nil if jobs belong to no tenants

	adviceFlow      adviceflow.Flow
	adviceBusyUntil time.Time // when the advice service has carried out its calls
}

// responseSim is a response on its way to an owner.
type responseSim struct {
	at      time.Time
	deliver func()
}

type timer struct {
	at  time.Time
	run func()
}

type runSim struct {
	ref       execution.RunRef
	endsAt    time.Time
	endReason execution.EndReason
	need      job.Resources
	stopsAt   time.Time
	startedAt time.Time
	late      bool // its start was executed long after it was sent
	// unforeseen is set if its start was sent to an earlier incarnation and no owner could prevent
	// that it arrives at this one; see unforeseen.
	unforeseen bool
}

type executorSim struct {
	id            cluster.ExecutorID
	born          cluster.Birth
	startedAgain  bool // under the ID of an earlier incarnation
	address       string
	capacity      job.Resources
	shrinks       []capacityShrink
	otherRack     bool // on the second rack, and of the second kind
	drained       bool // was listed as draining, and so gets no work any more
	alive         bool
	partitioned   bool
	fence         int64
	lease         int64   // end of the lease of all its runs, on its clock
	clockRate     float64 // clock speed relative to real time
	startedAt     time.Time
	running       map[job.TaskID]*runSim
	highestClosed map[job.TaskID]int // highest stopped or ended run number
	ended         []execution.Ended
	sequence      int64
	leaseExpired  map[execution.RunRef]bool
	acked         map[execution.RunRef]bool
	// unforeseenEnds holds the ended runs that were unforeseen.
	unforeseenEnds map[execution.RunRef]bool
	faults         executorFaults
	omittedAt      time.Time // when a machine list last lacked it although it was alive
}

const (
	testLease    = 5 * time.Second
	testStopTime = 400 * time.Millisecond
	// testCallTimeout bounds a call.
	testCallTimeout = 600 * time.Millisecond
)

var testLimits = Limits{RunLease: testLease, MaxRunLease: 10 * time.Second}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0),
		jobs: map[job.ID]*storedJob{}, executors: map[cluster.ExecutorID]*executorSim{},
		termBegan: map[int64]time.Time{}, limits: testLimits,
	}
	for i := range 4 {
		w.addExecutor(fmt.Sprintf("10.0.0.%d:80", i))
	}
	w.replaceOwner()
	return w
}

func (w *world) addExecutor(address string) {
	w.executorsAdded++
	id := cluster.ExecutorID(fmt.Sprintf("i-%d", w.executorsAdded))
	w.executors[id] = w.newExecutorSim(id, address)
}

func (w *world) newExecutorSim(id cluster.ExecutorID, address string) *executorSim {
	return &executorSim{
		id: id, address: address, alive: true, born: cluster.Birth(w.now.UnixMilli()), startedAt: w.now,
		clockRate: rapid.SampledFrom([]float64{0.98, 1}).Draw(w.t, "clock rate"),
		capacity:  job.Resources{MilliCPU: 4000, MemoryMB: 4000},
		running:   map[job.TaskID]*runSim{}, highestClosed: map[job.TaskID]int{}, leaseExpired: map[execution.RunRef]bool{}, acked: map[execution.RunRef]bool{}, unforeseenEnds: map[execution.RunRef]bool{},
	}
}

// labels returns the executor's kind and its rack.
func (e *executorSim) labels() []string {
	if e.otherRack {
		return []string{"b", "r1-2"}
	}
	return []string{"a", "r1-1"}
}

func (e *executorSim) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(e.startedAt).Milliseconds())*e.clockRate)
}

func (w *world) listExecutors() []cluster.Executor {
	var list []cluster.Executor
	for _, e := range w.executors {
		if former, stale := w.restarts.formerEntry(e.id, w.now); stale {
			list = append(list, former)
			continue
		}
		if e.alive && !e.partitioned {
			list = append(list, e.entry())
		}
	}
	return w.odd.list(list)
}

// entry returns the executor's report about itself.
func (e *executorSim) entry() cluster.Executor {
	return cluster.Executor{ID: e.id, Born: e.born, Address: e.address, Capacity: e.capacity, Labels: e.labels(), Draining: e.faults.draining}
}

// replaceOwner makes a new owner from the stored state.
func (w *world) replaceOwner() {
	w.revision++
	w.token = w.revision
	if w.owner != nil {
		w.owner.replacedAt = w.now
	}
	o := &ownerSim{shard: New(w.limits, w.token), token: w.token}
	if w.outages != nil {
		o.shard.SetTenants(nil)
	}
	w.owner = o
	w.termBegan[w.token] = w.now
	o.shard.RestoreUnreached(maps.Clone(w.unreached), func(token int64) (time.Time, bool) {
		at, known := w.termBegan[token]
		return at, known
	})
	o.shard.SetExecutors(w.listExecutors(), w.now)
	w.tenants.lead(w, o)
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		if j.state.Final() {
			continue
		}
		o.shard.AddJob(j.record, clone(j.progress), w.now)
		if !j.cancelledAt.IsZero() {
			o.shard.Cancel(id)
		}
	}
}

func clone(p *Progress) *Progress {
	if p == nil {
		return nil
	}
	c := Progress{Tasks: append([]TaskProgress(nil), p.Tasks...), Done: append([]int(nil), p.Done...)}
	return &c
}

func (w *world) jobIDs() []job.ID {
	var ids []job.ID
	for i := range w.submitted {
		ids = append(ids, testID(i))
	}
	return ids
}

func testID(i int) job.ID { return job.ID(fmt.Sprintf("%016x", i)) }

func (w *world) submit() {
	id := testID(w.submitted)
	w.submitted++
	var steps []job.Step
	fewest, most := 1, 2
	if w.outages != nil {
		fewest, most = 2, 3
	}
	for i := range rapid.IntRange(fewest, most).Draw(w.t, "steps") {
		s := job.Step{
			Count:         rapid.IntRange(1, 4).Draw(w.t, "tasks"),
			Need:          job.Resources{MilliCPU: rapid.Int64Range(300, 1800).Draw(w.t, "cpu"), MemoryMB: 100},
			Estimate:      500 * time.Millisecond,
			Checkpointing: rapid.Bool().Draw(w.t, "checkpointing"),
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	if rapid.IntRange(0, 4).Draw(w.t, "long-running") == 0 {
		steps = steps[:1]
		steps[0].LongRunning = true
		steps[0].MaxUnavailable = 1
	}
	r := Record{
		ID: id, Tenant: w.tenants.draw(w), Accepted: w.now, Definition: job.Definition{Payload: "p", Steps: steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}
	w.jobs[id] = &storedJob{
		record: r, state: job.Queued,
		ackedDone: map[job.TaskID]bool{}, ackedAt: map[job.TaskID]time.Time{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.owner.shard.AddJob(r, nil, w.now)
}

func (w *world) cancel() {
	if w.submitted == 0 {
		return
	}
	id := testID(rapid.IntRange(0, w.submitted-1).Draw(w.t, "cancelled"))
	j := w.jobs[id]
	if j.state.Final() || !j.cancelledAt.IsZero() {
		return
	}
	j.cancelledAt = w.now
	w.owner.shard.Cancel(id)
}

// step advances time by d and runs the executors and owners.
func (w *world) step(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.runTimers()
		for _, e := range w.executors {
			w.advance(e)
		}
		for _, o := range append([]*ownerSim{w.owner}, w.zombies...) {
			w.runOwner(o)
		}
	}
}

func (w *world) runTimers() {
	var later []timer
	var due []timer
	for _, c := range w.timers {
		if c.at.After(w.now) {
			later = append(later, c)
		} else {
			due = append(due, c)
		}
	}
	w.timers = later
	for _, c := range due {
		c.run()
	}
}

func (w *world) runOwner(o *ownerSim) {
	if w.now.Before(o.pausedUntil) {
		return
	}
	o.shard.Tick(w.now)
	var pending []responseSim
	for _, response := range o.responses {
		if response.at.After(w.now) {
			pending = append(pending, response)
			continue
		}
		response.deliver()
	}
	o.responses = pending
	o.shard.AllowLeaseRenewal(w.mayRenewLeases(o))
	w.outages.confirmTerm(w, o)
	if w.liveness == nil || w.liveness.mayWrite(w, o) {
		w.storeBatch(o)
	}
	w.tenants.storeLedgers(w, o)
	for _, cmd := range o.shard.Commands(w.now) {
		w.sendCommand(o, cmd)
	}
	w.requestAdvice(o)
	for _, poll := range o.shard.Polls(w.now) {
		w.sendPoll(o, poll)
	}
	w.listMachines(o)
	w.noteGivenUp(o)
	checkRunCounts(w.t, o.shard)
	checkTenantUses(w.t, o.shard)
	o.checkReport(w.t, w.now)
}

// mayRenewLeases reports whether the owner may renew leases of runs.
func (w *world) mayRenewLeases(o *ownerSim) bool {
	since := o.replacedAt
	if since.IsZero() && w.liveness != nil {
		since = w.liveness.storeDownSince
	}
	if !o.cutOffSince.IsZero() {
		since = o.cutOffSince // no later than the end of its term
	}
	return since.IsZero() || w.now.Sub(since) < LeaseRenewalWindow(w.limits)
}

// storeBatch makes batches durable, except those of replaced owners.
func (w *world) storeBatch(o *ownerSim) {
	if o.batch != nil {
		if w.now.Before(o.batchDue) || o != w.owner || !o.cutOffSince.IsZero() {
			return
		}
		if !o.batchApplied {
			w.applyBatch(o.batch)
			w.revision++
		}
		o.batchApplied = false
		o.shard.NoteRevision(w.revision)
		o.shard.Committed()
		o.batch = nil
	}
	if b := o.shard.Batch(w.now, 29); b != nil {
		if n := entriesOfBatch(b); n > 29 {
			w.t.Fatalf("a batch of %d entries exceeds the maximum of 29", n)
		}
		o.batch = b
		o.batchDue = w.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(w.t, "store ticks")) * 20 * time.Millisecond)
		if w.storeMayStall && rapid.IntRange(0, 9).Draw(w.t, "store stalls") == 0 {
			o.batchDue = o.batchDue.Add(time.Duration(rapid.IntRange(1, 6).Draw(w.t, "stall")) * time.Second)
		}
		if w.liveness != nil && w.now.Before(w.liveness.storeSlowUntil) {
			o.batchDue = o.batchDue.Add(w.randomTicks("slow store", 2000))
		}
	}
}

func (w *world) applyBatch(b *Batch) {
	w.unreached = b.Unreached
	if w.liveness != nil && w.liveness.longRunning != nil {
		for _, r := range b.starts {
			w.liveness.longRunning.lastExecutor[r.task.id] = w.executors[r.executor.ID]
		}
	}
	for _, write := range b.Jobs {
		j := w.jobs[write.ID]
		j.state = write.State
		j.progress = clone(write.Progress)
		if write.State == job.Completed {
			w.checkCompleted(j)
		}
		if write.State == job.Failed && w.crashing != nil {
			w.crashing.checkFailed(w, j)
		}
	}
}

func (w *world) checkCompleted(j *storedJob) {
	for s, def := range j.record.Definition.Steps {
		for i := range def.Count {
			id := job.TaskID{StepID: job.StepID{Job: j.record.ID, Step: s}, Index: i}
			if !j.everDone[id] {
				w.t.Fatalf("MIXED: job %s is published as completed, but task %s was never done", j.record.ID, id)
			}
		}
	}
}

// callOutcome is what happens to one call. The value after callNotSent is a call that times
// out without being executed.
type callOutcome int

const (
	callDelivered callOutcome = iota
	callResponseLost
	callDelayed
	callNotSent
)

// drawCallOutcome draws what happens to a call. A replaced owner is on the other side of
// the partition: it reaches only the executors that its successor can't.
func (w *world) drawCallOutcome(o *ownerSim, e *executorSim) callOutcome {
	if w.faultFree || w.crashing != nil && w.crashing.callsSucceed {
		return callDelivered
	}
	if w.liveness != nil {
		return w.liveness.drawCallOutcome(w, o, e)
	}
	if e == nil || !e.alive || e.partitioned == (o == w.owner) {
		return rapid.SampledFrom([]callOutcome{callNotSent, callNotSent + 1}).Draw(w.t, "unreachable")
	}
	draw := rapid.IntRange(0, 19).Draw(w.t, "call outcome")
	switch draw {
	case 0:
		return callResponseLost
	case 1:
		return callDelayed
	case 2:
		return callNotSent
	default:
		return callDelivered
	}
}

// call makes a call with a drawn outcome: execute executes it on the executor, respond passes
// the result to the owner.
func (w *world) call(o *ownerSim, id cluster.ExecutorID, execute func(e *executorSim), respond func(Delivery)) {
	w.callWithLate(o, id, execute, respond, nil)
}

// callWithLate is like call; late passes a response to the owner that comes after the time limit. It may be nil.
func (w *world) callWithLate(o *ownerSim, id cluster.ExecutorID, execute func(e *executorSim), respond func(Delivery), late func()) {
	e := w.executors[id]
	deliver := func(after time.Duration, d Delivery) {
		o.responses = append(o.responses, responseSim{w.now.Add(after), func() { respond(d) }})
	}
	switch w.drawCallOutcome(o, e) {
	case callDelivered:
		execute(e)
		if w.slow != nil {
			w.slow.deliver(w, o, respond, late)
			return
		}
		sent := w.now
		o.responses = append(o.responses, responseSim{w.now.Add(20 * time.Millisecond), func() {
			if w.now.Sub(sent) > testCallTimeout {
				respond(Ambiguous) // the owner did not read the response in time
				return
			}
			respond(Responded)
		}})
	case callResponseLost:
		execute(e)
		deliver(600*time.Millisecond, Ambiguous)
	case callDelayed:
		delay := time.Duration(rapid.IntRange(2, 12).Draw(w.t, "delay")) * time.Second
		w.timers = append(w.timers, timer{w.now.Add(delay), func() {
			if reached := w.latest(e); reached.alive {
				w.executeLate(func() { execute(reached) }, reached != e)
			}
		}})
		deliver(600*time.Millisecond, Ambiguous)
	case callNotSent:
		deliver(20*time.Millisecond, NotSent)
	default: // not executed, and the call times out
		deliver(600*time.Millisecond, Ambiguous)
	}
}

// executeLate executes a command whose call got no response long before, and may have been sent to
// an earlier incarnation.
func (w *world) executeLate(execute func(), sentToEarlier bool) {
	w.executingLate, w.sentToEarlier = true, sentToEarlier
	defer func() { w.executingLate, w.sentToEarlier = false, false }()
	execute()
}

func (w *world) sendCommand(o *ownerSim, cmd Command) {
	if w.sent != nil {
		*w.sent = append(*w.sent, fmt.Sprint(w.now.UnixMilli(), cmd.Kind, cmd.Start.RunRef, cmd.Executor.ID))
	}
	var reply execution.Reply
	if misdirected, delivery, refusal := w.odd.misdirected(w, cmd.Executor); misdirected {
		reply.Refusal = refusal
		o.respondLater(w, func() { o.shard.HandleCommandResult(cmd, delivery, reply, w.now) })
		return
	}
	w.call(o, cmd.Executor.ID, func(e *executorSim) {
		if reply.Refusal = w.refusal(e); reply.Refusal != execution.NotRefused {
			return
		}
		if cmd.Kind == CommandStart {
			reply = w.executeStart(e, cmd.Start)
		} else {
			reply = e.executeStop(cmd.Start.RunRef, cmd.Start.Token, w.now)
		}
	}, func(d Delivery) { o.shard.HandleCommandResult(cmd, d, reply, w.now) })
}

func (w *world) sendPoll(o *ownerSim, poll Poll) {
	var response execution.PollResponse
	if misdirected, delivery, refusal := w.odd.misdirected(w, poll.Executor); misdirected {
		response.Refusal = refusal
		o.respondLater(w, func() { o.shard.HandlePollResult(poll, delivery, response, w.now) })
		return
	}
	w.callWithLate(o, poll.Executor.ID, func(e *executorSim) {
		if response.Refusal = w.refusal(e); response.Refusal == execution.NotRefused {
			response = w.executePoll(e, poll.Request)
		}
	}, func(d Delivery) { o.shard.HandlePollResult(poll, d, response, w.now) },
		func() { o.shard.HandleLatePollResult(poll, Responded, response, w.now) })
}

// respondLater passes a result to the owner within the time of a call.
func (o *ownerSim) respondLater(w *world, deliver func()) {
	o.responses = append(o.responses, responseSim{w.now.Add(w.randomTicks("call", int(testCallTimeout.Milliseconds()))), deliver})
}

// refusal returns how the executor refuses all calls, if it does.
func (w *world) refusal(e *executorSim) execution.Refusal {
	switch {
	case !e.alive:
		return execution.RefusedWrongExecutor
	case e.faults.refusing:
		return execution.RefusedOther
	default:
		return execution.NotRefused
	}
}

// sortedRunning returns the runs by task, so that a seed reproduces a schedule exactly.
func (e *executorSim) sortedRunning() []*runSim {
	return slices.SortedFunc(maps.Values(e.running), func(a, b *runSim) int {
		return compareTasks(a.ref.Task, b.ref.Task)
	})
}

// executeStart executes a start command and checks it against the safety rules.
func (w *world) executeStart(e *executorSim, s execution.Start) execution.Reply {
	reply := execution.Reply{ClockMs: e.clock(w.now)}
	if s.Token < e.fence {
		reply.Refusal = execution.RefusedFenced
		return reply
	}
	e.fence = s.Token
	if r := e.running[s.Task]; r != nil && r.ref.Run == s.Run {
		return reply
	}
	if s.Run <= e.highestClosed[s.Task] {
		reply.Refusal = execution.RefusedStaleRun
		return reply
	}
	if s.UntilMs <= e.clock(w.now) {
		reply.Refusal = execution.RefusedLeaseExpired
		return reply
	}
	if e.faults.refusingStarts {
		reply.Refusal = execution.RefusedOther
		return reply
	}
	if !w.ticketValid(e, s) {
		reply.Refusal = execution.RefusedTicket
		return reply
	}
	unforeseen := w.unforeseen(e, s)
	if !unforeseen {
		w.checkStart(e, s)
		w.tenants.checkStart(w, s)
	}
	def := w.jobs[s.Task.Job].record.Definition.Steps[s.Task.Step]
	e.lease = max(e.lease, min(s.UntilMs, e.clock(w.now)+w.limits.MaxRunLease.Milliseconds()))
	r := &runSim{ref: s.RunRef, need: def.Reservation(), startedAt: w.now, late: w.executingLate, unforeseen: unforeseen}
	r.endsAt = w.now.Add(time.Duration(rapid.IntRange(5, 60).Draw(w.t, "run ticks")) * 20 * time.Millisecond)
	if w.outages != nil {
		r.endsAt = w.now.Add(w.randomTicks("long run", 3000))
	}
	r.endReason = execution.EndedDone
	if def.LongRunning {
		r.endsAt = w.now.Add(time.Hour)
	}
	if rapid.IntRange(0, 5).Draw(w.t, "fails") == 0 {
		r.endReason = execution.EndedFailed
	}
	if w.liveness != nil {
		w.liveness.decideOutcome(w, e, r, def)
	}
	e.running[s.Task] = r
	if w.crashing != nil {
		w.crashing.noteStart(w, e, s)
	}
	return reply
}

func (w *world) checkStart(e *executorSim, s execution.Start) {
	for _, other := range w.executors {
		if r := other.running[s.Task]; r != nil && other.alive && !(r.unforeseen && !w.knows(other)) {
			w.t.Fatalf("TWICE: %s run %d starts on %s while run %d is on %s%s", s.Task, s.Run, e.id, r.ref.Run, other.id, w.describeStart(e, s))
		}
	}
	j := w.jobs[s.Task.Job]
	if j.ackedDone[s.Task] {
		w.t.Fatalf("TWICE: %s run %d starts on %s after its completion was acknowledged%s", s.Task, s.Run, e.id, w.describeStart(e, s))
	}
	if j.ackedFailures[s.Task] >= j.record.Queue.MaxAttempts && !j.record.Definition.Steps[s.Task.Step].LongRunning {
		w.t.Fatalf("BUDGET: %s run %d starts on %s after %d acknowledged failures", s.Task, s.Run, e.id, j.ackedFailures[s.Task])
	}
	def := j.record.Definition.Steps[s.Task.Step]
	for _, dependency := range def.After {
		for i := range j.record.Definition.Steps[dependency].Count {
			id := job.TaskID{StepID: job.StepID{Job: s.Task.Job, Step: dependency}, Index: i}
			if !j.everDone[id] {
				w.t.Fatalf("ORDER: %s starts before %s is done", s.Task, id)
			}
		}
	}
	used := def.Reservation()
	for _, r := range e.running {
		used = used.Add(r.need)
	}
	if !used.Fits(w.capacityLimit(e)) && !w.executingLate && (!e.startedAgain || w.knows(e)) {
		w.t.Fatalf("LIMIT: %s run %d raises the use of %s to %+v", s.Task, s.Run, e.id, used)
	}
	if !j.cancelledAt.IsZero() && w.now.Sub(j.cancelledAt) > 20*time.Second {
		w.t.Fatalf("UNASKED: %s starts %s after its job was cancelled", s.Task, w.now.Sub(j.cancelledAt))
	}
}

func (e *executorSim) executeStop(ref execution.RunRef, token int64, now time.Time) execution.Reply {
	reply := execution.Reply{ClockMs: e.clock(now)}
	if token < e.fence {
		reply.Refusal = execution.RefusedFenced
		return reply
	}
	e.fence = token
	e.highestClosed[ref.Task] = max(e.highestClosed[ref.Task], ref.Run)
	if r := e.running[ref.Task]; r != nil && r.ref.Run <= ref.Run && r.stopsAt.IsZero() {
		r.stopsAt = now.Add(testStopTime)
	}
	return reply
}

// executePoll executes a poll, with the acknowledgements that it contains.
func (w *world) executePoll(e *executorSim, request execution.PollRequest) execution.PollResponse {
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: e.clock(w.now)}, From: cluster.Incarnation{ID: e.id, Born: e.born}}
	if request.Token < e.fence {
		response.Refusal = execution.RefusedFenced
		return response
	}
	e.fence = request.Token
	for len(e.ended) > 0 && e.ended[0].Sequence <= request.AckedThrough {
		w.acknowledge(e, e.ended[0])
		e.ended = e.ended[1:]
	}
	e.lease = max(e.lease, min(request.UntilMs, e.clock(w.now)+w.limits.MaxRunLease.Milliseconds()))
	for _, r := range e.sortedRunning() {
		response.Running = append(response.Running, execution.Running{RunRef: r.ref, Percent: 100, Checkpoint: "c"})
	}
	response.Ended = append(response.Ended, e.ended...)
	if w.faultFree {
		for _, end := range e.ended {
			w.acknowledge(e, end)
		}
	}
	return response
}

func (w *world) acknowledge(e *executorSim, end execution.Ended) {
	if e.leaseExpired[end.RunRef] || e.acked[end.RunRef] || e.unforeseenEnds[end.RunRef] {
		return
	}
	e.acked[end.RunRef] = true
	j := w.jobs[end.Task.Job]
	j.ackedAt[end.Task] = w.now
	switch end.Reason {
	case execution.EndedDone:
		j.ackedDone[end.Task] = true
	case execution.EndedFailed:
		j.ackedFailures[end.Task]++
	}
}

// advance ends the runs whose work, stop or lease is over.
func (w *world) advance(e *executorSim) {
	now := w.now
	expired := e.clock(now) >= e.lease
	for _, r := range e.sortedRunning() {
		switch {
		case expired:
			w.endRun(e, r, execution.EndedLeaseExpired)
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			w.endRun(e, r, execution.EndedStopped)
		case !now.Before(r.endsAt):
			w.endRun(e, r, r.endReason)
		}
	}
	if expired {
		for _, end := range e.ended {
			e.leaseExpired[end.RunRef] = true // a later acknowledgement has no effect
		}
	}
}

func (w *world) endRun(e *executorSim, r *runSim, reason execution.EndReason) {
	if reason == execution.EndedDone {
		w.jobs[r.ref.Task.Job].everDone[r.ref.Task] = true
	}
	if reason == execution.EndedFailed && w.crashing != nil {
		w.crashing.failures[r.ref.Task]++
	}
	delete(e.running, r.ref.Task)
	e.unforeseenEnds[r.ref] = r.unforeseen
	w.restarts.noteEnd(r.ref, w.now)
	e.highestClosed[r.ref.Task] = max(e.highestClosed[r.ref.Task], r.ref.Run)
	e.sequence++
	if w.liveness != nil {
		w.liveness.lastEnd[r.ref.Task] = w.now
	}
	e.ended = append(e.ended, execution.Ended{RunRef: r.ref, Sequence: e.sequence, Reason: reason, Checkpoint: "c"})
}

func (w *world) pickExecutor(label string) *executorSim {
	var alive []*executorSim
	for i := 1; i <= w.executorsAdded; i++ {
		e := w.executors[cluster.ExecutorID(fmt.Sprintf("i-%d", i))]
		if e != nil && e.alive {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(w.t, label)]
}

// cordons returns cordons without ID.
func cordons(evacuations map[cluster.ExecutorID]Evacuation) map[cluster.ExecutorID]Cordon {
	list := map[cluster.ExecutorID]Cordon{}
	for id, evacuation := range evacuations {
		list[id] = Cordon{Evacuation: evacuation}
	}
	return list
}

func (w *world) refreshExecutors() { w.owner.shard.SetExecutors(w.listExecutors(), w.now) }

// injectFault submits or cancels a job, or injects one random fault.
func (w *world) injectFault() {
	if w.outages != nil && rapid.IntRange(0, 2).Draw(w.t, "outage") == 0 {
		w.outages.injectFault(w)
		return
	}
	kinds := 9
	if w.restarts != nil {
		kinds = 11
	}
	switch rapid.IntRange(0, kinds).Draw(w.t, "fault") {
	case 0, 1, 2, 3:
		w.submit()
	case 4:
		w.cancel()
	case 5: // an executor crashes; another one starts at its address
		if e := w.pickExecutor("crashes"); e != nil {
			e.alive = false
			w.addExecutor(e.address)
			w.refreshExecutors()
		}
	case 6: // an executor is partitioned from the owner, or reachable again
		if e := w.pickExecutor("partitioned"); e != nil {
			e.partitioned = !e.partitioned
			w.refreshExecutors()
		}
	case 7: // the owner crashes
		w.replaceOwner()
	case 8: // the owner is replaced while partitioned, and continues as a zombie
		w.zombies = append(w.zombies, w.owner)
		w.replaceOwner()
		if len(w.zombies) > 2 {
			w.zombies = w.zombies[1:]
		}
	case 9:
		if e := w.pickExecutor("cordoned"); e != nil {
			w.owner.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{e.id: rapid.SampledFrom([]Evacuation{EvacuateGracefully, EvacuatePreempting}).Draw(w.t, "evacuation")}), w.now)
		}
	case 10, 11:
		if e := w.pickExecutor("starts again"); e != nil {
			w.startAgain(e)
		}
	}
}

// Random crashes, partitions, lost and delayed calls and changes of owner must not make a
// start violate a safety rule, and every job must become final afterwards.
func TestSafetyRulesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			w.injectFault()
			for range rapid.IntRange(1, 40).Draw(t, "pause") {
				w.step(40 * time.Millisecond)
			}
		}
		w.healAndFinish()
	})
}

// An instance is so CPU-starved that its owner does nothing for seconds, repeatedly:
// responses are read late or time out, and leases expire. There are no other faults.
func TestCPUStarvedOwnerStartsNoTaskTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faultFree = true
		for range rapid.IntRange(5, 20).Draw(t, "pauses") {
			w.submit()
			w.step(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks between")) * 20 * time.Millisecond)
			w.owner.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(5, 500).Draw(t, "ticks paused")) * 20 * time.Millisecond)
			for w.now.Before(w.owner.pausedUntil) {
				w.step(20 * time.Millisecond)
			}
		}
		w.healAndFinish()
	})
}

// healAndFinish ends all faults, cancels the long-running jobs, and checks that all jobs
// become final within a minute.
func (w *world) healAndFinish() {
	w.endFaults()
	for range 60 {
		w.step(time.Second)
	}
	w.checkFinal()
}

// endFaults ends all faults and cancels the long-running jobs.
func (w *world) endFaults() {
	w.zombies = nil
	w.owner.cutOffSince, w.owner.pausedUntil = time.Time{}, time.Time{}
	for _, e := range w.executors {
		e.partitioned = false
	}
	w.owner.shard.SetCordons(cordons(nil), w.now)
	w.refreshExecutors()
	for id, j := range w.jobs {
		if j.record.Definition.Steps[0].LongRunning && j.cancelledAt.IsZero() {
			j.cancelledAt = w.now
			w.owner.shard.Cancel(id)
		}
	}
}

// checkFinal checks that all jobs are final a minute after the last fault.
func (w *world) checkFinal() {
	for id, j := range w.jobs {
		if !j.state.Final() {
			w.t.Fatalf("LOST: job %s is %s a minute after the last fault: %s%s", id, j.state, w.describe(id), w.tenants.describe(w, id))
		}
	}
}

// describe returns the owner's state of a job and of the executors.
func (w *world) describe(id job.ID) string {
	text := ""
	if j := w.owner.shard.jobs[id]; j != nil {
		text = fmt.Sprintf("queue=%s steps=%+v state=%s cancelled=%t failed=%t version=%d durable=%d;", j.Queue.Name, j.Definition.Steps, j.state, j.cancelled, j.failed, j.version, j.durableVersion)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					text += fmt.Sprintf(" %s run=%d done=%t failures=%d crashes=%+v retry=%s", t.id, t.lastRun, t.done, t.failures, t.crashes, t.retryAt.Sub(w.now))
					if r := t.current; r != nil {
						text += fmt.Sprintf(" on=%s phase=%d stopping=%t stopAcknowledged=%t sends=%d inFlight=%t", r.executor.ID, r.phase, r.stopping, r.stopAcknowledged, r.startSends, r.inFlight)
					}
					text += ";"
				}
			}
		}
	}
	for _, e := range w.owner.shard.sortedExecutors() {
		text += fmt.Sprintf("\n%s listed=%t polled=%t cordoned=%t ended=%t failedCalls=%d orphans=%d runs=%d used=%+v pending=%d leaseBound=%s polling=%t suspect=%t",
			e.ID, e.listed, e.polled, e.cordoned(), e.ended, e.failedCalls, len(e.orphans), len(e.runs), e.used, len(e.pending), e.leaseBound.Sub(w.now), e.polling, e.health.suspect())
	}
	return fmt.Sprintf("%s\nfenced=%t dirty=%t", text, w.owner.shard.fenced, w.owner.shard.dirty)
}

func entriesOfBatch(b *Batch) int {
	n := 0
	if b.Load != nil {
		n += loadEntries
	}
	if b.Waiting != nil {
		n += waitingEntries
	}
	for _, w := range b.Jobs {
		n += w.Entries()
	}
	return n
}

// A red schedule must be reproducible from its seed: two worlds with the same draws send the
// same commands in the same order.
func TestScheduleIsReproducible(t *testing.T) {
	t.Parallel()
	record := func(seed int) (sent []string) {
		generator := rapid.Custom(func(t *rapid.T) []string {
			w := newLivenessWorld(t)
			w.sent = &[]string{}
			for range 20 {
				w.injectLivenessFault()
				w.step(500 * time.Millisecond)
			}
			return *w.sent
		})
		return generator.Example(seed)
	}
	for seed := range 10 {
		assert.DeepEqual(t, record(seed), record(seed))
	}
}

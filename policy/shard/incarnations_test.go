package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// lister responds to the polls of one executor like one incarnation of it.
type lister struct {
	from    cluster.Incarnation
	running []execution.Running
	ended   []execution.Ended
}

func (l *lister) end(reason execution.EndReason) {
	for _, r := range l.running {
		l.ended = append(l.ended, execution.Ended{RunRef: r.RunRef, Sequence: int64(len(l.ended) + 1), Reason: reason})
	}
	l.running = nil
}

// answer responds to all polls that are due for a while, and returns the highest acknowledgement.
func (h *harness) answer(l *lister) (acked int64) {
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, poll := range h.shard.Polls(h.now) {
			acked = max(acked, poll.Request.AckedThrough)
			response := execution.PollResponse{
				Reply: execution.Reply{ClockMs: h.clock(l)}, From: l.from, Running: l.running,
			}
			for _, end := range l.ended {
				if end.Sequence > poll.Request.AckedThrough {
					response.Ended = append(response.Ended, end)
				}
			}
			h.shard.HandlePollResult(poll, Responded, response, h.now)
		}
		for _, cmd := range h.storeAndCommand() {
			if cmd.Kind == CommandStart {
				l.running = append(l.running, execution.Running{RunRef: cmd.Start.RunRef, Percent: 100})
			}
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: h.clock(l)}, h.now)
		}
	}
	return acked
}

// clock returns the clock of an incarnation, which begins at 1 s with its birth.
func (h *harness) clock(l *lister) int64 {
	return 1000 + h.now.UnixMilli() - int64(l.from.Born)
}

// An executor has ended two runs and starts again under its ID. The completion of the first run
// there has the number 1: it must be read, and not be acknowledged by the number of the earlier
// incarnation.
func TestCompletionsAfterARestartAreReadBeforeTheyAreAcknowledged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	first := &lister{from: cluster.Incarnation{ID: "i-1", Born: cluster.Birth(h.now.UnixMilli())}}
	e := newExecutorNamed("i-1")
	e.Born = first.from.Born
	h.shard.SetExecutors([]cluster.Executor{e}, h.now)
	h.answer(first)
	twoTasks := oneTask
	twoTasks.Count = 2
	h.submit("00000000000000aa", twoTasks)
	h.answer(first)
	first.end(execution.EndedDone)
	assert.Equal(t, h.answer(first), int64(2))

	again := &lister{from: cluster.Incarnation{ID: "i-1", Born: cluster.Birth(h.now.UnixMilli())}}
	e.Born = again.from.Born
	h.answer(again)
	h.shard.SetExecutors([]cluster.Executor{e}, h.now)
	h.submit("00000000000000ab", oneTask)
	h.answer(again)
	assert.Equal(t, len(again.running), 1)
	again.end(execution.EndedDone)
	assert.Equal(t, h.answer(again), int64(1))
	assert.Equal(t, len(again.running), 0, "the task was started again")
	assert.Assert(t, !h.shard.HasJob("00000000000000ab"))
}

// restartedHarness has one executor with a run of a task, which has just started again, with an
// incarnation of which the owner does not know yet.
type restartedHarness struct {
	*harness
	entry         cluster.Executor // of the first incarnation
	first, second *lister
}

// longAgo is the birth of an executor that no call to an earlier incarnation can reach.
const longAgo = cluster.Birth(1)

func newRestartedHarness(t *testing.T) *restartedHarness {
	h := newHarness(t)
	entry := newExecutorNamed("i-1")
	entry.Born = longAgo
	first := &lister{from: entry.Incarnation()}
	h.shard.SetExecutors([]cluster.Executor{entry}, h.now)
	h.answer(first)
	h.submit("00000000000000aa", oneTask)
	h.answer(first)
	assert.Equal(t, len(first.running), 1)
	second := &lister{from: cluster.Incarnation{ID: "i-1", Born: cluster.Birth(h.now.UnixMilli())}}
	return &restartedHarness{harness: h, entry: entry, first: first, second: second}
}

// secondEntry returns the entry of the second incarnation.
func (h *restartedHarness) secondEntry() cluster.Executor {
	e := h.entry
	e.Born = h.second.from.Born
	return e
}

func (h *restartedHarness) executor() *executorState { return h.shard.executors["i-1"] }

// A later incarnation without the run ends the earlier one, as a crash: the task starts again there.
func TestRestartUnderTheSameIDEndsTheRunsThere(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	assert.Equal(t, h.executor().formerRuns(), 1)
	h.answer(h.second)
	assert.Equal(t, h.executor().formerRuns(), 0)
	assert.Equal(t, len(h.second.running), 1)
	assert.Equal(t, h.second.running[0].Run, 2)
	notes := h.shard.TakeGiveUpNotes()
	assert.Equal(t, len(notes), 1)
	assert.Equal(t, notes[0].Reason, GivenUpEnded)
}

// A start has reached the later incarnation: its run stays where it is, and no other one starts.
func TestRunThatALaterIncarnationHasIsKept(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.second.running = h.first.running
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	h.answer(h.second)
	assert.Equal(t, len(h.second.running), 1)
	r := h.shard.jobs["00000000000000aa"].occurrences[0].steps[0].tasks[0].current
	assert.Equal(t, r.executor, h.executor())
	assert.Equal(t, r.phase, confirmed)
	assert.Equal(t, len(h.shard.TakeGiveUpNotes()), 0)
}

// Calls to an earlier incarnation may still be on their way: the later one is polled with a higher
// fencing token, and its first poll acknowledges nothing.
func TestFirstPollAfterARestartFencesOffEarlierCalls(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	before := h.shard.latestToken
	h.executor().token = before // as by a start after the last write
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	assert.Equal(t, len(h.shard.Polls(h.now)), 0)
	h.storeAndCommand() // an empty batch brings a token
	polls := h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	assert.Assert(t, polls[0].Request.Token > before)
	assert.Equal(t, polls[0].Request.AckedThrough, int64(0))
}

// A start that reaches a later incarnation must fence it off from the acknowledgements that were
// sent before: its token is above theirs.
func TestStartCarriesAHigherTokenThanEarlierAcknowledgements(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.first.end(execution.EndedDone)
	assert.Equal(t, h.answer(h.first), int64(1))
	acknowledged := h.executor().ackToken
	h.submit("00000000000000ab", oneTask)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Start.Token > acknowledged)
}

// While a start has no response it may have reached a later incarnation, whose first completions an
// acknowledgement would let it forget.
func TestNothingIsAcknowledgedWhileAStartHasNoResponse(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.first.end(execution.EndedDone)
	h.answer(h.first)
	h.submit("00000000000000ab", oneTask)
	starts := h.storeAndCommand()
	h.shard.HandleCommandResult(starts[0], Ambiguous, execution.Reply{}, h.now)
	polls := h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	assert.Equal(t, polls[0].Request.AckedThrough, int64(0))
}

// A start raises the fencing token that an executor has seen. A poll that was sent before and is
// refused for that shows no successor.
func TestRefusalByAnOwnLaterTokenIsNoSuccessor(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.first.end(execution.EndedDone)
	h.answer(h.first)
	h.submit("00000000000000ab", oneTask)
	h.answer(h.first)
	h.now = h.now.Add(pollWait)
	polls := h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	h.executor().token++ // as by a start
	refused := execution.PollResponse{Reply: execution.Reply{Refusal: execution.RefusedFenced}}
	h.shard.HandlePollResult(polls[0], Responded, refused, h.now)
	assert.Assert(t, !h.shard.Fenced())
	h.now = h.now.Add(pollRetry)
	polls = h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	h.shard.HandlePollResult(polls[0], Responded, refused, h.now)
	assert.Assert(t, h.shard.Fenced())
}

// A poll of an earlier owner to an earlier incarnation may have renewed the leases of a later one, by
// another clock: they last as long as any lease.
func TestLeasesOfAYoungIncarnationMayBeTheLongest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		born  func(now time.Time) cluster.Birth
		lease time.Duration
	}{
		{"young", func(now time.Time) cluster.Birth { return cluster.Birth(now.UnixMilli()) - 1000 }, testLimits.MaxRunLease},
		{"old", func(time.Time) cluster.Birth { return longAgo }, testLimits.RunLease},
		{"unknown", func(time.Time) cluster.Birth { return 0 }, testLimits.RunLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			e := newExecutorNamed("i-1")
			e.Born = c.born(h.now)
			h.shard.SetExecutors([]cluster.Executor{e}, h.now)
			for _, poll := range h.shard.Polls(h.now) {
				h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, From: e.Incarnation()}, h.now)
			}
			assert.Equal(t, h.shard.executors["i-1"].leaseBound, h.now.Add(maxLeaseTime(c.lease)))
		})
	}
}

// Machine lists lack the executor, but lag: it may have started again before a start reached it.
func TestMachineListFromBeforeAStartEndsNoExecutor(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.submit("00000000000000ab", oneTask)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), 1)
	sent := h.now
	h.now = h.now.Add(600 * time.Millisecond)
	h.shard.HandleCommandResult(starts[0], Ambiguous, execution.Reply{}, h.now)
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Ambiguous, execution.PollResponse{}, h.now)
	}
	for range endedAfterLists {
		assert.Equal(t, len(h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), sent.Add(maxMachineListLag/2)))), 0)
	}
	h.now = sent.Add(2 * maxMachineListLag)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))), 1)
}

// The reply to a start has a clock that is not the executor's: another incarnation may have the run.
// Nothing is concluded from the reply, and a poll follows at once.
func TestReplyWithAnotherClockIsNoConfirmation(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.submit("00000000000000ab", oneTask)
	starts := h.storeAndCommand()
	h.shard.HandleCommandResult(starts[0], Responded, execution.Reply{ClockMs: h.clock(h.second)}, h.now)
	r := h.shard.jobs["00000000000000ab"].occurrences[0].steps[0].tasks[0].current
	assert.Equal(t, r.phase, unconfirmed)
	assert.Equal(t, len(h.shard.Commands(h.now.Add(time.Second))), 0, "a command was sent before the poll")
	polls := h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	assert.Equal(t, polls[0].Request.AckedThrough, int64(0))
}

// The response of an earlier incarnation is read after its end: the work is done.
func TestLateResponseOfAnEarlierIncarnationCompletesItsTask(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.now = h.now.Add(pollWait)
	late := h.shard.Polls(h.now)
	assert.Equal(t, len(late), 1)
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	h.first.end(execution.EndedDone)
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: h.clock(h.first)}, From: h.first.from, Ended: h.first.ended}
	h.shard.HandlePollResult(late[0], Responded, response, h.now)
	h.answer(h.second)
	assert.Assert(t, !h.shard.HasJob("00000000000000aa"))
	assert.Equal(t, len(h.second.running), 0)
}

// Entries lag: that of an earlier incarnation is no executor to use, and one without a birth does not say
// whose it is.
func TestEntryOfAnotherIncarnationListsNoExecutor(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	h.answer(h.second)
	unborn := h.entry
	unborn.Born = 0
	for _, entry := range []cluster.Executor{h.entry, unborn} {
		h.shard.SetExecutors([]cluster.Executor{entry}, h.now)
		assert.Equal(t, h.executor().Born, h.second.from.Born)
		assert.Equal(t, h.executor().unusableReason(h.now), UnusableUnlisted)
	}
}

// What was held against an executor ends with its incarnation.
func TestRestartedExecutorStartsAfresh(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	draining := h.entry
	draining.Draining = true
	h.shard.SetExecutors([]cluster.Executor{draining}, h.now)
	e := h.executor()
	e.stalledUntil = h.now.Add(time.Hour)
	for i := range suspectFailures {
		e.health.recordFailure(testID(i), h.now)
	}
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	h.answer(h.second)
	assert.Equal(t, h.executor().unusableReason(h.now), UnusableReason(""))
}

// A ticket is valid in one incarnation of an executor.
func TestTicketOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.submit("00000000000000ab", oneTask)
	j := h.shard.jobs["00000000000000ab"]
	j.Queue.Advice = &cluster.Advice{Validity: time.Hour}
	h.shard.updateAdvised(j)
	requests := h.adviceRequests()
	assert.Equal(t, len(requests), 1)
	advise := func() {
		h.respondToAdvice(requests[0], map[cluster.ExecutorID]string{"i-1": "ticket"}, time.Hour)
	}
	advise()
	st := j.occurrences[0].steps[0]
	assert.Assert(t, st.allows(h.executor(), h.now))
	h.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	assert.Assert(t, !st.allows(h.executor(), h.now))
	advise() // the request was made before the restart
	assert.Assert(t, !st.allows(h.executor(), h.now))
}

// Stored progress names an incarnation that is not the listed one any more: its run is settled by the
// list of the present one.
func TestInheritedRunOfAnEarlierIncarnationIsSettled(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	progress := h.shard.jobs["00000000000000aa"].progress()
	assert.Equal(t, progress.Tasks[0].Born, longAgo)
	successor := &restartedHarness{harness: newHarness(t), entry: h.entry, first: h.first, second: h.second}
	successor.now = h.now
	successor.shard.SetExecutors([]cluster.Executor{h.secondEntry()}, h.now)
	record := h.shard.jobs["00000000000000aa"].Record
	successor.shard.AddJob(record, &progress, h.now)
	assert.Equal(t, successor.executor().formerRuns(), 1)
	successor.answer(h.second)
	assert.Equal(t, successor.executor().formerRuns(), 0)
	assert.Equal(t, len(h.second.running), 1)
	assert.Equal(t, h.second.running[0].Run, 2)
}

// An executor fails right after starts were decided there: those that were not sent yet are not held
// back until leases expire, but start elsewhere.
func TestStartThatWasNotSentToAFailingExecutorIsMadeElsewhere(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	many := oneTask
	many.Count = 3
	h.submit("00000000000000ab", many)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), maxCommandsInFlight)
	other := newExecutorNamed("i-2")
	other.Born = longAgo
	h.shard.SetExecutors([]cluster.Executor{h.entry, other}, h.now)
	for _, cmd := range starts {
		h.shard.HandleCommandResult(cmd, Ambiguous, execution.Reply{}, h.now)
	}
	elsewhere := 0
	for deadline := h.now.Add(time.Second); h.now.Before(deadline); h.now = h.now.Add(50 * time.Millisecond) {
		for _, poll := range h.shard.Polls(h.now) {
			delivery, from := Ambiguous, cluster.Incarnation{}
			if poll.Executor.ID == "i-2" {
				delivery, from = Responded, other.Incarnation()
			}
			h.shard.HandlePollResult(poll, delivery, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, From: from}, h.now)
		}
		for _, cmd := range h.storeAndCommand() {
			assert.Equal(t, cmd.Executor.ID, cluster.ExecutorID("i-2"))
			elsewhere++
		}
	}
	assert.Equal(t, elsewhere, 1)
}

// A start without a response may have reached a later incarnation, where the lease that it asks for
// counts by another clock: its task waits for the longest one.
func TestUnansweredStartMayHoldTheLongestLease(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.submit("00000000000000ab", oneTask)
	starts := h.storeAndCommand()
	sent := h.now
	h.shard.HandleCommandResult(starts[0], Ambiguous, execution.Reply{}, h.now)
	h.shard.SetExecutors(nil, h.now)
	task := h.shard.jobs["00000000000000ab"].occurrences[0].steps[0].tasks[0]
	for task.current != nil && h.now.Sub(sent) < time.Minute {
		h.now = h.now.Add(100 * time.Millisecond)
		h.shard.Tick(h.now)
		for _, poll := range h.shard.Polls(h.now) {
			h.shard.HandlePollResult(poll, NotSent, execution.PollResponse{}, h.now)
		}
		h.storeAndCommand()
	}
	assert.Assert(t, h.now.Sub(sent) > maxLeaseTime(testLimits.MaxRunLease), "given up after %s", h.now.Sub(sent))
	assert.Assert(t, h.now.Sub(sent) < 2*testLimits.MaxRunLease, "given up after %s", h.now.Sub(sent))
}

package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// oddEntry returns an entry of another writer under the ID of the executor at work.
func (h *restartedHarness) oddEntry(change func(*cluster.Executor)) cluster.Executor {
	odd := h.entry
	odd.Born = cluster.Birth(h.now.Add(3 * time.Second).UnixMilli())
	if change != nil {
		change(&odd)
	}
	return odd
}

// assertAtWork asserts that the executor is usable in its own incarnation and has its run, and that nothing was
// given up or blamed on a crash.
func (h *restartedHarness) assertAtWork() {
	h.t.Helper()
	e := h.executor()
	assert.Equal(h.t, e.Born, h.first.from.Born)
	assert.Equal(h.t, e.unusableReason(h.now), UnusableReason(""))
	assert.Equal(h.t, e.formerRuns(), 0)
	assert.Equal(h.t, len(h.first.running), 1)
	r := h.shard.jobs["00000000000000aa"].occurrences[0].steps[0].tasks[0].current
	assert.Assert(h.t, r != nil && r.executor == e)
	assert.Equal(h.t, r.number, 1)
	assert.Equal(h.t, len(h.shard.TakeGiveUpNotes()), 0)
	assert.Equal(h.t, len(h.shard.TakeCrashNotes()), 0)
	assert.Equal(h.t, h.shard.crashCount, 0)
}

// An entry with a later birth than that of the executor at work costs the executor for the rest of the term: its
// runs are given up, and its responses and its own entries are ignored.
func TestEntryOfAnotherWriterSupersedesAnExecutorAtWork(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		odd  func(*cluster.Executor)
	}{
		{"later birth", nil},
		{"draining", func(e *cluster.Executor) { e.Draining = true }},
		{"without capacity", func(e *cluster.Executor) { e.Capacity.MilliCPU, e.Labels = 0, nil }},
		{"largest birth", func(e *cluster.Executor) { e.Born = 1<<63 - 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newRestartedHarness(t)
			odd := h.oddEntry(c.odd)
			h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
			h.answer(h.first)
			h.assertAtWork() // though its own entry is not listed again
			h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
			h.assertAtWork()
			h.shard.SetExecutors([]cluster.Executor{h.entry}, h.now)
			h.assertAtWork()
			h.first.end(execution.EndedDone)
			h.answer(h.first)
			assert.Assert(t, !h.shard.HasJob("00000000000000aa"))
		})
	}
}

// failAt responds like an executor at one address; calls to other addresses get the result.
func (h *restartedHarness) failAt(address string, delivery Delivery, refusal execution.Refusal) {
	for range 10 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.shard.Tick(h.now)
		for _, poll := range h.shard.Polls(h.now) {
			response := execution.PollResponse{Reply: execution.Reply{Refusal: refusal}}
			if poll.Executor.Address == address {
				response = execution.PollResponse{Reply: execution.Reply{ClockMs: h.clock(h.first)}, From: h.first.from, Running: h.first.running}
				h.shard.HandlePollResult(poll, Responded, response, h.now)
				continue
			}
			h.shard.HandlePollResult(poll, delivery, response, h.now)
		}
		h.storeAndCommand()
	}
}

// An entry names another address, where nobody responds, or another executor: the runs at work are given up,
// and their tasks start elsewhere beside them.
func TestEntryWithAnotherAddressEndsAnExecutorAtWork(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		born     func(cluster.Birth) cluster.Birth
		delivery Delivery
		refusal  execution.Refusal
	}{
		{"later birth, nobody there", func(b cluster.Birth) cluster.Birth { return b }, NotSent, execution.NotRefused},
		{"later birth, no answer", func(b cluster.Birth) cluster.Birth { return b }, Ambiguous, execution.NotRefused},
		{"later birth, another executor there", func(b cluster.Birth) cluster.Birth { return b }, Responded, execution.RefusedWrongExecutor},
		{"same birth, nobody there", func(cluster.Birth) cluster.Birth { return longAgo }, NotSent, execution.NotRefused},
		{"same birth, another executor there", func(cluster.Birth) cluster.Birth { return longAgo }, Responded, execution.RefusedWrongExecutor},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newRestartedHarness(t)
			odd := h.oddEntry(func(e *cluster.Executor) { e.Born, e.Address = c.born(e.Born), "i-2:80" })
			h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
			h.failAt("i-1:80", c.delivery, c.refusal)
			h.shard.SetExecutors([]cluster.Executor{h.entry}, h.now) // its next own one
			h.failAt("i-1:80", c.delivery, c.refusal)
			h.assertAtWork()
		})
	}
}

// The odd entry is the first that a new owner reads, before or after the stored progress that names the
// incarnation at work.
func TestNewOwnerTakesAnEntryOfAnotherWriterForTheExecutor(t *testing.T) {
	t.Parallel()
	for _, entryFirst := range []bool{true, false} {
		h := newRestartedHarness(t)
		progress := h.shard.jobs["00000000000000aa"].progress()
		record := h.shard.jobs["00000000000000aa"].Record
		next := &restartedHarness{harness: newHarness(t), entry: h.entry, first: h.first}
		next.now = h.now
		odd := h.oddEntry(nil)
		if entryFirst {
			next.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		}
		next.shard.AddJob(record, &progress, h.now)
		next.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		next.answer(h.first)
		next.shard.SetExecutors([]cluster.Executor{h.entry}, next.now)
		next.assertAtWork()
	}
}

// Without any run there either, the executor is usable once it has responded and its own entry is listed, also
// after it was not listed for a while.
func TestIdleExecutorIsLostByAnEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	for _, known := range []bool{true, false} {
		h := newHarness(t)
		own := newExecutorNamed("i-1")
		own.Born = longAgo
		odd := own
		odd.Born = cluster.Birth(h.now.Add(time.Hour).UnixMilli())
		l := &lister{from: own.Incarnation()}
		if known {
			h.shard.SetExecutors([]cluster.Executor{own}, h.now)
			h.answer(l)
		}
		h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		h.shard.SetExecutors([]cluster.Executor{own}, h.now)
		h.answer(l)
		assert.Equal(t, h.shard.executors["i-1"].unusableReason(h.now), UnusableReason(""))
		h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		h.shard.SetExecutors(nil, h.now)
		h.shard.SetExecutors([]cluster.Executor{own}, h.now)
		h.answer(l)
		assert.Equal(t, h.shard.executors["i-1"].unusableReason(h.now), UnusableReason(""))
	}
}

// Completions that were read but not stored when the odd entry came must not be acknowledged unstored.
func TestCompletionsSurviveAnEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	late := h.shard.Polls(h.now.Add(pollWait))
	assert.Equal(t, len(late), 1)
	h.first.end(execution.EndedDone)
	ended := execution.PollResponse{Reply: execution.Reply{ClockMs: h.clock(h.first)}, From: h.first.from, Ended: h.first.ended}
	h.shard.HandlePollResult(late[0], Responded, ended, h.now)
	h.shard.SetExecutors([]cluster.Executor{h.oddEntry(nil)}, h.now)
	h.now = h.now.Add(pollRetry)
	assert.Assert(t, h.shard.Batch(h.now, 29) != nil) // not durable yet
	h.shard.NoteRevision(h.revision + 1)
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, poll := range h.shard.Polls(h.now) {
			assert.Equal(t, poll.Request.AckedThrough, int64(0))
			ended.ClockMs = h.clock(h.first)
			h.shard.HandlePollResult(poll, Responded, ended, h.now)
		}
	}
	h.shard.Committed()
	assert.Equal(t, h.answer(h.first), int64(1))
	assert.Assert(t, !h.shard.HasJob("00000000000000aa"))
}

// While the odd entry holds, the response to an earlier poll lists the unstored end again, and a later end of a job
// that is gone, which needs no write: an acknowledgement of the later one would cover the unstored one.
func TestLaterEndAcknowledgesAnUnstoredOneAfterAnEntryOfAnotherWriter(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.answer(h.first)
	h.first.end(execution.EndedDone)
	response := func() execution.PollResponse {
		return execution.PollResponse{Reply: execution.Reply{ClockMs: h.clock(h.first)}, From: h.first.from, Ended: h.first.ended}
	}
	next := func() Poll {
		t.Helper()
		for range 100 {
			h.now = h.now.Add(50 * time.Millisecond)
			for _, poll := range h.shard.Polls(h.now) {
				return poll
			}
		}
		t.Fatal("no poll")
		return Poll{}
	}
	h.shard.HandlePollResult(next(), Responded, response(), h.now)
	assert.Equal(t, len(h.executor().pending), 1)
	late := next()
	h.shard.SetExecutors([]cluster.Executor{h.oddEntry(nil)}, h.now)
	later := h.first.ended[0]
	later.Sequence, later.Task.Job = 2, "00000000000000ff"
	h.first.ended = append(h.first.ended, later)
	h.shard.HandlePollResult(late, Responded, response(), h.now)
	for range 5 {
		poll := next()
		assert.Equal(t, poll.Request.AckedThrough, int64(0))
		h.shard.HandlePollResult(poll, Responded, response(), h.now)
	}
	assert.Equal(t, h.executor().Born, h.first.from.Born)
	h.shard.Batch(h.now, 29)
	h.shard.Committed()
	assert.Equal(t, next().Request.AckedThrough, int64(2))
}

// Another writer puts the entry of an executor of another service into this one, until that executor writes its own:
// a poll would fence off the owner there, and the runs there would be stopped as orphans.
func TestExecutorOfAnotherServiceIsCalled(t *testing.T) {
	t.Parallel()
	polled := func(h *harness, id cluster.ExecutorID) bool {
		called := false
		for _, poll := range h.shard.Polls(h.now) {
			called = called || poll.Executor.ID == id
			h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, From: poll.Executor.Incarnation()}, h.now)
		}
		return called
	}
	for _, c := range []struct {
		name   string
		born   func(now time.Time) cluster.Birth
		known  bool // listed before
		called bool
	}{
		{"at work for long", func(time.Time) cluster.Birth { return longAgo }, false, false},
		{"birth in the future", func(now time.Time) cluster.Birth { return cluster.Birth(now.Add(time.Minute).UnixMilli()) }, false, false},
		{"just started", func(now time.Time) cluster.Birth { return cluster.Birth(now.UnixMilli()) }, false, true},
		{"listed before", func(time.Time) cluster.Birth { return longAgo }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			own, other := newExecutorNamed("i-1"), newExecutorNamed("i-2")
			own.Born, other.Born = longAgo, longAgo
			first := []cluster.Executor{own}
			if c.known {
				first = append(first, other)
			}
			h := newHarness(t, first...)
			assert.Equal(t, polled(h, "i-1"), false) // newHarness has polled those of the first list
			h.now = h.now.Add(takeoverLists)
			h.shard.SetExecutors([]cluster.Executor{own}, h.now)
			other.Born = c.born(h.now)
			h.shard.SetExecutors([]cluster.Executor{own, other}, h.now)
			h.storeAndCommand() // a later call needs a higher token
			assert.Equal(t, polled(h, "i-2"), c.called)
			if c.called {
				return
			}
			h.now = h.now.Add(ownEntryTime)
			assert.Assert(t, polled(h, "i-2")) // nobody else has claimed it
		})
	}
}

// Executors that don't say when they started: an entry of another writer states a birth. Their responses to polls
// must still be read, and their own entries used: else completions are never read, while the runs go on.
func TestBirthInAnEntryOfAnotherWriterHidesAnExecutorWithoutBirths(t *testing.T) {
	t.Parallel()
	for name, ownFirst := range map[string]bool{"own entry before the response": true, "own entry after the response": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			own := newExecutorNamed("i-1")
			l := &lister{from: own.Incarnation()}
			h.shard.SetExecutors([]cluster.Executor{own}, h.now)
			h.answer(l)
			h.submit("00000000000000aa", oneTask)
			h.answer(l)
			assert.Equal(t, len(l.running), 1)
			odd := own
			odd.Born, odd.Address = cluster.Birth(h.now.UnixMilli()), "i-2:80"
			h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
			if !ownFirst {
				h.answer(l)
				h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
			}
			h.shard.SetExecutors([]cluster.Executor{own}, h.now)
			h.answer(l)
			assert.Equal(t, h.shard.executors["i-1"].Born, cluster.Birth(0))
			assert.Equal(t, h.shard.executors["i-1"].unusableReason(h.now), UnusableReason(""))
			assert.Equal(t, len(h.shard.TakeGiveUpNotes()), 0)
			l.end(execution.EndedDone)
			assert.Equal(t, h.answer(l), int64(1))
			assert.Assert(t, !h.shard.HasJob("00000000000000aa"))
		})
	}
}

// An entry states more capacity than an executor at work has: the tasks started by it would overload the executor
// before its own entry is listed again.
func TestCapacityInAnEntryOfAnotherWriterOverloadsAnExecutor(t *testing.T) {
	t.Parallel()
	own := newExecutorNamed("i-1")
	h := newHarness(t, own)
	odd := own
	odd.Capacity = job.Resources{MilliCPU: 1e12, MemoryMB: 1e12}
	many := oneTask
	many.Count = 20
	h.submit(testID(0), many)
	h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
	h.storeAndCommand()
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 4)
	less := own
	less.Capacity = job.Resources{}
	h.shard.SetExecutors([]cluster.Executor{less}, h.now)
	assert.Equal(t, h.shard.executors["i-1"].Capacity, less.Capacity)
	h.shard.SetExecutors([]cluster.Executor{own}, h.now)
	assert.Equal(t, h.shard.executors["i-1"].Capacity, own.Capacity) // at once
	h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
	h.now = h.now.Add(ownEntryTime - time.Millisecond)
	h.storeAndCommand()
	assert.Equal(t, h.shard.executors["i-1"].Capacity, own.Capacity)
	h.now = h.now.Add(2 * time.Millisecond)
	h.shard.Batch(h.now, 29)
	assert.Equal(t, h.shard.executors["i-1"].Capacity, odd.Capacity) // it is the executor's own word
}

// A new owner stores the progress of an inherited run while the entry has another address: a later owner must not take
// that for the executor's own, where another executor's refusal means that it has ended.
func TestAddressInAnEntryOfAnotherWriterIsStored(t *testing.T) {
	t.Parallel()
	for _, address := range []string{"i-2:80", ""} {
		h := newRestartedHarness(t)
		progress := h.shard.jobs["00000000000000aa"].progress()
		assert.Equal(t, progress.Tasks[0].Address, h.entry.Address)
		next := newHarness(t)
		odd := h.entry
		odd.Address = address
		next.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		next.shard.AddJob(h.shard.jobs["00000000000000aa"].Record, &progress, h.now)
		next.shard.SetExecutors([]cluster.Executor{odd}, h.now)
		assert.Equal(t, next.shard.jobs["00000000000000aa"].progress().Tasks[0].Address, h.entry.Address)
		next.now = h.now
		again := &restartedHarness{harness: next, entry: h.entry, first: h.first}
		again.failAt(h.entry.Address, Responded, execution.RefusedWrongExecutor)
		again.shard.SetExecutors([]cluster.Executor{h.entry}, again.now)
		again.assertAtWork()
	}
}

// The same on a platform that gives a restarted executor another ID, where births are not known.
func TestAddressInAnEntryOfAnotherWriterEndsAnExecutorWithoutBirth(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit(testID(0), oneTask)
	assert.Equal(t, len(h.startAll()), 1)
	odd := newExecutorNamed("i-1")
	odd.Address = "i-2:80"
	h.shard.SetExecutors([]cluster.Executor{odd}, h.now)
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, poll := range h.shard.Polls(h.now) {
			response := h.listRuns("i-1", nil)
			if poll.Executor.Address != "i-1:80" || h.now.Sub(time.Unix(1000, 0)) < time.Second {
				response = execution.PollResponse{Reply: execution.Reply{Refusal: execution.RefusedWrongExecutor}}
			}
			delivery := Responded
			if poll.Executor.Address == "i-1:80" && response.Refusal != execution.NotRefused {
				delivery = Ambiguous
			}
			h.shard.HandlePollResult(poll, delivery, response, h.now)
		}
	}
	assert.Equal(t, len(h.shard.TakeGiveUpNotes()), 0)
	assert.Equal(t, h.shard.executors["i-1"].unusableReason(h.now), UnusableReason(""))
}

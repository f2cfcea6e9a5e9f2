package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// ordersOf returns the orders of one kind that are due now.
func (b *bench) ordersOf(kind CommandKind) []Command {
	var list []Command
	for _, o := range b.round() {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list
}

// newBenchWithRefusedStop has the lasting task of a cancelled job at work on i-1, which has
// refused to stop it.
func newBenchWithRefusedStop(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, executorOf("i-1"))
	lasting := oneTask
	lasting.LongRunning = true
	b.submit("00000000000000aa", lasting)
	assert.Equal(t, len(b.startAll()), 1)
	b.s.Cancel("00000000000000aa")
	orders := b.round()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, CommandStop)
	b.s.HandleCommandResult(orders[0], Answered, execution.Reply{Refusal: execution.RefusedOther}, b.now)
	return b
}

// An executor that refuses a stop has done nothing: it is told again until it agrees.
func TestRefusedStopIsSentAgain(t *testing.T) {
	b := newBenchWithRefusedStop(t)
	b.now = b.now.Add(2 * resendEvery)
	assert.Equal(t, len(b.ordersOf(CommandStop)), 1)
}

// A start without an answer may still arrive after a refused stop: its task stays where
// it is.
func TestRefusedStopFreesNoTask(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	for range startSends {
		starts := b.ordersOf(CommandStart)
		assert.Equal(t, len(starts), 1)
		b.s.HandleCommandResult(starts[0], Ambiguous, execution.Reply{}, b.now)
		b.now = b.now.Add(resendEvery)
	}
	stops := b.ordersOf(CommandStop)
	assert.Equal(t, len(stops), 1)
	b.s.HandleCommandResult(stops[0], Answered, execution.Reply{Refusal: execution.RefusedOther}, b.now)
	b.see("i-1", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	assert.Equal(t, len(b.s.executors["i-1"].runs), 1)
}

// A caller may name an earlier step twice: the step begins when that one is done.
func TestStepThatNamesAnEarlierOneTwiceStarts(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	second := oneTask
	second.After = []int{0, 0}
	b.submit("00000000000000aa", oneTask, second)
	assert.Equal(t, len(b.startAll()), 1)
	v := b.view("i-1", nil)
	v.Ended = []execution.Ended{{RunRef: v.Running[0].RunRef, Sequence: 1, Reason: execution.EndedDone}}
	v.Running = nil
	b.see("i-1", v)
	assert.Equal(t, len(b.startAll()), 1)
}

// A step that is to stay on one rack goes to one whose executors meet its conditions.
func TestRackOfAStepHasExecutorsThatItMayUse(t *testing.T) {
	labelled := rackExecutor("i-2", "r1-2")
	labelled.Labels = append(labelled.Labels, "b")
	byLabel, bySpread := oneTask, oneTask
	byLabel.RequiredLabel = "b"
	bySpread.MaxPerServer = 1
	for name, c := range map[string]struct {
		step      job.Step
		executors []cluster.Executor
	}{
		"label":          {byLabel, []cluster.Executor{rackExecutor("i-1", "r1-1"), labelled}},
		"max per server": {bySpread, []cluster.Executor{rackExecutor("i-1", "r1-1"), rackExecutor("i-2", "r1-2"), rackExecutor("i-3", "r1-2")}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, c.executors...)
			c.step.SameRack, c.step.Gang, c.step.Count = true, true, 2
			b.submit("00000000000000aa", c.step)
			starts := b.startAll()
			assert.Equal(t, len(starts), 2)
			for _, s := range starts {
				assert.Equal(t, s.Executor.Rack(), "r1-2")
			}
		})
	}
}

// A lasting task does not wait for room beside the others of its step, which never end.
func TestLastingTaskStartsOnAnotherRackWhereItsOwnIsFull(t *testing.T) {
	b := newBench(t, rackExecutor("i-1", "r1-1"))
	step := oneTask
	step.LongRunning, step.SameRack, step.Count = true, true, 5 // 4 fit
	b.submit("00000000000000aa", step)
	assert.Equal(t, len(b.startAll()), 4)
	b.s.SetExecutors([]cluster.Executor{rackExecutor("i-1", "r1-1"), rackExecutor("i-2", "r1-2")}, b.now)
	b.see("i-2", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	starts := b.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-2"))
}

// Short tasks of a step that is to stay on one rack do wait there: others end soon.
func TestShortTaskWaitsForRoomOnTheRackOfItsStep(t *testing.T) {
	b := newBench(t, rackExecutor("i-1", "r1-1"))
	step := oneTask
	step.SameRack, step.Count = true, 5 // 4 fit
	b.submit("00000000000000aa", step)
	assert.Equal(t, len(b.startAll()), 4)
	b.s.SetExecutors([]cluster.Executor{rackExecutor("i-1", "r1-1"), rackExecutor("i-2", "r1-2")}, b.now)
	b.see("i-2", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	assert.Equal(t, len(b.startAll()), 0)
}

// A step that few executors may run finds one, however many there are: a question names
// only some of them.
func TestAdviceIsAskedOnAllExecutors(t *testing.T) {
	var executors []cluster.Executor
	for i := range 3 * adviceExecutors {
		executors = append(executors, executorOf(fmt.Sprintf("i-%03d", i)))
	}
	good := executors[len(executors)-1].ID
	b := newBench(t, executors...)
	const validity = 2 * time.Second
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Advice: &cluster.Advice{Validity: validity}},
	}, nil, b.now)
	for range 100 {
		for _, q := range b.s.AdviceRequests(b.now) {
			tickets := map[cluster.ExecutorID]string{}
			if slices.Contains(q.Executors, good) {
				tickets[good] = "ticket"
			}
			b.s.HandleAdvice(q, tickets, validity, b.now, b.now)
		}
		if starts := b.ordersOf(CommandStart); len(starts) > 0 {
			assert.Equal(t, starts[0].Executor.ID, good)
			return
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	t.Fatal("never started")
}

// A job that is worth nothing any more waits last, and starts where room is left.
func TestJobThatIsTooLateStartsWhereRoomIsLeft(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	accepted := b.now
	b.now = b.now.Add(time.Hour)
	b.submit("00000000000000ab", oneTask)
	assert.Equal(t, b.s.jobs["00000000000000aa"].standing(b.now), standingTooLate)
	assert.Equal(t, b.s.jobs["00000000000000aa"].Accepted, accepted)
	assert.Equal(t, len(b.startAll()), 2)
}

// A task that fits nowhere, and a gang that does not fit whole, hold back none that come
// after them in the order.
func TestTaskWithoutRoomHoldsNobodyBack(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	large, gang := oneTask, oneTask
	large.Need.MilliCPU = 5000 // of 4000
	gang.Gang, gang.Count = true, 5
	b.submit("00000000000000aa", large)
	b.submit("00000000000000ab", gang)
	b.submit("00000000000000ac", oneTask)
	starts := b.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, job.ID("00000000000000ac"))
}

// What keeps an executor from work ends: a cordon that is taken back, an entry that was
// missing and is back, a look that is answered again, and the time that tasks stood still.
func TestExecutorIsUsedAgain(t *testing.T) {
	for name, c := range map[string]struct{ keep, end func(b *bench) }{
		"cordon": {
			func(b *bench) { b.s.Cordon(map[cluster.ExecutorID]Evacuation{"i-1": EvacuatePreempting}, b.now) },
			func(b *bench) { b.s.Cordon(nil, b.now) },
		},
		"missing entry": {
			func(b *bench) { b.s.SetExecutors(nil, b.now) },
			func(b *bench) { b.s.SetExecutors([]cluster.Executor{executorOf("i-1")}, b.now) },
		},
		"unanswered looks": {
			func(b *bench) { b.s.executors["i-1"].misses = 9 },
			func(b *bench) {},
		},
		"stray": {
			func(b *bench) { b.s.executors["i-1"].strays[strayKey{run: 1}] = &stray{} },
			func(b *bench) {},
		},
		"stalled": {
			func(b *bench) { b.s.executors["i-1"].stalledUntil = b.now.Add(stalledTime) },
			func(b *bench) { b.now = b.now.Add(stalledTime) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, executorOf("i-1"))
			c.keep(b)
			b.submit("00000000000000aa", oneTask)
			assert.Equal(t, len(b.ordersOf(CommandStart)), 0)
			c.end(b)
			b.now = b.now.Add(maxLookRetry)
			b.lookAll()
			assert.Equal(t, len(b.startAll()), 1)
		})
	}
}

// Whether to ask for advice is looked at with each event of the owner: a backlog of jobs
// that need none must cost nothing there.
func TestBacklogWithoutAdviceCostsNoQuestion(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	for i := range 100 {
		b.submit(testID(i), oneTask)
	}
	assert.Equal(t, testing.AllocsPerRun(10, func() { b.s.AdviceRequests(b.now) }), 0.0)
}

// A changed objective changes the order of the jobs that wait already.
func TestChangedTermsOfAQueueChangeTheOrder(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	b.submit("00000000000000ab", oneTask)
	first, second := b.s.jobs["00000000000000aa"], b.s.jobs["00000000000000ab"]
	first.Queue.Name, second.Queue.Name = "patient", "urgent"
	b.s.SetQueues([]cluster.Queue{
		{Name: "patient", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Hour},
		{Name: "urgent", MaxAttempts: 2, Stretch: 2, TargetDuration: 10 * time.Second},
	})
	assert.DeepEqual(t, idsOf(b.s.startOrder(b.now)), []job.ID{second.ID, first.ID})
	assert.Equal(t, len(b.startAll()), 2)
}

func idsOf(jobs []*jobState) []job.ID {
	ids := make([]job.ID, len(jobs))
	for i, j := range jobs {
		ids[i] = j.ID
	}
	return ids
}

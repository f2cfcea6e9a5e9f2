package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const largeJob = job.ID("00000000000000aa")

// largeStep needs 3 of the 4 cores of an executor.
var largeStep = job.Step{Count: 1, Need: job.Resources{MilliCPU: 3000, MemoryMB: 100}, Estimate: time.Second}

// newFragmentedHarness returns a harness with 4 executors of 4 cores, on each of which 3 tasks of one
// core run, so that a large job waits, for which room is held.
func newFragmentedHarness(t *testing.T) *harness {
	t.Helper()
	var executors []cluster.Executor
	for i := range 4 {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%d", i)))
	}
	h := newHarness(t, executors...)
	blocker := oneTask
	blocker.MaxPerServer = 1
	blocker.Count = 4
	for i := range 3 {
		h.submit(job.ID(fmt.Sprintf("%016x", 0xb0+i)), blocker)
	}
	h.shard.needs.jobs = minNeedJobs
	h.startAll()
	h.submit(largeJob, largeStep)
	h.step()
	assert.Equal(t, len(h.shard.reservations), 1)
	return h
}

// step plans a batch, and has its starts confirmed, without any completion.
func (h *harness) step() (started []Command) {
	for _, cmd := range h.storeAndCommand() {
		if cmd.Kind == CommandStart {
			started = append(started, cmd)
		}
		h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	return started
}

// submitBehind submits a job of one task that is behind the large job in the start order.
func (h *harness) submitBehind(id job.ID, estimate time.Duration) {
	step := oneTask
	step.Estimate = estimate
	h.submit(id, step)
}

func (h *harness) held(id string) bool { return h.shard.executors[cluster.ExecutorID(id)].hold != nil }

// A forecast is wrong: no run ends as expected. Other tasks must get the room that is held in vain
// within the bound, although further large jobs wait for it.
func TestWrongForecastHoldsRoomNoLongerThanTheBound(t *testing.T) {
	t.Parallel()
	h := newFragmentedHarness(t)
	began := h.now
	started := 0
	for i := range 10 { // more than there is room for
		h.submitBehind(job.ID(fmt.Sprintf("%016x", 0xc0+i)), 20*time.Second)
	}
	for started < 4 {
		started += len(h.step())
		assert.Assert(t, h.now.Sub(began) <= maxHold+replanInterval, "%d of 4 tasks started after %s", started, h.now.Sub(began))
		h.now = h.now.Add(20 * time.Millisecond)
		if n := int(h.now.Sub(began) / (200 * time.Millisecond)); h.now.Sub(began)%(200*time.Millisecond) == 0 {
			h.submit(job.ID(fmt.Sprintf("%016x", 0xd0+n)), largeStep)
		}
	}
	assert.Assert(t, h.now.Sub(began) > replanInterval) // room was held at all
}

// Tasks that end before the large one can start may use its room meanwhile; others may not.
func TestHeldRoomIsBackfilled(t *testing.T) {
	t.Parallel()
	h := newFragmentedHarness(t)
	for i := range 3 {
		h.submitBehind(job.ID(fmt.Sprintf("%016x", 0xc0+i)), 20*time.Second)
	}
	assert.Equal(t, len(h.step()), 3) // on the executors that are not held
	h.submitBehind("00000000000000c8", 20*time.Second)
	assert.Equal(t, len(h.step()), 0)
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Samples["00000000000000c8"], ReasonReserved)
	assert.Equal(t, r.Reservation.Present[0].Job, largeJob)
	assert.Equal(t, r.Reservation.Held, 1)
	h.submitBehind("00000000000000c9", 500*time.Millisecond)
	started := h.step()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Start.RunRef.Task.Job, job.ID("00000000000000c9"))
	assert.Assert(t, h.held(string(started[0].Executor.ID)))
}

// Long-running tasks serve users: no reservation may delay them.
func TestLongRunningTaskUsesHeldRoom(t *testing.T) {
	t.Parallel()
	h := newFragmentedHarness(t)
	step := oneTask
	step.LongRunning, step.Count = true, 4
	h.submit("00000000000000ee", step)
	assert.Equal(t, len(h.step()), 4)
}

// A reservation must not outlive its executor's use, nor its job's.
func TestReservationEndsWithItsExecutorAndItsJob(t *testing.T) {
	t.Parallel()
	heldOn := func(h *harness) *executorState { return h.shard.reservations[0].holds[0].executor }
	for name, fault := range map[string]func(h *harness, e *executorState){
		"crash": func(_ *harness, e *executorState) { e.failedCalls++ },
		"drain": func(h *harness, e *executorState) { h.list(e.ID, true) },
		"gone":  func(h *harness, e *executorState) { h.list(e.ID, false) },
		"cordon": func(h *harness, e *executorState) {
			h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{e.ID: EvacuateGracefully}), h.now)
		},
		"suspect": func(_ *harness, e *executorState) { e.health.isSuspect = true },
		"cancelled": func(h *harness, _ *executorState) {
			h.shard.Cancel(largeJob)
		},
		"too late": func(h *harness, _ *executorState) { h.now = h.now.Add(maxHold + replanInterval) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newFragmentedHarness(t)
			e := heldOn(h)
			fault(h, e)
			h.step()
			assert.Assert(t, e.hold == nil)
			report := h.shard.reservationReport()
			assert.Equal(t, report.GivenUp+report.Used, 1)
			for _, r := range report.Present {
				assert.Assert(t, r.Executors[0] != e.ID)
			}
		})
	}
}

// list lists all executors but the given one, which is listed as draining or not at all.
func (h *harness) list(id cluster.ExecutorID, draining bool) {
	var list []cluster.Executor
	for i := range 4 {
		e := newExecutorNamed(fmt.Sprintf("i-%d", i))
		if e.ID == id && !draining {
			continue
		}
		e.Draining = e.ID == id
		list = append(list, e)
	}
	h.shard.SetExecutors(list, h.now)
}

// Faults of executors during a load of large and small tasks must neither stop the large ones from
// starting nor leave any room held.
func TestReservationsSurviveFaultsOfExecutors(t *testing.T) {
	t.Parallel()
	l := streamLoad()
	l.executors, l.duration, l.load = 12, 15*time.Second, 0.8
	p := l.newUnevenReplay(t, 1, largeFactor)
	p.observe = func(p *unevenReplay) {
		second := int(p.now.Sub(p.begin) / time.Second)
		if len(p.shard.reservations) == 0 || second < 2 || second > 8 || len(p.lost) > second/3 {
			return
		}
		p.lost[p.shard.reservations[0].holds[0].executor.ID] = true
	}
	p.run()
	assert.Assert(t, len(p.lost) > 1)
	_, large := p.outcomes()
	t.Logf("%d executors lost, large %v, %+v", len(p.lost), large, p.counts)
	for id := range p.byID {
		assert.Assert(t, !p.byID[id].began.IsZero(), "job %s never started", id)
	}
	for _, e := range p.shard.executors {
		assert.Assert(t, e.hold == nil, "%s is held for nobody", e.ID)
	}
	assert.Equal(t, p.counts.Held, p.counts.Used+p.counts.GivenUp)
}

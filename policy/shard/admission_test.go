package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// admissionHarness sends more jobs than its executors can run, to several queues.
type admissionHarness struct {
	*harness
	sent    int
	batches []*Batch
	at      []time.Time
	ends    map[execution.RunRef]time.Time
	started map[cluster.ExecutorID][]execution.RunRef
	seq     map[cluster.ExecutorID]int64
}

func newAdmissionHarness(t *testing.T, enabled bool) *admissionHarness {
	h := &admissionHarness{
		harness: newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2")),
		ends:    map[execution.RunRef]time.Time{}, started: map[cluster.ExecutorID][]execution.RunRef{}, seq: map[cluster.ExecutorID]int64{},
	}
	h.shard.SetAdmission(enabled)
	return h
}

func (h *admissionHarness) send(tenant cluster.TenantName) {
	h.sent++
	h.shard.AddJob(Record{
		ID: job.ID(fmt.Sprintf("%016x", h.sent)), Accepted: h.now, Tenant: tenant, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: fmt.Sprintf("queue-%d", h.sent%4), MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, nil, h.now)
}

// play lets time pass, with the given number of new jobs each 100 ms; runs take a second.
func (h *admissionHarness) play(d time.Duration, jobs int, tenant cluster.TenantName) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		if h.now.UnixMilli()%100 == 0 {
			for range jobs {
				h.send(tenant)
			}
		}
		if h.shard.Pending(h.now) {
			if b := h.shard.Batch(h.now, 29); b != nil {
				h.batches, h.at = append(h.batches, b), append(h.at, h.now)
				h.shard.Committed()
			}
		}
		for _, cmd := range h.shard.Commands(h.now) {
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
			h.started[cmd.Executor.ID] = append(h.started[cmd.Executor.ID], cmd.Start.RunRef)
			h.ends[cmd.Start.RunRef] = h.now.Add(time.Second)
		}
		for _, poll := range h.shard.Polls(h.now) {
			h.respond(poll)
		}
	}
}

func (h *admissionHarness) respond(poll Poll) {
	id := poll.Executor.ID
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
	var running []execution.RunRef
	for _, ref := range h.started[id] {
		if h.now.Before(h.ends[ref]) {
			running = append(running, ref)
			response.Running = append(response.Running, execution.Running{RunRef: ref, Percent: 100})
			continue
		}
		h.seq[id]++
		response.Ended = append(response.Ended, execution.Ended{RunRef: ref, Sequence: h.seq[id], Reason: execution.EndedDone})
	}
	h.started[id] = running
	h.shard.HandlePollResult(poll, Responded, response, h.now)
}

// published returns the admissions, with their times.
func (h *admissionHarness) published() (list []Admission, at []time.Time) {
	for i, b := range h.batches {
		if b.Admission != nil {
			list, at = append(list, *b.Admission), append(at, h.at[i])
		}
	}
	return list, at
}

// Without tenants in the configuration, the batches are those of a shard that never estimates.
func TestAdmissionChangesNothingElse(t *testing.T) {
	t.Parallel()
	var batches [2][]string
	for i, enabled := range []bool{false, true} {
		h := newAdmissionHarness(t, enabled)
		h.play(4*time.Second, 2, "")
		for _, b := range h.batches {
			assert.Assert(t, enabled || b.Admission == nil)
			text, err := json.Marshal([]any{b.Waiting, b.Load, b.Starts()})
			assert.NilError(t, err)
			if len(b.Jobs) > 0 {
				batches[i] = append(batches[i], string(text))
			}
		}
	}
	assert.DeepEqual(t, batches[0], batches[1])
}

func TestAdmissionIsPublishedWhileItRejects(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	h.play(1900*time.Millisecond, 0, "")
	h.play(4*time.Second, 2, "")
	h.play(6*time.Second, 0, "")
	list, at := h.published()
	assert.Assert(t, len(list) > 4)
	for i, a := range list {
		assert.NilError(t, a.Check())
		assert.Equal(t, a.Token, int64(7))
		assert.Equal(t, a.Sequence, int64(i+1))
		text, err := json.Marshal(a)
		assert.NilError(t, err)
		assert.Assert(t, len(text) <= 600, "%d bytes: %s", len(text), text)
		if i == 0 {
			continue
		}
		spacing := at[i].Sub(at[i-1])
		assert.Assert(t, spacing >= admissionSpacing || a.Rejects() != list[i-1].Rejects(), "%v after %v", a, spacing)
		if list[i-1].Rejects() {
			assert.Assert(t, spacing <= admissionRefresh+replanInterval, "knowledge must not get old")
		}
	}
	assert.Assert(t, !list[len(list)-1].Rejects(), "the last one ends the rejection")
}

// A new owner knows neither the executors nor the rates yet: it rejects nothing at first.
func TestNewOwnerRejectsNothingAtFirst(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	h.play(admissionWarmUp, 8, "")
	list, _ := h.published()
	assert.Equal(t, len(list), 0)
}

// Without executors a few jobs wait for them; those that could not start in time after their return
// are rejected.
func TestWithoutExecutorsOnlyTheBacklogCounts(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	h.play(1500*time.Millisecond, 0, "")
	for _, e := range h.shard.executors {
		e.cordon = Cordon{ID: "c", Evacuation: EvacuateGracefully}
	}
	h.play(400*time.Millisecond, 1, "")
	list, _ := h.published()
	assert.Equal(t, len(list), 0)
	h.play(400*time.Millisecond, 8, "")
	list, _ = h.published()
	assert.Assert(t, len(list) > 0 && list[len(list)-1].Rejects())
}

// Long-running tasks never free their capacity.
func TestLongRunningTasksFreeNoCapacity(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	longRunning := oneTask
	longRunning.LongRunning, longRunning.Count = true, 8
	h.submit("00000000000000ff", longRunning)
	h.play(1500*time.Millisecond, 0, "")
	h.send("")
	h.play(200*time.Millisecond, 0, "")
	list, _ := h.published()
	assert.Equal(t, len(list), 1)
	for _, w := range list[0].Queues {
		assert.Equal(t, w.longest(), waitHorizon)
	}
}

// A tenant that uses up its own limit waits, while others don't.
func TestWaitForTheLimitOfATenant(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	h.shard.SetTenants([]cluster.Tenant{{Name: "small", Weight: 100, Limit: job.Resources{MilliCPU: 1000}}, {Name: "large", Weight: 100, Limit: job.Resources{MilliCPU: 1_000_000}}})
	h.play(1500*time.Millisecond, 0, "")
	h.play(time.Second, 3, "small")
	h.send("large")
	h.play(100*time.Millisecond, 0, "")
	list, _ := h.published()
	assert.Assert(t, len(list) > 0)
	limits := list[len(list)-1].LimitMs
	assert.Assert(t, limits["small"] > 0)
	assert.Equal(t, limits["large"], int64(0))
}

// Rejections by the present size of a pool keep it from growing with its work: they hide the demand for
// machines. Where a planner moves machines, jobs are rejected only while it states that it has no more,
// and a statement that is not renewed expires.
func TestJobsAreRejectedOnlyWhileThePoolCannotGrow(t *testing.T) {
	t.Parallel()
	h := newAdmissionHarness(t, true)
	h.shard.SetPoolGrows(true)
	h.play(4*time.Second, 2, "")
	list, _ := h.published()
	assert.Equal(t, len(list), 0)
	h.shard.NoteFleetExhausted(h.now)
	h.play(time.Second, 2, "")
	list, _ = h.published()
	assert.Assert(t, len(list) > 0 && len(list[len(list)-1].Queues) > 0)
	h.play(time.Second, 2, "")
	list, _ = h.published()
	assert.Assert(t, !list[len(list)-1].Rejects())
}

// BenchmarkAdmissionUnderOverload measures one estimate of the waits with a long queue.
func BenchmarkAdmissionUnderOverload(b *testing.B) {
	w := newOverloadBench(b, 0, 0)
	w.shard.SetAdmission(true)
	w.shard.admission.since = w.now.Add(-time.Minute)
	for b.Loop() {
		w.shard.admission.forecastUntil = w.now.Add(time.Minute)
		w.shard.estimateAdmission(w.now, false)
	}
}

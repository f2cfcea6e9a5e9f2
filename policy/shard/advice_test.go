package shard

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

// adviceRequests returns the requests for all steps that need advice now.
func (h *harness) adviceRequests() []AdviceRequest {
	var list []AdviceRequest
	for need, found := h.shard.AdviceNeed(h.now); found; need, found = h.shard.AdviceNeed(h.now) {
		list = append(list, h.shard.RequestAdvice(need, h.now))
	}
	return list
}

// grantAdvice gives a ticket for each executor that the requests name.
func (h *harness) grantAdvice(requests []AdviceRequest, validity time.Duration) {
	for _, r := range requests {
		tickets := map[cluster.ExecutorID]string{}
		for _, id := range r.Executors {
			tickets[id] = "ticket"
		}
		h.respondToAdvice(r, tickets, validity)
	}
}

// respondToAdvice gives the tickets by executor, at once.
func (h *harness) respondToAdvice(r AdviceRequest, tickets map[cluster.ExecutorID]string, validity time.Duration) {
	h.shard.HandleAdvice(r, AdviceResponse{Tickets: tickets, Validity: validity, SentAt: h.now}, h.now)
}

func (h *harness) submitAdvised(number int, terms cluster.Advice, step job.Step) {
	h.shard.AddJob(Record{
		ID: job.ID(fmt.Sprintf("%016x", number)), Accepted: h.now, Definition: job.Definition{Steps: []job.Step{step}},
		Queue: QueuePolicy{Name: "advised", MaxAttempts: 4, Stretch: 2, TargetDuration: time.Second, Advice: &terms},
	}, nil, h.now)
}

var shortTerms = cluster.Advice{Decision: 100 * time.Millisecond, Each: time.Millisecond, Validity: 3 * time.Second}

// A job whose tasks all run for long asked the advice service again whenever its tickets expired, at the cost of jobs
// that could start.
func TestStepWhoseTasksAllRunNeedsNoAdvice(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	lasting := oneTask
	lasting.LongRunning = true
	h.submitAdvised(1, shortTerms, lasting)
	h.grantAdvice(h.adviceRequests(), shortTerms.Validity)
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	h.now = h.now.Add(time.Minute)
	assert.Equal(t, len(h.adviceRequests()), 0)

	t.Run("until its executor has to be left", func(t *testing.T) {
		running := execution.Running{RunRef: starts[0].Start.RunRef, Percent: 100}
		h.respondToPoll(string(starts[0].Executor.ID), execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, Running: []execution.Running{running}})
		h.shard.SetCordons(map[cluster.ExecutorID]Cordon{starts[0].Executor.ID: {Evacuation: EvacuateGracefully}}, h.now)
		h.now = h.now.Add(adviceInterval)
		assert.Equal(t, len(h.adviceRequests()), 1)
	})
}

// Steps without room are asked for after those with room, but not never: else smaller tasks would take all room that
// becomes free, since they have tickets.
func TestAdviceForStepsWithoutRoom(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	large := oneTask
	large.Need.MilliCPU = 1_000_000
	h.submitAdvised(1, shortTerms, large)
	need, found := h.shard.AdviceNeed(h.now)
	assert.Assert(t, found)
	assert.Equal(t, need.Class, adviceflow.Ahead, "nothing else needs advice")
	const turnInterval = 4
	for i := range 2 * turnInterval {
		h.submitAdvised(2+i, shortTerms, oneTask)
	}
	h.now = h.now.Add(adviceInterval)
	position := 0
	for i, r := range h.adviceRequests() {
		if r.Step.Job == "0000000000000001" {
			position = i + 1
		}
	}
	assert.Equal(t, position, turnInterval)
}

// Where the service takes long for each executor, a request that named many would be answered when its tickets have
// nearly expired.
func TestAdviceRequestNamesAsManyExecutorsAsItsTicketsAllow(t *testing.T) {
	t.Parallel()
	for each, want := range map[time.Duration]int{
		0: maxAdviceExecutors, time.Millisecond: maxAdviceExecutors, 50 * time.Millisecond: 13, time.Second: 1, time.Hour: 1,
	} {
		terms := cluster.Advice{Decision: 100 * time.Millisecond, Each: each, Validity: 3 * time.Second}
		assert.Equal(t, adviceExecutors(&terms), want, "%v for each", each)
	}
	longest := cluster.Advice{Decision: math.MaxInt64, Each: math.MaxInt64, Validity: math.MaxInt64}
	assert.Equal(t, configuredAdviceTime(&longest), 2*maxConfiguredAdvice)
	unknown := cluster.Advice{Each: time.Second}
	assert.Equal(t, adviceExecutors(&unknown), maxAdviceExecutors)
}

// LOST: the validity was counted from when the request was sent. Where responses took longer, each ticket counted as
// expired when it came, so that the step never started, though the ticket might have been valid.
func TestTicketsOfASlowResponseAreTried(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submitAdvised(1, shortTerms, oneTask)
	requests := h.adviceRequests()
	assert.Equal(t, len(requests), 1)
	sentAt := h.now
	h.now = h.now.Add(2 * shortTerms.Validity)
	h.shard.HandleAdvice(requests[0], AdviceResponse{Tickets: map[cluster.ExecutorID]string{"i-1": "ticket"}, Validity: shortTerms.Validity, SentAt: sentAt}, h.now)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), 1)
	h.shard.HandleCommandResult(starts[0], Responded, execution.Reply{Refusal: execution.RefusedTicket}, h.now)
	h.now = h.now.Add(max(adviceRetry, retryAfterRefusal))
	assert.Equal(t, len(h.storeAndCommand()), 0, "a refused ticket is used again")
	assert.Equal(t, len(h.adviceRequests()), 1)
}

// LOST: a step that no executor may run was asked for again every 300 ms with the same executors, at the cost of all
// other steps. Executors without a ticket must not be named again, but those that come later must be.
func TestRefusedExecutorsAreNotNamedAgain(t *testing.T) {
	t.Parallel()
	var list []cluster.Executor
	for i := range maxAdviceExecutors + 6 {
		list = append(list, newExecutorNamed(fmt.Sprintf("i-%02d", i)))
	}
	h := newHarness(t, list...)
	h.submitAdvised(1, shortTerms, oneTask)
	named := func() (n int) {
		h.now = h.now.Add(askableInterval + adviceInterval)
		h.pollAll()
		for _, r := range h.adviceRequests() {
			n += len(r.Executors)
			h.respondToAdvice(r, nil, shortTerms.Validity)
		}
		return n
	}
	assert.Equal(t, named(), maxAdviceExecutors)
	assert.Equal(t, named(), 6)
	assert.Equal(t, named(), 0)
	list = append(list, newExecutorNamed("i-99"))
	h.shard.SetExecutors(list, h.now)
	h.pollAll()
	assert.Equal(t, named(), 1)
	assert.Equal(t, named(), 0)
	h.now = h.now.Add(refusalAge)
	assert.Equal(t, named(), maxAdviceExecutors)
}

// Nothing is known of an executor whose row of a response can't be read.
func TestIncompleteResponseRefusesNobody(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.submitAdvised(1, shortTerms, lastingOf(2, 1))
	requests := h.adviceRequests()
	h.shard.HandleAdvice(requests[0], AdviceResponse{
		Tickets: map[cluster.ExecutorID]string{"i-1": "ticket"}, Incomplete: true, Validity: shortTerms.Validity, SentAt: h.now,
	}, h.now)
	assert.Equal(t, len(h.startAll()), 1)
	h.now = h.now.Add(shortTerms.Validity)
	requests = h.adviceRequests()
	assert.DeepEqual(t, requests[0].Executors, []cluster.ExecutorID{"i-2"})
}

// lastingOf returns a step of long-running tasks.
func lastingOf(count, maxPerServer int) job.Step {
	step := oneTask
	step.LongRunning, step.Count, step.MaxPerServer = true, count, maxPerServer
	return step
}

// Tickets that a gang could not start with were reported as used, so that their requests counted as successful.
func TestTicketsOfAGangThatDoesNotFitAreUnused(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	gang := lastingOf(2, 1)
	gang.Gang = true
	h.submitAdvised(1, shortTerms, gang)
	for range 2 {
		h.respondToAdvice(h.adviceRequests()[0], map[cluster.ExecutorID]string{"i-1": "ticket"}, shortTerms.Validity)
		assert.Equal(t, len(h.startAll()), 0)
		h.now = h.now.Add(shortTerms.Validity)
	}
	reports := h.shard.Waiting(h.now, false).Advice
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Unused, 1)
}

package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The load of a peak beyond the capacity: many executors, all full, and a long queue. In
// each cycle some runs complete, and others may start.
const (
	overloadExecutors   = 230
	overloadJobs        = 350
	overloadCompletions = 20
)

// BenchmarkBatchCycleUnderOverload measures one batch cycle of an owner: polls that return
// completions, a batch, and the commands for its starts.
func BenchmarkBatchCycleUnderOverload(b *testing.B) {
	newOverloadBench(b, false).run(b)
}

// BenchmarkBatchCycleWithPreparedStarts measures the same with the preparation of starts.
func BenchmarkBatchCycleWithPreparedStarts(b *testing.B) {
	newOverloadBench(b, true).run(b)
}

func (w *overloadBench) run(b *testing.B) {
	for b.Loop() {
		w.cycle()
	}
	b.ReportMetric(float64(w.started)/float64(b.N), "starts/cycle")
}

type overloadBench struct {
	*harness
	submitted int
	started   int
	sequence  map[string]int64
	running   []Command
}

func newOverloadBench(b *testing.B, prepared bool) *overloadBench {
	w := &overloadBench{harness: &harness{shard: New(testLimits, 7), now: time.Unix(1000, 0)}, sequence: map[string]int64{}}
	var executors []cluster.Executor
	for i := range overloadExecutors {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%d", i)))
	}
	w.shard.SetExecutors(executors, w.now)
	if prepared {
		w.shard.SetTenants(nil)
	}
	w.pollAll()
	for range overloadJobs {
		w.submitNext()
	}
	for range 100 {
		w.startDue()
	}
	b.ResetTimer()
	return w
}

func (w *overloadBench) submitNext() {
	w.submitted++
	need := job.Resources{MilliCPU: int64(1000 + 100*(w.submitted%9)), MemoryMB: 100}
	first := job.Step{Count: 6 + w.submitted%9, Need: need, Estimate: time.Second}
	second := first
	second.After = []int{0}
	w.submit(job.ID(fmt.Sprintf("%016x", w.submitted)), first, second)
}

// startDue plans and stores a batch, and executes its commands.
func (w *overloadBench) startDue() {
	batch := w.shard.Batch(w.now, 29)
	if batch != nil {
		w.started += len(batch.starts)
		w.shard.Committed()
	}
	for _, cmd := range w.shard.Commands(w.now) {
		w.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, w.now)
		if cmd.Kind == CommandStart {
			w.running = append(w.running, cmd)
		}
	}
}

func (w *overloadBench) cycle() {
	w.now = w.now.Add(10 * time.Millisecond)
	for range min(overloadCompletions, len(w.running)) {
		cmd := w.running[0]
		w.running = w.running[1:]
		w.endRun(cmd)
	}
	if w.shard.Jobs() < overloadJobs {
		w.submitNext()
	}
	w.startDue()
}

// endRun completes one run, with a poll that returns its completion.
func (w *overloadBench) endRun(cmd Command) {
	id := string(cmd.Executor.ID)
	w.sequence[id]++
	e := w.shard.executors[cmd.Executor.ID]
	poll := Poll{Executor: cmd.Executor, target: e, SentAt: w.now, Request: w.shard.pollRequest(e, w.now)}
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
	response.Ended = []execution.Ended{{RunRef: cmd.Start.RunRef, Sequence: w.sequence[id], Reason: execution.EndedDone}}
	for _, r := range e.runs {
		if r.ref() != cmd.Start.RunRef {
			response.Running = append(response.Running, execution.Running{RunRef: r.ref(), Percent: 100})
		}
	}
	w.shard.HandlePollResult(poll, Responded, response, w.now)
}

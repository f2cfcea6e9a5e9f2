package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The load of a peak that asks for more than there is: many executors, all full, and a
// long queue. Each round some runs end, and others may start.
const (
	overloadExecutors = 230
	overloadJobs      = 350
	overloadEnds      = 20
)

// BenchmarkRoundUnderOverload measures one round of an owner: looks that bring ends, a
// batch, and the orders for its starts.
func BenchmarkRoundUnderOverload(b *testing.B) {
	w := newOverload(b)
	for b.Loop() {
		w.round()
	}
	b.ReportMetric(float64(w.started)/float64(b.N), "starts/round")
}

type overload struct {
	*bench
	number   int
	started  int
	sequence map[string]int64
	running  []Command
}

func newOverload(b *testing.B) *overload {
	w := &overload{bench: &bench{s: New(testLimits, 7), now: time.Unix(1000, 0)}, sequence: map[string]int64{}}
	var executors []cluster.Executor
	for i := range overloadExecutors {
		executors = append(executors, executorOf(fmt.Sprintf("i-%d", i)))
	}
	w.s.SetExecutors(executors, w.now)
	w.lookAll()
	for range overloadJobs {
		w.arrive()
	}
	for range 100 {
		w.start()
	}
	b.ResetTimer()
	return w
}

func (w *overload) arrive() {
	w.number++
	need := job.Resources{MilliCPU: int64(1000 + 100*(w.number%9)), MemoryMB: 100}
	first := job.Step{Count: 6 + w.number%9, Need: need, Estimate: time.Second}
	second := first
	second.After = []int{0}
	w.submit(job.ID(fmt.Sprintf("%016x", w.number)), first, second)
}

// start plans, stores and carries out what may start.
func (w *overload) start() {
	batch := w.s.Batch(w.now, 29)
	if batch != nil {
		w.started += len(batch.starts)
		w.s.Committed()
	}
	for _, order := range w.s.Commands(w.now) {
		w.s.HandleCommandResult(order, Answered, execution.Reply{ClockMs: 1000}, w.now)
		if order.Kind == CommandStart {
			w.running = append(w.running, order)
		}
	}
}

func (w *overload) round() {
	w.now = w.now.Add(10 * time.Millisecond)
	for range min(overloadEnds, len(w.running)) {
		order := w.running[0]
		w.running = w.running[1:]
		w.end(order)
	}
	if w.s.Jobs() < overloadJobs {
		w.arrive()
	}
	w.start()
}

// end lets one run end, which a look at its executor shows.
func (w *overload) end(order Command) {
	id := string(order.Executor.ID)
	w.sequence[id]++
	e := w.s.executors[order.Executor.ID]
	look := Poll{Executor: order.Executor, SentAt: w.now, Request: w.s.look(e, w.now)}
	view := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
	view.Ended = []execution.Ended{{RunRef: order.Start.RunRef, Sequence: w.sequence[id], Reason: execution.EndedDone}}
	for _, r := range e.runs {
		if r.ref() != order.Start.RunRef {
			view.Running = append(view.Running, execution.Running{RunRef: r.ref(), Percent: 100})
		}
	}
	w.s.HandlePollResult(look, Answered, view, w.now)
}

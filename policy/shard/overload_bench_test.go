package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/quota"
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
	w := newOverloadBench(b, 0, 0)
	for b.Loop() {
		w.cycle()
	}
	b.ReportMetric(float64(w.started)/float64(b.N), "starts/cycle")
}

// BenchmarkBatchCycleWithTenants measures the same with jobs of tenants whose limits don't matter, or of
// which every second is at its portion.
func BenchmarkBatchCycleWithTenants(b *testing.B) {
	for _, tenants := range []int{20, 200, 2000} {
		for _, atLimit := range []int{0, tenants / 2} {
			b.Run(fmt.Sprintf("tenants=%d/at-limit=%d", tenants, atLimit), func(b *testing.B) {
				w := newOverloadBench(b, tenants, atLimit)
				var uses []quota.Use
				for b.Loop() {
					w.cycle()
					uses = w.shard.TenantUses(uses[:0])
				}
				b.ReportMetric(float64(w.started)/float64(b.N), "starts/cycle")
			})
		}
	}
}

type overloadBench struct {
	*harness
	submitted int
	started   int
	tenants   int // each job belongs to one of them in turn; zero for jobs without tenants
	sequence  map[string]int64
	running   []Command
}

func newOverloadBench(b *testing.B, tenants, atLimit int) *overloadBench {
	w := &overloadBench{tenants: tenants, harness: &harness{shard: New(testLimits, 7), now: time.Unix(1000, 0)}, sequence: map[string]int64{}}
	var executors []cluster.Executor
	for i := range overloadExecutors {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%d", i)))
	}
	w.shard.SetExecutors(executors, w.now)
	w.pollAll()
	for i := range tenants {
		usable := usableCPU(1_000_000, 1_000_000, 1_000_000)
		if i < atLimit {
			usable.Total.MilliCPU = 4000
		}
		usable.Tenant = benchTenant(i)
		w.shard.SetUsable(usable)
	}
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
	var tenant cluster.TenantName
	if w.tenants > 0 {
		tenant = benchTenant(w.submitted % w.tenants)
	}
	w.submitFor(tenant, job.ID(fmt.Sprintf("%016x", w.submitted)), w.now, first, second)
}

func benchTenant(i int) cluster.TenantName { return cluster.TenantName(fmt.Sprintf("tenant-%d", i)) }

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

package shard

import (
	"fmt"
	"syscall"
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
	newOverloadBench(b, 0, 0).run(b)
}

// BenchmarkBatchCycleWithPreparedStarts measures the same with the preparation of starts.
func BenchmarkBatchCycleWithPreparedStarts(b *testing.B) {
	w := newOverloadBench(b, 0, 0)
	w.shard.SetTenants(nil)
	w.run(b)
}

func (w *overloadBench) run(b *testing.B) {
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

// readyTasks is the number of tasks that wait for room in BenchmarkStartOfReadyTasks.
const readyTasks = 10_000

// BenchmarkStartOfReadyTasks measures what a start costs an owner, from the completion that makes
// room for it to its command, while readyTasks wait. Uneven work has large tasks beside small ones.
func BenchmarkStartOfReadyTasks(b *testing.B) {
	for _, executors := range []int{85, 500} {
		for name, large := range map[string]bool{"even": false, "uneven": true} {
			b.Run(fmt.Sprintf("%d/%s", executors, name), func(b *testing.B) {
				w := newLoadedBench(executors, bigExecutor, func(w *overloadBench) {
					for w.waiting() < readyTasks {
						w.submitReady(large && w.submitted%5 == 0)
					}
				})
				b.ResetTimer()
				before, processor := w.started, processorTime(b)
				for b.Loop() {
					w.cycle()
				}
				starts := w.started - before
				b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/float64(max(1, starts)), "cpu-us/start")
				b.ReportMetric(float64(starts)/float64(b.N), "starts/cycle")
			})
		}
	}
}

// processorTime returns the processor time of the process, which depends less on what else the
// machine does than elapsed time.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// waiting returns the number of tasks without a run; all steps of this load may start at once.
func (w *overloadBench) waiting() int { return w.tasks - w.started }

// submitReady submits a job of one step: 8 tasks of 3 to 13 cores, or 2 of 40.
func (w *overloadBench) submitReady(large bool) {
	w.submitted++
	step := job.Step{Count: 8, Need: job.Resources{MilliCPU: int64(3000 + 1000*(w.submitted%11)), MemoryMB: 8000}, Estimate: time.Second}
	if large {
		step.Count, step.Need = 2, job.Resources{MilliCPU: 40_000, MemoryMB: 150_000}
	}
	w.tasks += step.Count
	w.submit(job.ID(fmt.Sprintf("%016x", w.submitted)), step)
}

type overloadBench struct {
	*harness
	tasks     int
	refill    func(w *overloadBench)
	submitted int
	started   int
	tenants   int // each job belongs to one of them in turn; zero for jobs without tenants
	sequence  map[string]int64
	running   []Command
}

func newOverloadBench(b *testing.B, tenants, atLimit int) *overloadBench {
	w := newLoadedBench(overloadExecutors, job.Resources{MilliCPU: 4000, MemoryMB: 4000}, func(w *overloadBench) {
		if w.submitted == 0 {
			w.setTenants(tenants, atLimit)
		}
		missing := overloadJobs - w.shard.Jobs()
		if w.submitted > 0 {
			missing = min(missing, 1)
		}
		for range missing {
			w.submitNext()
		}
	})
	b.ResetTimer()
	return w
}

// setTenants lets the jobs belong to tenants, of which the first ones are at their portions.
func (w *overloadBench) setTenants(tenants, atLimit int) {
	w.tenants = tenants
	for i := range tenants {
		usable := usableCPU(1_000_000, 1_000_000, 1_000_000)
		if i < atLimit {
			usable.Total.MilliCPU = 4000
		}
		usable.Tenant = benchTenant(i)
		w.shard.SetUsable(usable)
	}
}

// newLoadedBench returns a bench whose executors are full.
func newLoadedBench(count int, capacity job.Resources, refill func(*overloadBench)) *overloadBench {
	w := &overloadBench{
		harness: &harness{shard: New(testLimits, 7), now: time.Unix(1000, 0)}, sequence: map[string]int64{}, refill: refill,
	}
	var executors []cluster.Executor
	for i := range count {
		e := newExecutorNamed(fmt.Sprintf("i-%d", i))
		e.Capacity = capacity
		executors = append(executors, e)
	}
	w.shard.SetExecutors(executors, w.now)
	w.pollAll()
	w.refill(w)
	for range 100 + count {
		w.startDue()
	}
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
	w.refill(w)
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

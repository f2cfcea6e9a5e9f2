package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// oddWriters is the part of a world in which other writers put entries into the list of executors: under IDs of
// their own, or over the entry of an executor at work, until that one writes its own again.
type oddWriters struct {
	entries map[cluster.ExecutorID]cluster.Executor
	made    int
}

// oddAddress begins the addresses at which nobody, or another executor, responds.
const oddAddress = "odd"

// maxOddTime is how long an odd entry may hide the own one, which an executor writes in this time.
const maxOddTime = 1500

// list returns the list of entries as other writers have changed it.
func (o *oddWriters) list(list []cluster.Executor) []cluster.Executor {
	if o == nil {
		return list
	}
	for i, e := range list {
		if odd, over := o.entries[e.ID]; over {
			list[i] = odd
		}
	}
	for id, odd := range o.entries {
		if strings.HasPrefix(string(id), oddAddress) {
			list = append(list, odd)
		}
	}
	return list
}

// write writes an odd entry, which is replaced or removed after a while.
func (o *oddWriters) write(w *world) {
	o.made++
	odd := cluster.Executor{ID: cluster.ExecutorID(fmt.Sprintf("%s-%d", oddAddress, o.made)), Address: oddAddress, Labels: []string{"a", "r1-1"}}
	if e := w.pickExecutor("overwritten"); e != nil && rapid.IntRange(0, 3).Draw(w.t, "own ID") > 0 {
		odd = e.entry()
	}
	if rapid.Bool().Draw(w.t, "odd birth") {
		odd.Born = cluster.Birth(w.now.Add(time.Duration(rapid.IntRange(-2000, 8000).Draw(w.t, "born")) * time.Millisecond).UnixMilli())
	}
	if rapid.Bool().Draw(w.t, "odd address") {
		odd.Address = fmt.Sprintf("%s:%d", oddAddress, rapid.IntRange(1, 2).Draw(w.t, "port"))
	}
	// More than the own capacity is not drawn for an executor at work: in the first entry that an owner reads it counts.
	switch rapid.IntRange(0, 3).Draw(w.t, "odd capacity") {
	case 0:
		odd.Capacity = job.Resources{}
	case 1:
		if strings.HasPrefix(string(odd.ID), oddAddress) {
			odd.Capacity = job.Resources{MilliCPU: 1e12, MemoryMB: 1e12}
		}
	}
	o.entries[odd.ID] = odd
	w.refreshExecutors()
	made := o.made
	w.after(w.randomTicks("odd entry", maxOddTime), func() {
		if made == o.made || o.entries[odd.ID].Born == odd.Born {
			delete(o.entries, odd.ID)
		}
		w.refreshExecutors()
	})
}

// misdirected reports whether a call goes to an address that only an odd entry names, and with what result.
func (o *oddWriters) misdirected(w *world, e cluster.Executor) (bool, Delivery, execution.Refusal) {
	if o == nil || !strings.HasPrefix(e.Address, oddAddress) {
		return false, 0, execution.NotRefused
	}
	switch rapid.IntRange(0, 2).Draw(w.t, "misdirected") {
	case 0:
		return true, NotSent, execution.NotRefused
	case 1:
		return true, Ambiguous, execution.NotRefused
	default:
		return true, Responded, execution.RefusedWrongExecutor
	}
}

// Other writers change the list of executors, beside all other faults: no task runs twice, and each job ends.
func TestEntriesOfOtherWritersLoseOrRepeatNoTask(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.odd = &oddWriters{entries: map[cluster.ExecutorID]cluster.Executor{}}
		if rapid.Bool().Draw(t, "restarts") {
			w.restarts = newRestarts()
		}
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			w.injectFault()
			for range rapid.IntRange(0, 3).Draw(t, "odd entries") {
				w.odd.write(w)
			}
			for range rapid.IntRange(1, 40).Draw(t, "pause") {
				w.step(40 * time.Millisecond)
			}
		}
		clear(w.odd.entries)
		w.healAndFinish()
	})
}

// Other writers change the list of executors, and nothing else is wrong: no run is given up, except before its
// start is sent, where an entry states too little capacity for it.
func TestEntriesOfOtherWritersEndNoRun(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faultFree = true
		w.odd = &oddWriters{entries: map[cluster.ExecutorID]cluster.Executor{}}
		w.restarts = newRestarts() // records what is given up
		for range rapid.IntRange(5, 20).Draw(t, "entries") {
			w.submit()
			w.odd.write(w)
			w.step(w.randomTicks("pause", 3000))
		}
		for task, runs := range w.restarts.givenUp {
			for _, r := range runs {
				if r.Reason != GivenUpUnsent {
					t.Fatalf("LOST: run %d of %s on %s was given up: %s", r.Run, task, r.Executor, r.Reason)
				}
			}
		}
		clear(w.odd.entries)
		w.healAndFinish()
	})
}

// Other writers change the list of executors, beside all other faults: once that ends, each task starts in time.
func TestTasksStartWithinBoundAfterEntriesOfOtherWriters(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.odd = &oddWriters{entries: map[cluster.ExecutorID]cluster.Executor{}}
		w.liveness.noFailingJobs = true
		for range rapid.IntRange(5, 30).Draw(t, "faults") {
			w.injectLivenessFault()
			if rapid.IntRange(0, 1).Draw(t, "odd entry") == 0 {
				w.odd.write(w)
				w.liveness.faultFreeSince = w.now.Add(settledAfterOddEntry)
			}
			w.checkedStep(w.randomTicks("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(t, "longest pause")))
		}
		clear(w.odd.entries)
		w.refreshExecutors()
		w.step(settledAfterOddEntry)
		w.healAndCheck()
	})
}

// settledAfterOddEntry is the time after which an odd entry has been replaced by the own one, and its effects on
// calls are over: a call there has failed, and the capacity counts again.
const settledAfterOddEntry = maxOddTime*time.Millisecond + testCallTimeout + maxPollRetry + ownEntryTime

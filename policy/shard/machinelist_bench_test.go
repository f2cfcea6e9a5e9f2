package shard

import (
	"fmt"
	"testing"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// BenchmarkNeedsMachineList measures the check that an owner of 100 executors makes in each round
// of its loop while all of them respond.
func BenchmarkNeedsMachineList(b *testing.B) {
	s := New(testLimits, 1)
	for i := range 100 {
		e := newExecutor(newExecutorNamed(fmt.Sprintf("i-%d", i)), s.lastTick)
		e.addRun(&run{task: &task{step: &step{def: &oneTask, job: &jobState{}}}, executor: e})
		s.executors[e.ID] = e
	}
	for b.Loop() {
		if s.NeedsMachineList(s.lastTick.Add(maxMachineListLag)) {
			b.Fatal("a machine list is needed")
		}
	}
}

// BenchmarkMachineList measures the handling of a list of 542 machines by an owner of 100 executors.
func BenchmarkMachineList(b *testing.B) {
	s := New(testLimits, 1)
	var machines []cluster.Machine
	for i := range 542 {
		machines = append(machines, cluster.Machine{Executor: cluster.ExecutorID(fmt.Sprintf("i-%d", i))})
		if i < 100 {
			e := newExecutor(newExecutorNamed(fmt.Sprintf("i-%d", i)), s.lastTick)
			s.executors[e.ID] = e
		}
	}
	for b.Loop() {
		s.ApplyMachineList(NewMachineList(machines, s.lastTick.Add(maxMachineListLag)))
	}
}

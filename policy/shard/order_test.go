package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// startOrderByDeadline is the start order without tenants, as it was before there were any.
func (s *Shard) startOrderByDeadline(now time.Time) []*jobState {
	groups := map[rank][]*jobState{}
	expiringCPULeft := s.expiringCPU()
	count := 0
	for _, j := range s.queue.jobs {
		if j.terminating() || j.state.Final() {
			continue
		}
		r := rank{urgency: j.urgencyWithinRate(now), priority: j.Queue.Priority, unstarted: 1}
		if j.started() {
			r.unstarted = 0
		}
		if r.urgency == urgencyExpiring {
			expiringCPULeft -= float64(j.openCPU())
			if expiringCPULeft < 0 {
				r.urgency = urgencyLate
			}
		}
		groups[r] = append(groups[r], j)
		count++
	}
	ranks := slices.SortedFunc(maps.Keys(groups), compareRank)
	jobs := make([]*jobState, 0, count)
	for _, r := range ranks {
		jobs = append(jobs, groups[r]...)
	}
	return jobs
}

// The benchmarked orders: of a service at a peak, with all executors full and many jobs waiting.
const (
	orderExecutors = 85
	orderTasks     = 8
)

// newOrderBench returns a shard with the given numbers of tenants and of jobs of two steps.
func newOrderBench(jobs, tenants int) *harness {
	h := &harness{shard: New(testLimits, 7), now: time.Unix(1000, 0)}
	var executors []cluster.Executor
	for i := range orderExecutors {
		e := newExecutorNamed(fmt.Sprintf("i-%d", i))
		e.Capacity = job.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
		executors = append(executors, e)
	}
	h.shard.SetExecutors(executors, h.now)
	h.pollAll()
	h.shard.SetTenants(equalTenants(tenants, float64(jobs)))
	for i := range jobs {
		r := Record{
			ID: testID(i), Accepted: h.now.Add(-time.Duration(i%2500) * time.Millisecond),
			Definition: job.Definition{Steps: []job.Step{
				{Count: orderTasks, Need: job.Resources{MilliCPU: 3000 + int64(i%10)*1000, MemoryMB: 1000}, Estimate: time.Second},
				{Count: orderTasks, Need: job.Resources{MilliCPU: 3000, MemoryMB: 1000}, Estimate: time.Second, After: []int{0}},
			}},
			Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond},
		}
		if tenants > 0 {
			r.Tenant = tenantName(i * 7 % tenants)
		}
		h.shard.AddJob(r, nil, h.now)
	}
	for range 4 {
		h.storeAndCommand()
	}
	return h
}

func tenantName(i int) cluster.TenantName { return cluster.TenantName(fmt.Sprintf("t%04d", i)) }

func equalTenants(n int, weight float64) []cluster.Tenant {
	var list []cluster.Tenant
	for i := range n {
		list = append(list, cluster.Tenant{Name: tenantName(i), Weight: weight})
	}
	return list
}

// BenchmarkStartOrder measures one start order, beside the order by deadline.
func BenchmarkStartOrder(b *testing.B) {
	for _, jobs := range []int{1000, 10_000} {
		for _, tenants := range []int{0, 20, 2000} {
			h := newOrderBench(jobs, tenants)
			b.Run(fmt.Sprintf("jobs=%d/tenants=%d/order=deadline", jobs, tenants), func(b *testing.B) {
				for b.Loop() {
					h.shard.startOrderByDeadline(h.now)
				}
			})
			b.Run(fmt.Sprintf("jobs=%d/tenants=%d/order=shares", jobs, tenants), func(b *testing.B) {
				for b.Loop() {
					h.shard.startOrder(h.now)
				}
			})
		}
	}
}

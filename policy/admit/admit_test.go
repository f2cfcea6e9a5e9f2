package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

var testNow = time.Unix(1_000_000, 0)

// waiting returns knowledge of the given age by which new jobs wait for 3 s.
func waiting(age time.Duration) *Knowledge {
	return &Knowledge{Received: age, Admission: shard.Admission{
		Token: 1, Sequence: 1, AtMs: testNow.Add(-age).UnixMilli(), CapacityMs: 2500,
		Queues: map[string]shard.QueueWait{"q": {Objectives: []int64{1000, 2000}, Sizes: []int64{1000, 3000}, WaitMs: []int64{0, 3000, 0, 3000}}},
	}}
}

func request(size int64) Request {
	return Request{ID: "00000000000000aa", Queue: "q", Tenant: "t", Objective: 1500 * time.Millisecond, Slack: time.Second, Need: job.Resources{MilliCPU: size}}
}

// Without recent and plausible knowledge, or with room for tasks of the job's size, it is accepted.
func TestInDoubtJobsAreAccepted(t *testing.T) {
	r := request(3000)
	assert.Assert(t, Decide(waiting(0), r, testNow).Rejected)
	assert.Assert(t, Decide(waiting(MaxAge), r, testNow).Rejected)
	stale, future, over, relisted := waiting(MaxAge+time.Millisecond), waiting(-time.Second), waiting(0), waiting(0)
	over.TermOver, relisted.Received = true, 2*time.Second
	for name, k := range map[string]*Knowledge{"none": nil, "stale": stale, "future": future, "term over": over, "received long ago": relisted} {
		assert.Assert(t, !Decide(k, r, testNow).Rejected, name)
	}
	assert.Assert(t, !Decide(waiting(0), request(1000), testNow).Rejected, "a smaller job fits")
	r.Slack = 3 * time.Second
	assert.Assert(t, !Decide(waiting(0), r, testNow).Rejected, "the job can wait")
	r = request(3000)
	r.Queue = "other"
	assert.Assert(t, !Decide(waiting(0), r, testNow).Rejected, "another queue")
}

func TestMalformedAdmissionsAreDetected(t *testing.T) {
	good := waiting(0).Admission
	assert.NilError(t, good.Check())
	for name, change := range map[string]func(*shard.Admission){
		"token":    func(a *shard.Admission) { a.Token = 0 },
		"capacity": func(a *shard.Admission) { a.CapacityMs = -1 },
		"limit":    func(a *shard.Admission) { a.LimitMs = map[cluster.TenantName]int64{"t": 1 << 40} },
		"excess":   func(a *shard.Admission) { a.Excess = map[cluster.TenantName]int{"t": 101} },
		"waits": func(a *shard.Admission) {
			a.Queues = map[string]shard.QueueWait{"q": {Objectives: []int64{1}, Sizes: []int64{1, 2}, WaitMs: []int64{1}}}
		},
		"order": func(a *shard.Admission) {
			a.Queues = map[string]shard.QueueWait{"q": {Objectives: []int64{2, 1}, Sizes: []int64{1}, WaitMs: []int64{1, 1}}}
		},
	} {
		bad := good
		change(&bad)
		assert.Assert(t, bad.Check() != nil, name)
	}
}

// Callers must not come back together, nor before capacity is expected; tenants beyond their rate
// come after the others.
func TestCallersAreToldDifferentTimes(t *testing.T) {
	latest := map[cluster.TenantName]time.Duration{}
	earliest := map[cluster.TenantName]time.Duration{}
	told := map[time.Duration]int{}
	k := waiting(0)
	k.Excess = map[cluster.TenantName]int{"beyond": 60, "far": 20}
	const callers = 300
	for i := range callers {
		for _, tenant := range []cluster.TenantName{"within", "beyond", "far"} {
			r := request(3000)
			r.ID, r.Tenant = job.ID(fmt.Sprintf("%016x", i)), tenant
			d := Decide(k, r, testNow)
			assert.Assert(t, d.Rejected)
			assert.Assert(t, d.RetryAfter >= 3*time.Second && d.RetryAfter%time.Second == 0)
			if tenant == "within" {
				told[d.RetryAfter]++
			}
			latest[tenant] = max(latest[tenant], d.RetryAfter)
			if earliest[tenant] == 0 || d.RetryAfter < earliest[tenant] {
				earliest[tenant] = d.RetryAfter
			}
		}
	}
	for after, n := range told {
		assert.Assert(t, n <= 2*callers/len(told), "%d of %d are told %v", n, callers, after)
	}
	assert.Assert(t, len(told) >= 3)
	assert.Assert(t, latest["within"] < earliest["beyond"] && latest["beyond"] < earliest["far"])
}

func TestTimingOf(t *testing.T) {
	for after, want := range map[time.Duration]Timing{
		-time.Second: TooEarly, -returnTolerance: OnTime, 0: OnTime, returnWindow: OnTime, returnWindow + 1: TooLate,
	} {
		assert.Equal(t, TimingOf(testNow, testNow.Add(after)), want, after.String())
	}
	assert.Equal(t, Early(Decision{}, testNow.Add(1200*time.Millisecond), testNow).RetryAfter, 2*time.Second)
}

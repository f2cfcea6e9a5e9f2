package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// Numbers of objects at the target size.
const (
	targetServices = 20
	targetPools    = 28
	targetTenants  = 210
	targetJobs     = 3000
	targetWorkers  = 3100
)

// memoryBound is the memory bound of the whole control plane, in bytes.
const memoryBound = 32 << 20

// targetDocument returns a configuration of the target size with the given jobs.
func targetDocument(jobs int) object.Document {
	d := object.Document{Classes: []object.Class{{Name: "batch", Timeout: object.Duration(time.Hour)}}}
	for i := range targetServices {
		d.Services = append(d.Services, object.Service{Name: fmt.Sprintf("service-%d", i), Slots: 8, Connections: 64})
	}
	for i := range targetPools {
		healthy := object.Amount{Value: 80, Percent: true}
		d.Pools = append(d.Pools, object.Pool{Name: fmt.Sprintf("pool-%d", i), Selector: fmt.Sprintf("pool=pool-%d,kind in (cpu,gpu)", i),
			Budget: object.Budget{MinHealthy: &healthy}, Min: 10, Max: 200})
	}
	for i := range targetTenants {
		d.Tenants = append(d.Tenants, object.Tenant{Name: fmt.Sprintf("team-%d", i), Weight: 1 + i%5, Quota: fleet.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20}})
	}
	for i := range jobs {
		d.Jobs = append(d.Jobs, object.Job{Name: fmt.Sprintf("job-%d", i), Tenant: fmt.Sprintf("team-%d", i%targetTenants), Class: "batch",
			Selector: "kind=cpu", Declared: fleet.Resources{MilliCPU: 4000, MemoryMiB: 8192}, Tasks: 1 + i%40, RunTime: object.Duration(time.Hour)})
	}
	return d
}

// newTargetWorkers returns the workers of a fleet of the target size.
func newTargetWorkers() []fleet.Instance {
	var out []fleet.Instance
	for i := range targetWorkers {
		pool := fmt.Sprintf("pool-%d", i%targetPools)
		out = append(out, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("worker-%d", i)), Kind: fleet.KindWorker,
			Labels: label.Set{"pool": pool, "kind": "cpu", "rack": fmt.Sprint(i / 4)}, Capacity: fleet.Resources{MilliCPU: 16000, MemoryMiB: 65536}})
	}
	return out
}

// newFilledLog returns a log that has accepted the document, and the log's follower. The
// jobs are accepted in batches after all other objects.
func newFilledLog(tb testing.TB, d object.Document) (*Follower, *Log) {
	follower, log := newFollowerAndLog(memory.New(time.Now))
	workers := newTargetWorkers()
	log.options.Instances = func() []fleet.Instance { return workers }
	jobs := d.Jobs
	d.Jobs = nil
	accept(tb, log, "base", d)
	const batch = 1000
	for i := 0; i < len(jobs); i += batch {
		accept(tb, log, fmt.Sprint(i), object.Document{Jobs: jobs[i:min(i+batch, len(jobs))]})
	}
	return follower, log
}

func accept(tb testing.TB, log *Log, id string, d object.Document) {
	_, err := log.Accept(tb.Context(), WithBase(object.Change{ID: id, Put: d}, log.follower.Current()))
	assert.NilError(tb, err)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestTargetConfigurationFitsStoreAndMemoryBounds(t *testing.T) {
	before := heapBytes()
	follower, log := newFilledLog(t, targetDocument(targetJobs))
	body := mustEncode(t, follower)
	assert.Assert(t, len(body) <= maxStoredSnapshotBytes, "snapshot of %d bytes", len(body))
	heldBytes := heapBytes() - before
	assert.Assert(t, heldBytes <= memoryBound, "%d bytes on the heap, including the in-memory store", heldBytes)
	runtime.KeepAlive(log)
}

func TestConfigurationBeyondSizeLimitIsRejected(t *testing.T) {
	follower, log := newFilledLog(t, object.Document{Tenants: []object.Tenant{{Name: "t"}}})
	follower.current.Load().size = maxConfigBytes
	_, err := log.Accept(t.Context(), putTenant("a", "u", 1, follower.Current()))
	assert.ErrorContains(t, err, "the limit is 4194304")
	_, err = log.Accept(t.Context(), putTenant("b", "t", 0, follower.Current()))
	assert.NilError(t, err, "a change that does not increase the size is accepted")
}

// BenchmarkConfigurationSize reports the bytes of a revision and of the snapshot,
// the memory of a follower and the time to accept and to apply one change. The
// baseline writes the whole configuration with each revision.
func BenchmarkConfigurationSize(b *testing.B) {
	for _, jobs := range []int{0, 300, targetJobs, 3 * targetJobs} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				reportSize(b, jobs)
			}
		})
	}
}

func reportSize(b *testing.B, jobs int) {
	before := heapBytes()
	follower, log := newFilledLog(b, targetDocument(jobs))
	heldBytes := heapBytes() - before
	whole, err := json.Marshal(follower.Current().Document())
	assert.NilError(b, err)
	compressed, err := encodeSnapshot(follower.current.Load())
	assert.NilError(b, err)
	record, err := newRecord(putTenant("x", "team-1", 4, follower.Current()), follower.Current().Revision+1)
	assert.NilError(b, err)
	delta, err := json.Marshal(record)
	assert.NilError(b, err)

	const iterations = 20
	start := time.Now()
	for range iterations {
		follower.current.Load().apply(record)
	}
	applyTime := time.Since(start) / iterations
	start = time.Now()
	for i := range iterations {
		accept(b, log, fmt.Sprint("t", i), object.Document{Tenants: []object.Tenant{{Name: "team-1", Weight: i}}})
	}
	acceptTime := time.Since(start) / iterations

	b.ReportMetric(float64(len(delta)), "revision-B")
	b.ReportMetric(float64(len(whole)), "revision-baseline-B")
	b.ReportMetric(float64(len(compressed)), "snapshot-B")
	b.ReportMetric(float64(heldBytes)/(1<<20), "held-MiB")
	b.ReportMetric(float64(applyTime)/float64(time.Microsecond), "apply-us")
	b.ReportMetric(float64(acceptTime)/float64(time.Microsecond), "accept-us")
	b.ReportMetric(0, "ns/op")
}

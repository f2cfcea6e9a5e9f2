package owner_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/owner"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/executor"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Load of a peak in the larger deployments: jobs of many short tasks on the pool of one
// service.
const (
	peakExecutors     = 200
	peakJobsPerSecond = 100
	peakTasks         = 12
	peakRunTime       = 800 * time.Millisecond
	peakService       = cluster.Service("peak")
)

// BenchmarkStartsAtAPeak measures the CPU time per start, of the whole process including
// the stand-ins, and the starts per second of one owner.
func BenchmarkStartsAtAPeak(b *testing.B) {
	testFleet, err := standin.NewFleet([]standin.PoolSpec{{Service: peakService, Machines: peakExecutors, Prefix: "/peak/"}}, peakRunTime)
	assert.NilError(b, err)
	b.Cleanup(testFleet.Close)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	lead(ctx, testFleet.StoreAddress)
	client := kv.New(testFleet.StoreAddress)
	before := cpuTime(b)
	start := time.Now()
	jobs := 0
	for b.Loop() {
		for range peakJobsPerSecond / 10 {
			assert.NilError(b, submit(ctx, client, jobs))
			jobs++
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(b, awaitStarts(ctx, testFleet, jobs*peakTasks))
	took := time.Since(start)
	starts := float64(len(testFleet.Starts()))
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/starts, "cpu-us/start")
	b.ReportMetric(starts/took.Seconds(), "starts/s")
	b.ReportMetric(0, "ns/op")
}

func lead(ctx context.Context, address string) { leadWith(ctx, address, nil, tally.NoopScope) }

func leadWith(ctx context.Context, address string, config *cluster.Config, scope tally.Scope) {
	logger := slog.New(slog.DiscardHandler)
	store := storehealth.New(kv.New(address), func(bool, int) {})
	e := election.New(store, "bench", fleet.AvailabilityZone("palermo"), 1, logger)
	options := owner.Options{
		Service: peakService,
		Limits:  shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second},
		Store:   store,
		Dial:    func(id cluster.ExecutorID, address string) owner.Executor { return executor.New(id, address) },
		Config:  func() *cluster.Config { return config },
		Logger:  logger, Scope: scope,
	}
	go e.Follow(ctx)
	go e.Campaign(ctx, layout.ServiceDuty(peakService), func(ctx context.Context, term election.Term) { owner.Lead(ctx, term, options) })
}

func submit(ctx context.Context, client *kv.Client, number int) error {
	id := job.ID(fmt.Sprintf("%016x", number+1))
	record, err := layout.Encode(shard.Record{
		ID: id, Accepted: time.Now(), Queue: shard.QueuePolicy{Name: "peak", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
		Definition: job.Definition{Payload: "p", Steps: []job.Step{{
			Count: peakTasks, Need: job.Resources{MilliCPU: 3100, MemoryMB: 300}, Estimate: peakRunTime,
		}}},
	})
	if err != nil {
		return err
	}
	_, err = client.Txn(ctx, kv.Txn{Puts: []kv.Put{{Key: layout.RecordKey(peakService, id), Value: record}}})
	return err
}

func awaitStarts(ctx context.Context, testFleet *standin.Fleet, starts int) error {
	deadline := time.Now().Add(time.Minute)
	for len(testFleet.Starts()) < starts {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d starts after a minute", len(testFleet.Starts()), starts)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

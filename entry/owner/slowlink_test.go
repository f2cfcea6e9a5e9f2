package owner

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/executor"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	slowLinkRate    = 250_000 // bytes per second
	slowLinkRunTime = 4 * time.Second
	longPayload     = 4000 // bytes, the longest payload of a job
)

// slowLinkFleet is an owner whose calls to its executors share one link. Its store is reached apart.
type slowLinkFleet struct {
	t         *testing.T
	store     *memoryStore
	link      *standin.Link
	executors []*standin.Executor
	log       *lockedBuffer
	jobs      int
}

func newSlowLinkFleet(ctx context.Context, t *testing.T, executors int) *slowLinkFleet {
	f := &slowLinkFleet{t: t, store: newMemoryStore(), link: standin.NewLink(slowLinkRate, 2*time.Millisecond), log: &lockedBuffer{}}
	for i := range executors {
		id := cluster.ExecutorID(fmt.Sprintf("e-%03d", i))
		e := standin.NewExecutor(cluster.Executor{
			ID: id, Born: 1, Service: "a", Address: string(id) + ":1",
			Capacity: job.Resources{MilliCPU: 5000, MemoryMB: 5000},
		}, slowLinkRunTime)
		f.executors = append(f.executors, e)
		f.link.Serve(e.Registration.Address, e)
		key, value, err := e.Entry()
		assert.NilError(t, err)
		f.store.put(key, value)
	}
	options := Options{
		Service: "a", Limits: shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, Store: f.store,
		Dial: func(id cluster.ExecutorID, address string) Executor {
			return executor.NewWithDial(id, address, f.link.DialContext)
		},
		Config: func() *cluster.Config { return &cluster.Config{Version: 1} },
		Logger: slog.New(slog.NewTextHandler(f.log, nil)), Scope: tally.NoopScope,
	}
	e := election.New(f.store, "entry", "zone", 1, options.Logger)
	go e.Follow(ctx)
	go e.Campaign(ctx, layout.ServiceDuty("a"), func(ctx context.Context, term election.Term) { Lead(ctx, term, options) })
	return f
}

// close ends the owner and the servers.
func (f *slowLinkFleet) close(cancel context.CancelFunc) {
	cancel()
	f.link.Close()
	time.Sleep(10 * time.Second) // calls in progress end
}

func (f *slowLinkFleet) submit(tasks int) {
	f.jobs++
	id := job.ID(fmt.Sprintf("%016x", f.jobs))
	value, err := layout.Encode(shard.Record{
		ID: id, Accepted: time.Now(), Queue: shard.QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Minute},
		Definition: job.Definition{
			Payload: strings.Repeat("x", longPayload),
			Steps:   []job.Step{{Count: tasks, Need: job.Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: slowLinkRunTime}},
		},
	})
	assert.NilError(f.t, err)
	f.store.put(layout.RecordKey("a", id), value)
}

// completed returns how many jobs are final.
func (f *slowLinkFleet) completed() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := 0
	for i := range f.jobs {
		if _, pending := f.store.items[layout.RecordKey("a", job.ID(fmt.Sprintf("%016x", i+1)))]; !pending {
			n++
		}
	}
	return n
}

// starts returns how many runs the executors have started.
func (f *slowLinkFleet) starts() int {
	n := 0
	for _, e := range f.executors {
		n += len(e.Starts())
	}
	return n
}

// burst submits jobs at once and waits until they are final.
func (f *slowLinkFleet) burst(jobs, tasks int) {
	time.Sleep(time.Second) // all executors have been polled
	for range jobs {
		f.submit(tasks)
	}
	begin := time.Now()
	for f.completed() < jobs && time.Since(begin) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	up, down := f.link.Bytes()
	f.t.Logf("%d of %d jobs completed after %s; %d starts, %d kB sent, %d kB received, %d commands without response, %d runs given up",
		f.completed(), jobs, time.Since(begin), f.starts(), up/1000, down/1000, f.log.count("outcome=no-answer"), f.log.count("run given up"))
	assert.Equal(f.t, f.completed(), jobs)
}

// A burst of starts needs the link of the instance for more than a second. The executors are sound, and the
// link carries all of them in time: no call may be abandoned and repeated, and no run given up, since that
// takes the link from the calls that are of use.
func TestBurstOnASlowLinkAbandonsNoCalls(t *testing.T) {
	for _, executors := range []int{40, 120} {
		t.Run(fmt.Sprintf("%d executors", executors), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSlowLinkFleet(ctx, t, executors)
				defer f.close(cancel)
				const jobs, tasks = 30, 20
				f.burst(jobs, tasks)
				assert.Equal(t, f.starts(), jobs*tasks)
				assert.Equal(t, f.log.count("outcome=no-answer"), 0)
				assert.Equal(t, f.log.count("run given up"), 0)
			})
		})
	}
}

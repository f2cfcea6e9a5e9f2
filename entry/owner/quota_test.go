package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/quota"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	ledgerTenant = cluster.TenantName("north")
	// Each task needs 10 cores, and the tenant may have 12 of them running.
	taskCores   = 10
	tenantTasks = 12
	taskTime    = 800 * time.Millisecond
	storeTime   = 4 * time.Millisecond
)

var errLost = errors.New("response lost")

// memoryStore is a store in memory, in virtual time.
type memoryStore struct {
	mu       sync.Mutex
	revision kv.Revision
	items    map[string]kv.Item
	history  []kv.Event
	// ledgerReads and ledgerWrites count the calls that read and write ledgers.
	ledgerReads, ledgerWrites int
	loseLedgerResponses       int          // of that many further writes of ledgers
	ledgerWritten             func(string) // called after a write of ledgers, with the value
}

func newMemoryStore() *memoryStore { return &memoryStore{revision: 1, items: map[string]kv.Item{}} }

func (s *memoryStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(kv.Put{Key: key, Value: value})
}

func (s *memoryStore) putLocked(p kv.Put) {
	item := kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, found := s.items[p.Key]; found {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.history = append(s.history, kv.Event{Item: item})
}

func (s *memoryStore) deleteLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, kv.Event{Item: kv.Item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *memoryStore) Get(_ context.Context, key string) (kv.Item, error) {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	if !found {
		return kv.Item{}, kv.ErrNotFound
	}
	return item, nil
}

func (s *memoryStore) All(_ context.Context, prefix string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countRead(prefix)
	var list []kv.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, item)
		}
	}
	slices.SortFunc(list, func(x, y kv.Item) int { return strings.Compare(x.Key, y.Key) })
	return list, s.revision, nil
}

func (s *memoryStore) countRead(prefix string) {
	if prefix == layout.QuotaPrefix {
		s.ledgerReads++
	}
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	s.mu.Lock()
	s.countRead(prefix)
	s.mu.Unlock()
	for deadline := time.Now().Add(wait); ; {
		if err := backoff.Sleep(ctx, storeTime); err != nil {
			return kv.Events{}, err
		}
		s.mu.Lock()
		events := kv.Events{AsOf: s.revision}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events.Events = append(events.Events, e)
			}
		}
		s.mu.Unlock()
		if len(events.Events) > 0 || time.Now().After(deadline) {
			return events, nil
		}
	}
}

func (s *memoryStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Entries() > kv.MaxTxnEntries {
		return kv.TxnResult{}, fmt.Errorf("%d entries", t.Entries())
	}
	result := kv.TxnResult{Applied: true}
	for _, c := range t.Conditions {
		item, found := s.items[c.Key]
		if found {
			result.Current = append(result.Current, item)
		}
		result.Applied = result.Applied && item.Revision == c.Revision
	}
	if !result.Applied {
		return result, nil
	}
	s.revision++
	ledger := ""
	for _, p := range t.Puts {
		s.putLocked(p)
		if strings.HasPrefix(p.Key, layout.QuotaPrefix) {
			ledger = string(p.Value)
		}
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	if ledger == "" {
		return kv.TxnResult{Applied: true, Revision: s.revision}, nil
	}
	s.ledgerWrites++
	if s.ledgerWritten != nil {
		s.ledgerWritten(ledger)
	}
	if s.loseLedgerResponses > 0 {
		s.loseLedgerResponses--
		return kv.TxnResult{}, errLost
	}
	return kv.TxnResult{Applied: true, Revision: s.revision}, nil
}

func (s *memoryStore) Grant(context.Context, time.Duration) (kv.Lease, error) {
	return kv.Lease{ID: 1, TTL: time.Second}, nil
}

func (s *memoryStore) KeepAlive(context.Context, kv.LeaseID) error { return nil }

func (s *memoryStore) Revoke(context.Context, kv.LeaseID) error { return nil }

func (s *memoryStore) Timeout(int) time.Duration { return 100 * time.Millisecond }

// instantExecutor carries out calls at once. All of them share a count of what runs.
type instantExecutor struct {
	id      cluster.ExecutorID
	count   *runCount
	mu      sync.Mutex
	running map[execution.RunRef]time.Time // when they end
	ended   []execution.Ended
	last    int64
}

type runCount struct {
	mu                    sync.Mutex
	running, highest, all int
}

func (c *runCount) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.highest = max(c.highest, c.running)
	c.all += max(0, n)
}

func (e *instantExecutor) reply() execution.Reply {
	return execution.Reply{ClockMs: time.Now().UnixMilli() - 946_000_000_000}
}

func (e *instantExecutor) Start(_ context.Context, s execution.Start) (execution.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.running[s.RunRef]; !found {
		e.running[s.RunRef] = time.Now().Add(taskTime)
		e.count.add(1)
	}
	return e.reply(), nil
}

func (e *instantExecutor) Stop(context.Context, execution.RunRef, int64) (execution.Reply, error) {
	return e.reply(), nil
}

func (e *instantExecutor) Throttle(context.Context, execution.RunRef, int, int64) (execution.Reply, error) {
	return e.reply(), nil
}

func (e *instantExecutor) Close() {}

func (e *instantExecutor) Poll(ctx context.Context, request execution.PollRequest) (execution.PollResponse, error) {
	if err := backoff.Sleep(ctx, 20*time.Millisecond); err != nil {
		return execution.PollResponse{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = slices.DeleteFunc(e.ended, func(end execution.Ended) bool { return end.Sequence <= request.AckedThrough })
	for ref, end := range e.running {
		if time.Now().Before(end) {
			continue
		}
		delete(e.running, ref)
		e.count.add(-1)
		e.last++
		e.ended = append(e.ended, execution.Ended{RunRef: ref, Sequence: e.last, Reason: execution.EndedDone})
	}
	response := execution.PollResponse{Reply: e.reply(), From: cluster.Incarnation{ID: e.id, Born: 1}}
	for ref := range e.running {
		response.Running = append(response.Running, execution.Running{RunRef: ref, Percent: 100})
	}
	response.Ended = slices.Clone(e.ended)
	return response, nil
}

// ledgerFleet is a store, two executors for each of the services a and b, and their owners.
type ledgerFleet struct {
	t         *testing.T
	ctx       context.Context
	store     *memoryStore
	executors map[cluster.ExecutorID]*instantExecutor
	count     runCount
	config    cluster.Config
	log       *lockedBuffer
	submitted int
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

func newLedgerFleet(ctx context.Context, t *testing.T, tenants ...cluster.Tenant) *ledgerFleet {
	f := &ledgerFleet{t: t, ctx: ctx, store: newMemoryStore(), executors: map[cluster.ExecutorID]*instantExecutor{}, log: &lockedBuffer{}}
	f.config = cluster.Config{Version: 1, Tenancy: true, Tenants: tenants, Pools: []cluster.Pool{{Service: "a"}, {Service: "b"}, {Service: "spare", Spare: true}}}
	for _, service := range []cluster.Service{"a", "b"} {
		for i := range 2 {
			id := cluster.ExecutorID(fmt.Sprintf("e-%s-%d", service, i))
			f.executors[id] = &instantExecutor{id: id, count: &f.count, running: map[execution.RunRef]time.Time{}}
			f.store.put(executorPrefix+string(id), fmt.Appendf(nil,
				`{"service":%q,"address":"%s:1","state":"ready","capacity":{"cpu":100000,"mem-mb":100000},"born":1,"sequence":1}`, service, id))
		}
	}
	return f
}

// lead campaigns for a service until the returned function is called.
func (f *ledgerFleet) lead(service cluster.Service) context.CancelFunc {
	ctx, cancel := context.WithCancel(f.ctx)
	logger := slog.New(slog.NewTextHandler(f.log, nil))
	e := election.New(f.store, "entry", "zone", 1, logger)
	options := Options{
		Service: service, Limits: shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, Store: f.store,
		Dial:   func(id cluster.ExecutorID, _ string) Executor { return f.executors[id] },
		Config: func() *cluster.Config { return &f.config }, Logger: logger, Scope: tally.NoopScope,
	}
	go e.Follow(ctx)
	go e.Campaign(ctx, layout.ServiceDuty(service), func(ctx context.Context, term election.Term) { Lead(ctx, term, options) })
	return cancel
}

// vacate ends the term of an owner that was stopped, as the expiry of its lease does.
func (f *ledgerFleet) vacate(service cluster.Service) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.revision++
	f.store.deleteLocked(layout.OwnerKey(layout.ServiceDuty(service)))
}

func (f *ledgerFleet) submit(service cluster.Service, tenant cluster.TenantName, tasks int) {
	f.submitted++
	id := job.ID(fmt.Sprintf("%016x", f.submitted))
	value, err := layout.Encode(shard.Record{
		ID: id, Tenant: tenant, Accepted: time.Now(), Queue: shard.QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Minute},
		Definition: job.Definition{Steps: []job.Step{{Count: tasks, Need: job.Resources{MilliCPU: 1000 * taskCores, MemoryMB: 100}, Estimate: taskTime}}},
	})
	assert.NilError(f.t, err)
	f.store.put(layout.RecordKey(service, id), value)
}

// started returns how many runs have started.
func (f *ledgerFleet) started() int {
	f.count.mu.Lock()
	defer f.count.mu.Unlock()
	return f.count.all
}

// await fails the test unless the number of runs started is reached in time.
func (f *ledgerFleet) await(started int, within time.Duration) {
	f.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f.started() >= started {
			return
		}
	}
	f.t.Fatalf("%d of %d tasks have started after %s: %s", f.started(), started, within, f.store.items[layout.QuotaKey(ledgerTenant)].Value)
}

func limitedTenant() cluster.Tenant {
	return cluster.Tenant{Name: ledgerTenant, Weight: 1, Limit: job.Resources{MilliCPU: 1000 * taskCores * tenantTasks}}
}

// ledgerTest runs a test with a fleet in virtual time.
func ledgerTest(t *testing.T, tenants []cluster.Tenant, run func(f *ledgerFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(newLedgerFleet(ctx, t, tenants...))
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second) // calls in progress end
	})
}

// Two owners that know each other only by the ledger keep a tenant within its limit, and use all of it.
func TestTwoOwnersKeepATenantWithinItsLimit(t *testing.T) {
	ledgerTest(t, []cluster.Tenant{limitedTenant()}, func(f *ledgerFleet) {
		f.lead("a")
		f.lead("b")
		f.submit("a", ledgerTenant, 60)
		f.submit("b", ledgerTenant, 60)
		f.await(120, 15*time.Second) // 8 s at the limit
		assert.Equal(t, f.count.highest, tenantTasks)
	})
}

// All of a limit moves to the service that needs it, although the other one holds half of it.
func TestUnusedPortionIsReturnedToAnotherService(t *testing.T) {
	ledgerTest(t, []cluster.Tenant{limitedTenant()}, func(f *ledgerFleet) {
		f.lead("a")
		f.lead("b")
		f.submit("a", ledgerTenant, 1)
		f.submit("b", ledgerTenant, 1)
		f.await(2, 3*time.Second)
		time.Sleep(2 * taskTime)
		f.submit("b", ledgerTenant, tenantTasks)
		f.await(2+tenantTasks, time.Second)
		assert.Equal(t, f.count.highest, tenantTasks)
	})
}

// An owner is lost after its claim was stored, and before it has used it: its successor takes the portion
// over, and another service gets all of it once it is not needed.
func TestPortionOfALostOwnerIsTakenOver(t *testing.T) {
	ledgerTest(t, []cluster.Tenant{limitedTenant()}, func(f *ledgerFleet) {
		claimed := make(chan struct{})
		f.store.ledgerWritten = func(string) { close(claimed); f.store.ledgerWritten = nil }
		stop := f.lead("a")
		f.submit("a", ledgerTenant, tenantTasks)
		<-claimed
		stop()
		assert.Equal(t, f.started(), 0)
		f.lead("b")
		f.submit("b", ledgerTenant, tenantTasks)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.started(), 0) // all is allotted to a service without an owner
		f.vacate("a")
		f.lead("a")
		f.await(2*tenantTasks, 6*time.Second)
		assert.Equal(t, f.count.highest, tenantTasks)
	})
}

// Responses to writes of ledgers are lost: the same write is repeated until it is known that it was stored.
func TestLostResponsesOfLedgerWritesAreSettled(t *testing.T) {
	ledgerTest(t, []cluster.Tenant{limitedTenant()}, func(f *ledgerFleet) {
		f.store.loseLedgerResponses = 3
		f.lead("a")
		f.lead("b")
		f.submit("a", ledgerTenant, 24)
		f.submit("b", ledgerTenant, 24)
		f.await(48, 15*time.Second)
		assert.Equal(t, f.count.highest, tenantTasks)
		assert.Assert(t, f.log.count("store did not take ledgers") > 0)
	})
}

// A ledger that can't be read: nothing of its tenant starts, others are not affected, and it is logged
// once. When it can be read again, its tenant goes on.
func TestUnreadableLedgerStopsOnlyItsTenant(t *testing.T) {
	ledgerTest(t, []cluster.Tenant{limitedTenant(), {Name: "south", Weight: 1}}, func(f *ledgerFleet) {
		key := layout.QuotaKey(ledgerTenant)
		f.store.put(key, []byte("not JSON"))
		f.lead("a")
		f.submit("a", ledgerTenant, 1)
		f.submit("a", "south", 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.started(), 1)
		assert.Equal(t, f.log.count("ledger not readable"), 1)
		assert.Equal(t, string(f.store.items[key].Value), "not JSON")
		value, err := layout.Encode(quota.Ledger{Tenant: ledgerTenant})
		assert.NilError(t, err)
		f.store.put(key, value)
		f.await(2, time.Second)
	})
}

// Without limits there are no reads, watches or writes of ledgers, with or without tenants.
func TestNoLedgersWithoutLimits(t *testing.T) {
	for _, tenants := range [][]cluster.Tenant{nil, {{Name: ledgerTenant, Weight: 1}}} {
		ledgerTest(t, tenants, func(f *ledgerFleet) {
			f.config.Tenancy = len(tenants) > 0
			f.lead("a")
			f.submit("a", ledgerTenant, 15)
			f.await(15, 5*time.Second)
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.store.ledgerReads, 0)
			assert.Equal(t, f.store.ledgerWrites, 0)
		})
	}
}

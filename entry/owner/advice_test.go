package owner

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/advicequeue"
	"github.com/tarragonreach/tarragonreach/platform/advice"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// adviserFunc is an advice service.
type adviserFunc func(ctx context.Context, step job.StepID, executors []cluster.ExecutorID) (advice.Tickets, error)

func (f adviserFunc) RequestTickets(ctx context.Context, step job.StepID, executors []cluster.ExecutorID) (advice.Tickets, error) {
	return f(ctx, step, executors)
}

// Close implements Adviser.
func (adviserFunc) Close() {}

// adviceLine is a log line about a queue that needs advice.
type adviceLine struct {
	Queue     string                `json:"queue"`
	Calls     map[adviceOutcome]int `json:"calls"`
	InFlight  int                   `json:"in_flight"`
	OldestMs  int64                 `json:"in_flight_oldest_ms"`
	Waiting   int                   `json:"waiting_turn"`
	WaitingMs int64                 `json:"waiting_turn_oldest_ms"`
	Denied    int                   `json:"denied"`
}

func adviceGauge(scope tally.TestScope, name string) float64 {
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name && g.Tags()["queue"] == advisedQueue {
			return g.Value()
		}
	}
	return -1
}

// Steps that waited for the advice service could not be told from steps that other limits kept from starting.
func TestStepsThatWaitForAdviceAreReported(t *testing.T) {
	inPool(t, func(t *testing.T, ctx context.Context) {
		o, log, scope := reportingOwner()
		o.ctx, o.adviceTurn = ctx, new(advicequeue.Queue).Join()
		o.Adviser = adviserFunc(func(ctx context.Context, _ job.StepID, _ []cluster.ExecutorID) (advice.Tickets, error) {
			<-ctx.Done()
			return advice.Tickets{}, ctx.Err()
		})
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80", Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}}}, time.Now())
		reportFor(o, time.Second)
		o.shard.AddJob(advisedJob(1, shortStep), nil, time.Now())
		reportFor(o, 1500*time.Millisecond)
		assert.Equal(t, adviceGauge(scope, "advice_waiting"), 1.0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonAwaitsAdviceTurn), 1.0)
		o.requestDueAdvice(time.Now())
		reportFor(o, 1500*time.Millisecond)
		assert.Equal(t, adviceGauge(scope, "advice_in_flight"), 1.0)
		assert.Equal(t, adviceGauge(scope, "advice_waiting"), 0.0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonAwaitsAdvice), 1.0)
		lines := linesOf[adviceLine](t, log, "advice")
		last := lines[len(lines)-1]
		assert.Equal(t, last.InFlight, 1)
		assert.Assert(t, last.OldestMs >= longAdvice.Milliseconds())
	})
}

// Steps that no executor may run could not be told from steps that wait for their turn, nor their requests from others.
func TestStepsThatNoExecutorMayRunAreReported(t *testing.T) {
	inPool(t, func(t *testing.T, ctx context.Context) {
		o, log, scope := reportingOwner()
		o.ctx, o.events, o.adviceTurn = ctx, make(chan event, eventQueueSize), new(advicequeue.Queue).Join()
		o.Adviser = adviserFunc(func(context.Context, job.StepID, []cluster.ExecutorID) (advice.Tickets, error) {
			return advice.Tickets{ByExecutor: map[cluster.ExecutorID]string{}, Validity: time.Second}, nil
		})
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80", Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}}}, time.Now())
		o.shard.AddJob(advisedJob(1, shortStep), nil, time.Now())
		reportFor(o, 1500*time.Millisecond)
		assert.Equal(t, adviceGauge(scope, "advice_never_asked"), 1.0)
		o.requestDueAdvice(time.Now())
		time.Sleep(tickInterval)
		o.drain()
		reportFor(o, 3*time.Second)
		assert.Equal(t, adviceGauge(scope, "advice_never_asked"), 0.0)
		assert.Equal(t, adviceGauge(scope, "advice_not_permitted"), 1.0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonNotPermitted), 1.0)
		denied := 0
		for _, line := range linesOf[adviceLine](t, log, "advice") {
			denied += line.Denied
		}
		assert.Equal(t, denied, 1)
	})
}

// Guards against outcomes by which an operator, or the bound of the calls, takes one fault of the service for another.
func TestAdviceOutcomes(t *testing.T) {
	var status atomic.Int64
	arrived, silent := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status.Load() == 0 {
			close(arrived)
			<-silent
			return
		}
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write([]byte("{"))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	client := advice.New(address)
	outcomeOf := func(ctx context.Context) adviceOutcome {
		_, err := client.RequestTickets(ctx, job.StepID{}, nil)
		return adviceOutcomeOf(ctx, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	assert.Equal(t, outcomeOf(ctx), adviceTimedOut)
	close(silent)
	for s, want := range map[int]adviceOutcome{
		http.StatusOK: adviceUnusable, http.StatusBadRequest: adviceUnusable, http.StatusTooManyRequests: adviceBusy,
		http.StatusInternalServerError: adviceFailed, http.StatusServiceUnavailable: adviceFailed,
	} {
		status.Store(int64(s))
		assert.Equal(t, outcomeOf(t.Context()), want, "status %d", s)
	}
	server.Close()
	client = advice.New(address) // without a connection
	assert.Equal(t, outcomeOf(t.Context()), adviceNotSent)
}

// silentConnections is an advice service whose connections go silent for good, while those that are opened later work.
type silentConnections struct {
	mu     sync.Mutex
	opened map[string]bool // the addresses of callers that have called
	silent map[string]bool
	calls  int // on silent connections
	ended  chan struct{}
}

// ServeHTTP implements http.Handler.
func (s *silentConnections) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.opened[r.RemoteAddr] = true
	silent := s.silent[r.RemoteAddr]
	if silent {
		s.calls++
	}
	s.mu.Unlock()
	if silent {
		<-s.ended
		return
	}
	_, _ = w.Write([]byte(`{"good":[["i-1","i-1 9000000000000000"]],"validity-ms":3000}`))
}

// openAll makes calls until the client has as many connections as it keeps open.
func (s *silentConnections) openAll(t *testing.T, client *advice.Client, connections int) {
	for opened := 0; opened < connections; {
		var calls sync.WaitGroup
		for range connections {
			calls.Go(func() {
				_, err := client.RequestTickets(t.Context(), job.StepID{}, nil)
				assert.Check(t, err)
			})
		}
		calls.Wait()
		s.mu.Lock()
		opened = len(s.opened)
		s.mu.Unlock()
	}
}

// LOST: few calls are in flight, so that each idle connection that has gone silent would keep all steps waiting for the
// time limit of a call, one after the other.
func TestSilentConnectionsToTheAdviceServiceCostOneCall(t *testing.T) {
	service := &silentConnections{opened: map[string]bool{}, ended: make(chan struct{})}
	server := httptest.NewServer(service)
	defer server.Close()
	defer close(service.ended)
	client := advice.New(strings.TrimPrefix(server.URL, "http://"))
	service.openAll(t, client, 2)
	service.mu.Lock()
	service.silent = maps.Clone(service.opened)
	service.mu.Unlock()
	p := newAdvisedPool(t.Context(), client, new(advicequeue.Queue))
	p.add(shortStep)
	for p.ends() == 0 {
		p.runFor(tickInterval)
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	assert.Equal(t, service.calls, 1)
}

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/object"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// behavior is what an executor does with one attempt.
type behavior int

const (
	responds behavior = iota
	respondsLate
	respondsTooLate
	respondsError
	losesConnectionAfterRun
	losesConnectionBeforeRun
	isBusy
	refusesConnection
	announcesLeaving
	truncates
	behaviorCount
)

// plannedCall is one caller's request.
type plannedCall struct {
	at, timeout, cancelAfter time.Duration // a zero cancelAfter never cancels
	method, class            string
	keyed                    bool
}

// plan is the scenario of one run: the callers' requests, the executors' behaviors in
// the order of attempts, and the times of a drain and of a configuration change.
type plan struct {
	calls     []plannedCall
	behaviors []behavior
	drainAt   time.Duration
	reloadAt  time.Duration
}

func drawPlan(t *rapid.T) plan {
	ms := func(from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	p := plan{
		behaviors: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behavior {
			return behavior(rapid.IntRange(0, int(behaviorCount)-1).Draw(t, "behavior"))
		}), 1, 20).Draw(t, "behaviors"),
		drainAt:  ms(0, 300, "drainAt"),
		reloadAt: ms(0, 300, "reloadAt"),
	}
	for range rapid.IntRange(1, 16).Draw(t, "calls") {
		p.calls = append(p.calls, plannedCall{
			at:          ms(0, 200, "at"),
			timeout:     ms(20, 800, "timeout"),
			cancelAfter: ms(0, 400, "cancelAfter") * time.Duration(rapid.IntRange(0, 1).Draw(t, "cancels")),
			method:      rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"),
			class:       rapid.SampledFrom([]string{"", "check", "order", "minimal"}).Draw(t, "class"),
			keyed:       rapid.Bool().Draw(t, "keyed"),
		})
	}
	return p
}

// countingTransport behaves as planned and counts the runs and sends of each request ID.
type countingTransport struct {
	mu        sync.Mutex
	behaviors []behavior
	next      int
	runs      map[string]int
	sends     map[string][]fleet.InstanceID
}

func (c *countingTransport) nextBehavior(id string, target fleet.InstanceID) behavior {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.behaviors[c.next%len(c.behaviors)]
	c.next++
	c.sends[id] = append(c.sends[id], target)
	return b
}

func (c *countingTransport) countRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *countingTransport) Send(ctx context.Context, target backend.Target, r *backend.Request) (*backend.Response, error) {
	b := c.nextBehavior(r.ID, target.ID)
	body := "response for " + r.ID
	fail := func(v verdict.Verdict, code verdict.Code) (*backend.Response, error) {
		return nil, verdict.New(v, code, "planned")
	}
	delay := 10 * time.Millisecond
	switch b {
	case isBusy:
		return fail(verdict.NotRun, verdict.CodeBackendServerBusy)
	case refusesConnection:
		return fail(verdict.NotRun, verdict.CodeConnectFailed)
	case announcesLeaving:
		return fail(verdict.NotRun, verdict.CodeBackendServerLeaving)
	case losesConnectionBeforeRun:
		return fail(verdict.MayHaveRun, verdict.CodeConnectionLost)
	case respondsLate:
		delay = 150 * time.Millisecond
	case respondsTooLate:
		delay = 5 * time.Second
	}
	c.countRun(r.ID)
	if backoff.Sleep(ctx, delay) != nil {
		return fail(verdict.MayHaveRun, verdict.CodeTimeout)
	}
	switch b {
	case losesConnectionAfterRun:
		return fail(verdict.MayHaveRun, verdict.CodeConnectionLost)
	case truncates:
		return fail(verdict.MayHaveRun, verdict.CodeResponseTruncated)
	case respondsError:
		return &backend.Response{Status: 500, Header: http.Header{}, Body: bufferedBody{bytes.NewReader([]byte(body))}}, nil
	default:
		return okResponse(body), nil
	}
}

// callResult is the response to one caller.
type callResult struct {
	id, body, verdict string
	status            int
	took              time.Duration
}

// runPlan runs the plan in virtual time. The last result is the number of slots and
// requests still in use after all calls have ended, which must be zero.
func runPlan(t *testing.T, p plan) (*countingTransport, []callResult, int) {
	transport := &countingTransport{behaviors: p.behaviors, runs: map[string]int{}, sends: map[string][]fleet.InstanceID{}}
	results := make([]callResult, len(p.calls))
	leaked := 0
	synctest.Test(t, func(t *testing.T) {
		g, d := newTestGateway(transport.Send, withGuard(&fakeGuard{refusalVerdict: verdict.NotRun}))
		d.SetConfig(testConfig().Apply(object.Change{Put: object.Document{Services: []object.Service{{Name: "sportello", Slots: 2, QueueLimit: 4}}}}))
		ctx, stop := context.WithCancel(t.Context())
		go g.Run(ctx)
		time.AfterFunc(p.drainAt, func() { d.SetRecords([]fleet.Record{{ID: "a", State: fleet.StateDraining, Pool: "p"}}) })
		time.AfterFunc(p.reloadAt, func() { d.SetConfig(testConfig()) })
		var callers sync.WaitGroup
		for i, planned := range p.calls {
			callers.Go(func() { results[i] = makeCall(g, i, planned) })
		}
		callers.Wait()
		leaked = g.table.Load().services["sportello"].live.InFlight() + int(g.inFlight.sum())
		stop()
		synctest.Wait()
	})
	return transport, results, leaked
}

func makeCall(g *Gateway, i int, planned plannedCall) callResult {
	time.Sleep(planned.at)
	id := fmt.Sprint("id-", i)
	r := httptest.NewRequest(planned.method, "/s/sportello/x", nil)
	r.Header.Set(header.RequestID, id)
	r.Header.Set(header.Timeout, planned.timeout.String())
	if planned.class != "" {
		r.Header.Set(header.Class, planned.class)
	}
	if planned.keyed {
		r.Header.Set(header.IdempotencyKey, id)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if planned.cancelAfter > 0 {
		time.AfterFunc(planned.cancelAfter, cancel)
	}
	start := time.Now()
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r.WithContext(ctx))
	return callResult{id, w.Body.String(), w.Header().Get(header.Verdict), w.Code, time.Since(start)}
}

func repeatable(c plannedCall) bool {
	return c.class == "check" || c.class != "order" && c.method != "POST"
}

// TestVerdictsMatchRuns guards, under random plans, against verdicts that contradict the
// runs, non-repeatable requests that run twice, leaked slots and late responses.
func TestVerdictsMatchRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		transport, results, leaked := runPlan(t, p)
		assert.Equal(rt, leaked, 0, "slots or requests were leaked")
		for i, got := range results {
			runs, sends := transport.runs[got.id], transport.sends[got.id]
			switch got.verdict {
			case "not-run":
				assert.Equal(rt, runs, 0, "%s has the verdict not-run", got.id)
			case "ran":
				assert.Assert(rt, runs >= 1, "%s has the verdict ran", got.id)
				assert.Equal(rt, got.body, "response for "+got.id)
			default:
				assert.Equal(rt, got.verdict, "may-have-run")
			}
			if !repeatable(p.calls[i]) {
				assert.Assert(rt, runs <= 1, "%s ran %d times", got.id, runs)
			}
			assert.Assert(rt, len(sends) <= 2, "%s was sent %d times", got.id, len(sends))
			assert.Assert(rt, len(sends) < 2 || sends[0] != sends[1], "%s was sent again to the executor that failed", got.id)
			assert.Assert(rt, got.took <= p.calls[i].timeout, "%s took %v of %v", got.id, got.took, p.calls[i].timeout)
		}
	})
}

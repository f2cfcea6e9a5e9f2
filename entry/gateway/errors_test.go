package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/submission"
	"gotest.tools/v3/assert"
)

// fakeGuard grants a permit for every key, or refuses all keys with beginErr. It records
// the outcomes.
type fakeGuard struct {
	beginErr       error
	refusalVerdict verdict.Verdict

	mu       sync.Mutex
	finished []submission.Outcome
}

func (g *fakeGuard) Begin(context.Context, submission.Key, int) (submission.Permit, error) {
	return g, g.beginErr
}

func (g *fakeGuard) Finish(o submission.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finished = append(g.finished, o)
}

func (g *fakeGuard) NextTicket(string) string { return "ticket-1" }

func (g *fakeGuard) Refusal(submission.Key, int) verdict.Verdict { return g.refusalVerdict }

func withGuard(guard submission.Guard) func(*Options) { return func(o *Options) { o.Guard = guard } }

func respondOK(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
	return okResponse("ok"), nil
}

func failWith(err error) sendFunc {
	return func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) { return nil, err }
}

func TestRefusalsBeforeSending(t *testing.T) {
	longID := strings.Repeat("x", maxIDBytes+1)
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		code    verdict.Code
		status  int
	}{
		{"unknown service", "GET", "/s/nowhere/x", "", nil, verdict.CodeUnknownService, 404},
		{"unknown path", "GET", "/elsewhere", "", nil, verdict.CodeUnknownService, 404},
		{"unknown class", "GET", "/s/sportello/x", "", []string{header.Class, "nope"}, verdict.CodeUnknownClass, 400},
		{"unknown tenant", "GET", "/s/sportello/x", "", []string{header.Tenant, "nobody"}, verdict.CodeUnknownTenant, 400},
		{"timeout", "GET", "/s/sportello/x", "", []string{header.Timeout, "soon"}, verdict.CodeBadRequest, 400},
		{"negative timeout", "GET", "/s/sportello/x", "", []string{header.Timeout, "-1s"}, verdict.CodeBadRequest, 400},
		{"attempt", "GET", "/s/sportello/x", "", []string{header.Attempt, "first"}, verdict.CodeBadRequest, 400},
		{"long ID", "GET", "/s/sportello/x", "", []string{header.RequestID, longID}, verdict.CodeBadRequest, 400},
		{"large body", "POST", "/s/sportello/x", strings.Repeat("x", 1001), nil, verdict.CodeBodyTooLarge, 413},
		{"ticket by GET", "GET", "/v1/tickets", "", nil, verdict.CodeBadRequest, 400},
		{"ticket for nobody", "POST", "/v1/tickets", "", []string{header.Tenant, "nobody"}, verdict.CodeUnknownTenant, 400},
	}
	for _, keyed := range []bool{false, true} {
		guard := &fakeGuard{refusalVerdict: verdict.MayHaveRun}
		g, _ := newTestGateway(respondOK, withGuard(guard))
		for _, c := range cases {
			headers, want := c.headers, verdict.NotRun
			if keyed && !strings.HasPrefix(c.path, ticketsPath) {
				headers = append(headers, header.IdempotencyKey, "k")
				want = verdict.MayHaveRun // An earlier copy may have run.
			}
			w := call(g, c.method, c.path, c.body, headers...)
			p := problemOf(t, w)
			assert.Equal(t, p.Code, c.code, c.name)
			assert.Equal(t, w.Code, c.status, c.name)
			assert.Equal(t, p.Verdict, want.String(), c.name)
		}
	}
}

func TestRefusalOfKeyedRepeatableRequestCoversTheSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notRun := verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "cause")
		g, _ := newTestGateway(failWith(notRun), withGuard(&fakeGuard{refusalVerdict: verdict.MayHaveRun}))
		p := problemOf(t, call(g, "GET", "/s/sportello/x", "", header.IdempotencyKey, "k", header.Attempt, "2"))
		assert.Equal(t, p.Verdict, "may-have-run")
	})
}

func TestChunkedBodyOverTheLimit(t *testing.T) {
	g, _ := newTestGateway(respondOK, nil)
	r := httptest.NewRequest("POST", "/s/sportello/x", io.MultiReader(strings.NewReader(strings.Repeat("x", 2000))))
	r.ContentLength = -1
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, problemOf(t, w).Code, verdict.CodeBodyTooLarge)
	assert.Equal(t, w.Code, http.StatusRequestEntityTooLarge)
}

// readStream is a transport that reads the streamed request body.
func readStream(_ context.Context, _ backend.Target, r *backend.Request) (*backend.Response, error) {
	if _, err := io.Copy(io.Discard, r.Stream); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "cut")
	}
	return okResponse("ok"), nil
}

func TestStreamedBodyOverTheLimit(t *testing.T) {
	settings := DefaultSettings()
	settings.BufferBytes = 100
	g, _ := newTestGateway(readStream, func(o *Options) { o.Settings = settings })
	for length, want := range map[int]int{900: http.StatusOK, 1100: http.StatusRequestEntityTooLarge} {
		r := httptest.NewRequest("PUT", "/s/sportello/x", io.MultiReader(strings.NewReader(strings.Repeat("x", length))))
		r.ContentLength = -1
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, w.Code, want)
		if want != http.StatusOK {
			assert.Equal(t, problemOf(t, w).Verdict, "may-have-run", "a part of the body was sent")
		}
	}
}

func TestTransportErrorsKeepTheirVerdict(t *testing.T) {
	codes := []verdict.Code{
		verdict.CodeConnectFailed, verdict.CodeBackendServerBusy, verdict.CodeBackendServerLeaving, verdict.CodeConnectionLost,
		verdict.CodeResponseTruncated, verdict.CodeResponseTooLarge, verdict.CodeResponseMismatched, verdict.CodeTimeout, verdict.CodeInternal,
	}
	for _, code := range codes {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			synctest.Test(t, func(t *testing.T) {
				guard := &fakeGuard{}
				for _, headers := range [][]string{nil, {header.IdempotencyKey, "k"}} {
					g, _ := newTestGateway(failWith(verdict.New(v, code, "cause")), withGuard(guard))
					w := call(g, "POST", "/s/sportello/x", "", headers...)
					p := problemOf(t, w)
					assert.Equal(t, p.Verdict, v.String(), "%s", code)
					assert.Equal(t, p.Code, code)
					assert.Equal(t, w.Code, code.Status())
				}
				assert.Equal(t, len(guard.finished), 1)
				assert.Equal(t, guard.finished[0].Verdict, v)
			})
		}
	}
	g, _ := newTestGateway(failWith(errors.New("no verdict")), nil)
	assert.Equal(t, problemOf(t, call(g, "POST", "/s/sportello/x", "")).Verdict, "may-have-run")
}

func TestFailedRetryKeepsMayHaveRunVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
			sends++
			if sends == 1 {
				return nil, verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "lost")
			}
			return nil, verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "refused")
		}, nil)
		p := problemOf(t, call(g, "GET", "/s/sportello/x", ""))
		assert.Equal(t, sends, 2)
		assert.Equal(t, p.Verdict, "may-have-run")
	})
}

func TestGuardDecidesOnKeyedRequests(t *testing.T) {
	duplicate := verdict.New(verdict.Ran, verdict.CodeDuplicate, "seen before")
	g, _ := newTestGateway(respondOK, withGuard(&fakeGuard{beginErr: duplicate}))
	w := call(g, "POST", "/s/sportello/x", "", header.IdempotencyKey, "k")
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, problemOf(t, w).Verdict, "ran")
	assert.Equal(t, w.Header().Get(header.NextTicket), "ticket-1")

	w = call(g, "POST", "/s/sportello/x", "", header.IdempotencyKey, "k", header.Class, "check")
	assert.Equal(t, w.Code, http.StatusOK, "a repeatable request needs no guard")

	guard := &fakeGuard{}
	g, _ = newTestGateway(respondOK, withGuard(guard))
	w = call(g, "POST", "/s/sportello/x", "", header.IdempotencyKey, "k")
	assert.Equal(t, w.Body.String(), "ok")
	assert.Equal(t, string(guard.finished[0].Body), "ok")

	g, _ = newTestGateway(respondOK, nil)
	w = call(g, "POST", "/s/sportello/x", "", header.IdempotencyKey, "k")
	assert.Equal(t, problemOf(t, w).Code, verdict.CodeClaimUnavailable)
}

func TestNoBackendServer(t *testing.T) {
	d := directory.New(directory.Options{List: &fakeList{}})
	d.SetConfig(testConfig())
	g := New(Options{Self: "e1", Zone: "z1", Directory: d, Transport: sendFunc(respondOK)})
	w := call(g, "GET", "/s/sportello/x", "")
	assert.Equal(t, problemOf(t, w).Verdict, "not-run")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(header.RetryAfter), "1")
}

// respondAfter returns a transport that responds when the channel is closed.
func respondAfter(release <-chan struct{}) sendFunc {
	return func(ctx context.Context, _ backend.Target, _ *backend.Request) (*backend.Response, error) {
		select {
		case <-release:
			return okResponse("delayed"), nil
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "timeout")
		}
	}
}

func TestQueueRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		g, d := newTestGateway(respondAfter(release), nil)
		config := testConfig().Apply(object.Change{Put: object.Document{Services: []object.Service{{Name: "sportello", Slots: 1, QueueLimit: 1}}}})
		d.SetConfig(config)
		done := make(chan *httptest.ResponseRecorder, 10)
		start := func(headers ...string) {
			go func() { done <- call(g, "POST", "/s/sportello/x", "", headers...) }()
			synctest.Wait()
		}
		start(header.Tenant, "capped")
		assert.Equal(t, problemOf(t, call(g, "POST", "/s/sportello/x", "", header.Tenant, "capped")).Code, verdict.CodeQuotaExceeded)
		start()
		start(header.Timeout, "1s") // Fills the queue of one.
		w := call(g, "POST", "/s/sportello/x", "")
		assert.Equal(t, problemOf(t, w).Code, verdict.CodeQueueFull)
		assert.Assert(t, w.Header().Get(header.RetryAfter) != "")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		p := problemOf(t, <-done)
		assert.Equal(t, p.Code, verdict.CodeTimeout, "the timeout expired in the queue")
		assert.Equal(t, p.Verdict, "not-run")
		start(header.Class, "minimal")
		start(header.Class, "check") // Displaces the request of the class with the lower priority.
		assert.Equal(t, problemOf(t, <-done).Code, verdict.CodeQueueFull)
		close(release)
		for range 3 {
			assert.Equal(t, (<-done).Code, http.StatusOK)
		}
	})
}

func TestCanceledRequestsLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		g, d := newTestGateway(respondAfter(release), nil)
		d.SetConfig(testConfig().Apply(object.Change{Put: object.Document{Services: []object.Service{{Name: "sportello", Slots: 1}}}}))
		done := make(chan int, 100)
		for range 2 {
			go func() { done <- call(g, "GET", "/s/sportello/x", "").Code }()
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		for range 50 {
			go func() {
				w := httptest.NewRecorder()
				g.ServeHTTP(w, httptest.NewRequest("GET", "/s/sportello/x", nil).WithContext(ctx))
				done <- w.Code
			}()
		}
		synctest.Wait()
		live := g.table.Load().services["sportello"].live
		assert.Equal(t, live.Waiting(), 50)
		cancel()
		synctest.Wait()
		assert.Equal(t, live.Waiting(), 0)
		for range 50 {
			assert.Equal(t, <-done, verdict.StatusClientClosedRequest)
		}
		close(release)
		synctest.Wait()
		assert.Equal(t, live.InFlight(), 0)
	})
}

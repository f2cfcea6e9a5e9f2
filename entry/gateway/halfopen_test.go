package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/standin"
	"gotest.tools/v3/assert"
)

const (
	halfOpenExecutors = 4
	halfOpenCallers   = 16
	halfOpenShare     = 0.3
	halfOpenTimeout   = 10 * time.Second
	halfOpenMaxWait   = time.Minute
	// halfOpenMinConnections is how many connections each executor has before some become
	// half-open: halfOpenShare of two is one.
	halfOpenMinConnections = 2
)

// halfOpenResult is the result of a run in which connections become half-open.
type halfOpenResult struct {
	halfOpened, succeeded, lost int64
	replaced                    time.Duration // until no half-open connection was left

	mu     sync.Mutex
	losses map[string]int // by reason
}

// addLoss counts a lost request.
func (r *halfOpenResult) addLoss(reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.losses == nil {
		r.losses = map[string]int{}
	}
	r.lost++
	r.losses[reason.Error()]++
}

// runHalfOpen makes connections half-open under load and waits until they are replaced.
func runHalfOpen(tb testing.TB, naive bool) *halfOpenResult {
	tb.Helper()
	l, servers := newStandinFleet(tb, naive)
	defer l.stop()
	return runHalfOpenOn(tb, l, servers, func(r *halfOpenResult) bool {
		return atomic.LoadInt64(&r.succeeded) >= halfOpenCallers && fewestConnections(servers) >= halfOpenMinConnections
	})
}

// fewestConnections returns the number of connections of the executor that has the fewest.
func fewestConnections(servers []*standin.Server) int {
	fewest := servers[0].Connections()
	for _, s := range servers {
		fewest = min(fewest, s.Connections())
	}
	return fewest
}

// waitUntil waits until the condition holds.
func waitUntil(tb testing.TB, condition func() bool) {
	tb.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > halfOpenMaxWait {
			tb.Error("condition not reached")
			return
		}
	}
}

// runHalfOpenOn sends requests, makes connections half-open once ready reports true, and
// waits until they are replaced.
func runHalfOpenOn(tb testing.TB, l *loopback, servers []*standin.Server, ready func(*halfOpenResult) bool) *halfOpenResult {
	tb.Helper()
	r := new(halfOpenResult)
	var done atomic.Bool
	var callers sync.WaitGroup
	for range halfOpenCallers {
		callers.Go(func() {
			for !done.Load() {
				if err := sendOnce(l.gateway.URL); err != nil {
					r.addLoss(err)
				} else {
					atomic.AddInt64(&r.succeeded, 1)
				}
			}
		})
	}
	waitUntil(tb, func() bool { return ready(r) })
	for _, s := range servers {
		r.halfOpened += int64(s.MakeHalfOpen(halfOpenShare))
	}
	start := time.Now()
	for halfOpenLeft(servers) > 0 && time.Since(start) < halfOpenMaxWait {
		time.Sleep(10 * time.Millisecond)
	}
	r.replaced = time.Since(start)
	done.Store(true)
	callers.Wait()
	return r
}

func halfOpenLeft(servers []*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += s.HalfOpenConnections()
	}
	return n
}

// newStandinFleet starts stand-in executors behind the gateway or the naive forwarder.
func newStandinFleet(tb testing.TB, naive bool) (*loopback, []*standin.Server) {
	l := &loopback{}
	list := &fakeList{}
	var servers []*standin.Server
	forwarder := &naiveForwarder{transport: newClientTransport()}
	for i := range halfOpenExecutors {
		s, err := standin.Start("127.0.0.1:0", standin.Settings{Slots: 8, ServiceTime: 10 * time.Millisecond})
		assert.NilError(tb, err)
		l.close = append(l.close, func() { _ = s.Close() })
		servers = append(servers, s)
		forwarder.addresses = append(forwarder.addresses, s.Address())
		list.instances = append(list.instances, fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("x", i)), Kind: fleet.KindBackendServer,
			Zone: "z1", Address: s.Address(), Labels: label.Set{fleet.LabelService: "sportello"}})
	}
	var handler http.Handler = forwarder
	if !naive {
		handler = newRealGateway(tb, l, list, object.Service{Name: "sportello", Slots: 8, Connections: 64})
	}
	l.gateway = httptest.NewServer(handler)
	l.close = append(l.close, l.gateway.Close)
	return l, servers
}

var halfOpenClient = &http.Client{Timeout: halfOpenTimeout, Transport: newClientTransport()}

// sendOnce sends one repeatable request. It returns an error unless a response with status
// 200 arrived in time.
func sendOnce(url string) error {
	r, _ := http.NewRequest(http.MethodGet, url+"/s/sportello/x", nil)
	r.Header.Set(header.Class, "check")
	r.Header.Set(header.Timeout, halfOpenTimeout.String())
	response, err := halfOpenClient.Do(r)
	if err != nil {
		return errors.Unwrap(err) // Without the address, so that equal reasons are counted together.
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var problem Problem
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return fmt.Errorf("status %d, %s: %s", response.StatusCode, problem.Code, problem.Detail)
}

func TestNoRepeatableRequestIsLostToHalfOpenConnections(t *testing.T) {
	r := runHalfOpen(t, false)
	assert.Assert(t, r.halfOpened > 0)
	assert.Equal(t, r.lost, int64(0), "lost, besides %d that succeeded: %v", r.succeeded, r.losses)
	assert.Assert(t, r.replaced < halfOpenMaxWait, "half-open connections are left")
}

// Connections become half-open before any response has shown how long requests take.
func TestHalfOpenConnectionsBeforeTheFirstResponseLoseNoRequest(t *testing.T) {
	l, servers := newStandinFleet(t, false)
	defer l.stop()
	for _, s := range servers {
		s.SetServiceTime(time.Second)
	}
	r := runHalfOpenOn(t, l, servers, func(*halfOpenResult) bool { return fewestConnections(servers) >= halfOpenMinConnections })
	assert.Assert(t, r.halfOpened > 0)
	assert.Equal(t, r.lost, int64(0), "lost, besides %d that succeeded: %v", r.succeeded, r.losses)
}

func BenchmarkRequestPathHalfOpen(b *testing.B) {
	comparePolicyAndNaive(b, func(b *testing.B, naive bool) {
		r := runHalfOpen(b, naive)
		b.ReportMetric(float64(r.halfOpened), "connections-silenced")
		b.ReportMetric(float64(r.lost), "requests-lost")
		b.ReportMetric(float64(r.succeeded), "requests-answered")
		b.ReportMetric(r.replaced.Seconds(), "s-until-replaced")
	})
}

func comparePolicyAndNaive(b *testing.B, measure func(*testing.B, bool)) {
	for name, naive := range map[string]bool{"policy": false, "naive": true} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measure(b, naive)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

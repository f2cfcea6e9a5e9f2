package gateway

import (
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
	silentExecutors = 4
	silentCallers   = 16
	silentShare     = 0.3
	silentTimeout   = 10 * time.Second
	silentWarmUp    = 500 * time.Millisecond
	silentGiveUp    = time.Minute
)

// silentResult is what callers saw while connections went silent.
type silentResult struct {
	silenced, answered, lost int64
	replaced                 time.Duration // until no silent connection was left
}

// runSilent silences connections under load and waits until they are replaced.
func runSilent(tb testing.TB, naive bool) silentResult {
	l, servers := newStandinFleet(tb, naive)
	defer l.stop()
	var r silentResult
	var done atomic.Bool
	var callers sync.WaitGroup
	for range silentCallers {
		callers.Go(func() {
			for !done.Load() {
				if askOnce(l.gateway.URL) {
					atomic.AddInt64(&r.answered, 1)
				} else {
					atomic.AddInt64(&r.lost, 1)
				}
			}
		})
	}
	time.Sleep(silentWarmUp)
	for _, s := range servers {
		r.silenced += int64(s.MakeHalfOpen(silentShare))
	}
	began := time.Now()
	for silentLeft(servers) > 0 && time.Since(began) < silentGiveUp {
		time.Sleep(10 * time.Millisecond)
	}
	r.replaced = time.Since(began)
	done.Store(true)
	callers.Wait()
	return r
}

func silentLeft(servers []*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += s.HalfOpenConnections()
	}
	return n
}

// newStandinFleet serves stand-in executors through the gateway or the naive forwarder.
func newStandinFleet(tb testing.TB, naive bool) (*loopback, []*standin.Server) {
	l := &loopback{}
	list := &fakeList{}
	var servers []*standin.Server
	forwarder := &naiveForwarder{client: newClient()}
	for i := range silentExecutors {
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

var silentClient = &http.Client{Timeout: silentTimeout, Transport: newClient()}

// askOnce sends one repeatable request and reports whether it was answered in time.
func askOnce(url string) bool {
	r, _ := http.NewRequest(http.MethodGet, url+"/s/sportello/x", nil)
	r.Header.Set(header.Class, "check")
	r.Header.Set(header.Timeout, silentTimeout.String())
	answer, err := silentClient.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func TestNoRepeatableRequestIsLostToSilentConnections(t *testing.T) {
	r := runSilent(t, false)
	assert.Assert(t, r.silenced > 0)
	assert.Equal(t, r.lost, int64(0), "of %d answered", r.answered)
	assert.Assert(t, r.replaced < silentGiveUp, "silent connections are left")
}

func BenchmarkRequestPathSilent(b *testing.B) {
	comparePolicyAndNaive(b, func(b *testing.B, naive bool) {
		r := runSilent(b, naive)
		b.ReportMetric(float64(r.silenced), "connections-silenced")
		b.ReportMetric(float64(r.lost), "requests-lost")
		b.ReportMetric(float64(r.answered), "requests-answered")
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

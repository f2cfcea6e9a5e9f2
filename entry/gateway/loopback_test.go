package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"gotest.tools/v3/assert"
)

const (
	loopbackExecutors = 4
	loopbackCallers   = 32
	loopbackDuration  = 2 * time.Second
	loopbackRounds    = 3
)

// loopback is a fleet on loopback sockets behind the gateway and behind the naive
// forwarder.
type loopback struct {
	gateway, naive *httptest.Server
	close          []func()
}

func newLoopback(tb testing.TB) *loopback {
	l := &loopback{}
	list := &fakeList{}
	var addresses []string
	for i := range loopbackExecutors {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "the parcel is in the register")
		}))
		l.close = append(l.close, server.Close)
		address := server.Listener.Addr().String()
		addresses = append(addresses, address)
		list.instances = append(list.instances, fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("x", i)), Kind: fleet.KindBackendServer,
			Zone: "z1", Address: address, Labels: label.Set{fleet.LabelService: "sportello"}})
	}
	g := newRealGateway(tb, l, list, object.Service{Name: "sportello", Slots: 64, Connections: 64})
	l.gateway = httptest.NewServer(g)
	l.naive = httptest.NewServer(&naiveForwarder{addresses: addresses, transport: newClientTransport()})
	l.close = append(l.close, l.gateway.Close, l.naive.Close)
	return l
}

// newRealGateway returns a running gateway with the HTTP transport; l.stop stops it.
func newRealGateway(tb testing.TB, l *loopback, list *fakeList, service object.Service) *Gateway {
	d := directory.New(directory.Options{List: list})
	d.SetConfig(testConfig().Apply(object.Change{Put: object.Document{Services: []object.Service{service}}}))
	transport := backend.New(backend.Options{})
	g := New(Options{Self: "e1", Zone: "z1", Directory: d, Transport: transport})
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	go g.Run(ctx)
	l.close = append(l.close, stop, func() { _ = transport.Close() })
	for len(d.Snapshot().Services["sportello"].Endpoints) == 0 {
		time.Sleep(time.Millisecond)
	}
	return g
}

func (l *loopback) stop() {
	for _, fn := range slices.Backward(l.close) {
		fn()
	}
}

func newClientTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
}

// naiveForwarder is the baseline: it forwards requests round robin and copies the
// responses.
type naiveForwarder struct {
	addresses []string
	next      atomic.Uint64
	transport *http.Transport
}

func (n *naiveForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = n.addresses[n.next.Add(1)%uint64(len(n.addresses))]
	out.RequestURI = ""
	response, err := n.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for key, values := range response.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// sendRequest sends one request and fails the test unless the response is complete and
// has status 200.
func sendRequest(tb testing.TB, transport *http.Transport, url string) {
	r, _ := http.NewRequest(http.MethodGet, url+"/s/sportello/parcels/7", nil)
	r.Header.Set(header.Class, "check")
	response, err := transport.RoundTrip(r)
	if err != nil {
		tb.Error(err)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		tb.Errorf("status %d, error %v", response.StatusCode, err)
	}
}

// throughput returns the requests per second of loopbackCallers callers, each of which
// sends its next request after the last response.
func throughput(tb testing.TB, url string) float64 {
	transport := newClientTransport()
	defer transport.CloseIdleConnections()
	var count atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for range loopbackCallers {
		callers.Go(func() {
			for time.Since(start) < loopbackDuration {
				sendRequest(tb, transport, url)
				count.Add(1)
			}
		})
	}
	callers.Wait()
	return float64(count.Load()) / time.Since(start).Seconds()
}

// p99 returns the 99th percentile of latency at an offered rate in requests per second.
func p99(tb testing.TB, url string, rate float64) time.Duration {
	transport := newClientTransport()
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	var callers sync.WaitGroup
	start := time.Now()
	for caller := range loopbackCallers {
		callers.Go(func() {
			interval := time.Duration(loopbackCallers / rate * float64(time.Second))
			due := start.Add(interval * time.Duration(caller) / loopbackCallers)
			var callerLatencies []time.Duration
			for due.Sub(start) < loopbackDuration {
				time.Sleep(time.Until(due))
				sent := time.Now()
				sendRequest(tb, transport, url)
				callerLatencies = append(callerLatencies, time.Since(sent))
				due = due.Add(interval)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, callerLatencies...)
		})
	}
	callers.Wait()
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func BenchmarkRequestPathLoopback(b *testing.B) {
	l := newLoopback(b)
	defer l.stop()
	throughput(b, l.gateway.URL) // Warm-up.
	for range b.N {
		var ratios, addedP99, rates, naiveRates []float64
		for range loopbackRounds {
			naive := throughput(b, l.naive.URL)
			gateway := throughput(b, l.gateway.URL)
			ratios = append(ratios, gateway/naive)
			rates = append(rates, gateway)
			naiveRates = append(naiveRates, naive)
			added := p99(b, l.gateway.URL, naive/2) - p99(b, l.naive.URL, naive/2)
			addedP99 = append(addedP99, float64(added.Microseconds())/1000)
		}
		b.ReportMetric(median(naiveRates), "naive-requests/s")
		b.ReportMetric(median(rates), "requests/s")
		b.ReportMetric(median(ratios), "throughput-ratio")
		b.ReportMetric(median(addedP99), "added-p99-ms-at-half-load")
	}
	b.ReportMetric(0, "ns/op")
}

// nullWriter is a response writer that discards the response.
type nullWriter struct{ h http.Header }

func (w *nullWriter) Header() http.Header         { return w.h }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}

const handlerRequests = 200_000

// BenchmarkRequestPathHandler measures the gateway's own work for one request, with a
// transport that responds at once; the naive baseline serialises requests by one lock.
func BenchmarkRequestPathHandler(b *testing.B) {
	response := okResponse("")
	g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
		return response, nil
	}, nil)
	var lock sync.Mutex
	locked := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lock.Lock()
		defer lock.Unlock()
		g.ServeHTTP(w, r)
	})
	for _, threads := range []int{1, 4, 8} {
		b.Run(fmt.Sprint("policy/threads=", threads), func(b *testing.B) { benchmarkHandler(b, g, threads) })
		b.Run(fmt.Sprint("naive/threads=", threads), func(b *testing.B) { benchmarkHandler(b, locked, threads) })
	}
}

func benchmarkHandler(b *testing.B, handler http.Handler, threads int) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		var callers sync.WaitGroup
		for range threads {
			callers.Go(func() { serveMany(handler, handlerRequests/threads) })
		}
		callers.Wait()
		elapsed := time.Since(start)
		runtime.ReadMemStats(&after)
		b.ReportMetric(handlerRequests/elapsed.Seconds()/1000, "thousand-requests/s")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/handlerRequests, "allocs/request")
	}
	b.ReportMetric(0, "ns/op")
}

func serveMany(handler http.Handler, n int) {
	w := &nullWriter{h: http.Header{}}
	r := httptest.NewRequest("GET", "/s/sportello/x", nil)
	r.Header.Set(header.Class, "check")
	r.Header.Set(header.Tenant, "trapani")
	for range n {
		clear(w.h)
		handler.ServeHTTP(w, r)
	}
}

func TestLoopbackRespondsThroughTheHTTPTransport(t *testing.T) {
	l := newLoopback(t)
	defer l.stop()
	transport := newClientTransport()
	defer transport.CloseIdleConnections()
	for range 20 {
		sendRequest(t, transport, l.gateway.URL)
	}
	assert.Assert(t, !t.Failed())
}

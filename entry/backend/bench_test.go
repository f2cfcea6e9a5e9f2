package backend_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// sendFunc sends one repeatable request and reads the response.
type sendFunc func(ctx context.Context, target backend.Target, id string) error

func sendOver(transport backend.Transport) sendFunc {
	return func(ctx context.Context, target backend.Target, id string) error {
		r := &backend.Request{ID: id, Method: http.MethodPost, Path: "/check", Header: http.Header{}, Body: benchBody, Repeatable: true}
		response, err := transport.Send(ctx, target, r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
}

func sendOverClient(client *http.Client) sendFunc {
	return func(ctx context.Context, target backend.Target, id string) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/check", bytes.NewReader(benchBody))
		if err != nil {
			return err
		}
		r.Header.Set("Tarragon-Request-Id", id)
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
}

var benchBody = bytes.Repeat([]byte("x"), 512)

func plainClient(t testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// BenchmarkRequestPathSend measures one attempt over loopback, in comparison with a plain http.Client.
func BenchmarkRequestPathSend(b *testing.B) {
	cases := []struct {
		name string
		send sendFunc
	}{
		{"transport", sendOver(newTransport(b, backend.Options{}))},
		{"naive-http-client", sendOverClient(plainClient(b))},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			_, target := startServer(b, standin.Settings{Slots: 64})
			target.Connections = 64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				for pb.Next() {
					if err := c.send(ctx, target, "bench"); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

const (
	halfOpenExecutors = 10
	halfOpenSenders   = 40
	halfOpenShare     = 0.3
	// replacementTimeout is how long the benchmark waits until half-open connections are replaced.
	replacementTimeout = 8 * time.Second
	// halfOpenRequestTimeout is the timeout of each request.
	halfOpenRequestTimeout = 4 * time.Second
)

// BenchmarkRequestPathHalfOpenConnections makes 30% of the open connections of ten
// executors half-open at once, while repeatable requests continue.
func BenchmarkRequestPathHalfOpenConnections(b *testing.B) {
	b.Run("transport", func(b *testing.B) {
		for b.Loop() {
			measureHalfOpen(b, retryLost(sendOver(newTransport(b, backend.Options{}))))
		}
	})
	b.Run("naive-http-client", func(b *testing.B) {
		for b.Loop() {
			measureHalfOpen(b, sendOverClient(plainClient(b)))
		}
	})
}

// retryLost wraps send and repeats a request whose connection was lost, once.
func retryLost(send sendFunc) sendFunc {
	return func(ctx context.Context, target backend.Target, id string) error {
		err := send(ctx, target, id)
		if verdict.CodeOf(err) == verdict.CodeConnectionLost {
			return send(ctx, target, id)
		}
		return err
	}
}

func measureHalfOpen(b *testing.B, send sendFunc) {
	servers, targets := startServers(b, halfOpenExecutors)
	var lost, sent, slowest atomic.Int64
	var injected atomic.Bool
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range halfOpenSenders {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				started := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), halfOpenRequestTimeout)
				err := send(ctx, targets[(i+n)%len(targets)], fmt.Sprintf("%d-%d", i, n))
				cancel()
				sent.Add(1)
				if injected.Load() {
					slowest.Store(max(slowest.Load(), int64(time.Since(started))))
				}
				if err != nil {
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	n := 0
	for _, server := range servers {
		n += server.MakeHalfOpen(halfOpenShare)
	}
	injected.Store(true)
	replaced := waitForReplacement(servers)
	close(stop)
	group.Wait()
	b.ReportMetric(float64(n), "silenced-connections")
	b.ReportMetric(float64(lost.Load()), "lost-requests")
	b.ReportMetric(float64(sent.Load()), "requests")
	b.ReportMetric(replaced.Seconds(), "s-until-replaced")
	b.ReportMetric(time.Duration(slowest.Load()).Seconds(), "s-slowest-request")
}

func startServers(b *testing.B, n int) ([]*standin.Server, []backend.Target) {
	b.Helper()
	servers, targets := make([]*standin.Server, n), make([]backend.Target, n)
	for i := range n {
		servers[i], targets[i] = startServer(b, standin.Settings{Slots: 64, ServiceTime: 5 * time.Millisecond})
		targets[i].Connections = 64
	}
	return servers, targets
}

// waitForReplacement waits until no half-open connection remains, at most
// replacementTimeout, and returns the time that it took.
func waitForReplacement(servers []*standin.Server) time.Duration {
	started := time.Now()
	for time.Since(started) < replacementTimeout {
		remaining := 0
		for _, server := range servers {
			remaining += server.HalfOpenConnections()
		}
		if remaining == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

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

// sender sends one repeatable request and reads its answer.
type sender func(ctx context.Context, target backend.Target, id string) error

func sendOver(transport backend.Transport) sender {
	return func(ctx context.Context, target backend.Target, id string) error {
		r := &backend.Request{ID: id, Method: http.MethodPost, Path: "/check", Header: http.Header{}, Body: benchBody, Repeatable: true}
		answer, err := transport.Send(ctx, target, r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		return errors.Join(err, answer.Body.Close())
	}
}

func sendOverClient(client *http.Client) sender {
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

// BenchmarkRequestPathSend is one attempt over loopback beside a plain http.Client.
func BenchmarkRequestPathSend(b *testing.B) {
	cases := []struct {
		name string
		send sender
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
	silentExecutors = 10
	silentSenders   = 40
	silentShare     = 0.3
	// silentWatch is how long a benchmark waits for silent connections to be replaced.
	silentWatch = 8 * time.Second
	// silentTimeout is the timeout of each request.
	silentTimeout = 4 * time.Second
)

// BenchmarkRequestPathSilentConnections lets 30% of the open connections of ten
// executors go silent at once, while repeatable requests go on.
func BenchmarkRequestPathSilentConnections(b *testing.B) {
	b.Run("transport", func(b *testing.B) {
		for b.Loop() {
			measureSilence(b, retryLost(sendOver(newTransport(b, backend.Options{}))))
		}
	})
	b.Run("naive-http-client", func(b *testing.B) {
		for b.Loop() {
			measureSilence(b, sendOverClient(plainClient(b)))
		}
	})
}

// retryLost sends once more what was lost with its connection.
func retryLost(send sender) sender {
	return func(ctx context.Context, target backend.Target, id string) error {
		err := send(ctx, target, id)
		if verdict.CodeOf(err) == verdict.CodeConnectionLost {
			return send(ctx, target, id)
		}
		return err
	}
}

func measureSilence(b *testing.B, send sender) {
	servers, targets := startServers(b, silentExecutors)
	var lost, sent, slowest atomic.Int64
	var silenced atomic.Bool
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range silentSenders {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				begun := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), silentTimeout)
				err := send(ctx, targets[(i+n)%len(targets)], fmt.Sprintf("%d-%d", i, n))
				cancel()
				sent.Add(1)
				if silenced.Load() {
					slowest.Store(max(slowest.Load(), int64(time.Since(begun))))
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
		n += server.MakeHalfOpen(silentShare)
	}
	silenced.Store(true)
	replaced := watchSilent(servers)
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

// watchSilent returns the time until no silent connection is left, at most silentWatch.
func watchSilent(servers []*standin.Server) time.Duration {
	begun := time.Now()
	for time.Since(begun) < silentWatch {
		left := 0
		for _, server := range servers {
			left += server.HalfOpenConnections()
		}
		if left == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

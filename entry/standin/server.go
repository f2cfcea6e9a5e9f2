// Package standin provides a backend server for tests and for the development mode.
// It runs requests in a limited number of slots, counts how often each one ran, and
// injects faults on demand.
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// ReadinessPath is the readiness path that entry instances probe.
const ReadinessPath = "/readyz"

// Server is one stand-in backend server with its own listener.
type Server struct {
	settings Settings
	listener *listener
	http     *http.Server
	slots    chan struct{}
	done     chan struct{} // closed by Close; ends stalled and waiting requests

	fault       atomic.Int64
	serviceTime atomic.Int64 // nanoseconds
	notReady    atomic.Bool
	lastRequest atomic.Pointer[http.Request]
	runs        runCounts
}

// Start starts a server on address, such as "127.0.0.1:0".
func Start(address string, settings Settings) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the stand-in server: %w", err)
	}
	settings = settings.withDefaults()
	s := &Server{
		settings: settings,
		listener: newListener(inner),
		slots:    make(chan struct{}, settings.Slots),
		done:     make(chan struct{}),
	}
	s.serviceTime.Store(int64(settings.ServiceTime))
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnContext: withConn}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

// Address returns the address of the listener as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes every connection and stops the server.
func (s *Server) Close() error {
	close(s.done)
	return s.http.Close()
}

// SetFault sets the fault for later requests.
func (s *Server) SetFault(fault Fault) { s.fault.Store(int64(fault)) }

// SetServiceTime sets how long a request runs.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetReady sets whether the readiness path responds with 200 or 503.
func (s *Server) SetReady(ready bool) { s.notReady.Store(!ready) }

// Runs returns how often a request with this Tarragon-Request-Id ran.
func (s *Server) Runs(requestID string) int { return s.runs.runsOfRequest(requestID) }

// KeyRuns returns how often a request with this Idempotency-Key ran.
func (s *Server) KeyRuns(key string) int { return s.runs.runsOfKey(key) }

// BodyBytes returns the length of the body of the last run with this Tarragon-Request-Id.
func (s *Server) BodyBytes(requestID string) int64 { return s.runs.bodyBytesOf(requestID) }

// LastRequest returns the latest request that was not refused; only its header may be read.
func (s *Server) LastRequest() *http.Request { return s.lastRequest.Load() }

// TotalRuns returns how many requests ran.
func (s *Server) TotalRuns() int { return s.runs.totalRuns() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.listener.count() }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int { return int(s.listener.accepted.Load()) }

// CutConnections closes every open connection immediately.
func (s *Server) CutConnections() { s.listener.closeAll() }

// MakeHalfOpen makes the given share (0 to 1) of the open connections permanently
// half-open: they stay open, but all that the client sends is discarded and nothing is
// sent. Later connections work normally. It returns how many it changed.
func (s *Server) MakeHalfOpen(share float64) int { return s.listener.makeHalfOpen(share) }

// HalfOpenConnections returns the number of half-open connections that are not closed yet.
func (s *Server) HalfOpenConnections() int { return s.listener.halfOpenCount() }

// Freeze makes all current and later connections half-open. After Thaw, new
// connections work again.
func (s *Server) Freeze() {
	s.listener.frozen.Store(true)
	s.listener.makeHalfOpen(1)
}

// Thaw ends Freeze for new connections; existing ones stay half-open.
func (s *Server) Thaw() { s.listener.frozen.Store(false) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReadinessPath {
		s.serveReadiness(w)
		return
	}
	conn := connOf(r.Context())
	fault := Fault(s.fault.Load())
	if s.refuse(w, conn, fault) {
		return
	}
	s.lastRequest.Store(r)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil || !s.run(r, n) {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, conn, fault)
}

func (s *Server) serveReadiness(w http.ResponseWriter) {
	if s.notReady.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// refuse reports whether the fault keeps the request from running. If so, it has sent the
// response; CloseReused closes the connection instead.
func (s *Server) refuse(w http.ResponseWriter, conn *serverConn, fault Fault) bool {
	reused := conn.requests.Add(1) > 1
	switch {
	case fault == FailFast:
		w.WriteHeader(http.StatusInternalServerError)
	case fault == Busy:
		w.Header().Set(header.Verdict, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == Leaving:
		w.Header().Set(header.Verdict, "not-run")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == CloseReused && reused:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// run acquires a slot, counts the run and waits for the service time. It returns false
// if the client disconnected or the server was closed before a slot was free.
func (s *Server) run(r *http.Request, bodyBytes int64) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	case <-s.done:
		return false
	}
	defer func() { <-s.slots }()
	s.runs.add(r.Header.Get(header.RequestID), r.Header.Get(header.IdempotencyKey), bodyBytes)
	s.wait(r.Context(), time.Duration(s.serviceTime.Load()))
	return true
}

// wait waits for d, or until ctx ends or the server is closed.
func (s *Server) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.done:
	}
}

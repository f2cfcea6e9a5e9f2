package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Options configures one HTTP server.
type Options struct {
	Name              string // used in errors, such as "caller"
	Listen            string // host:port
	Handler           http.Handler
	TLS               *tls.Config // nil without TLS
	MaxHeaderBytes    int
	MaxConnections    int // zero means no limit
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
}

// Server is one HTTP server on one listener.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Open binds the listener without serving, so that a port in use is reported before
// anything starts.
func Open(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("open the %s listener on %s: %w", o.Name, o.Listen, err)
	}
	if o.MaxConnections > 0 {
		listener = &limitedListener{Listener: listener, max: int64(o.MaxConnections)}
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	server := &http.Server{
		Handler:           o.Handler,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
	}
	return &Server{name: o.Name, listener: listener, http: server, done: make(chan struct{})}, nil
}

// Addr returns the address of the listener as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start serves in the background. onFailure is called if the server ends other than by Shutdown.
func (s *Server) Start(onFailure func(error)) {
	go func() {
		defer close(s.done)
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			onFailure(fmt.Errorf("%s server: %w", s.name, err))
		}
	}()
}

// Shutdown closes the listener and waits for the requests in progress. If ctx ends first,
// it closes the remaining connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
		return fmt.Errorf("shut down the %s server: %w", s.name, err)
	}
	<-s.done
	return nil
}

// Close closes the listener of a server that was not started.
func (s *Server) Close() error { return s.listener.Close() }

// limitedListener accepts at most max open connections and closes further ones at once.
type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// limitedConn is a connection that counts towards its listener's limit until Close.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close closes the connection and removes it from the listener's count.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

package node

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/operator"
	"github.com/tarragonreach/tarragonreach/entry/serve"
	"github.com/tarragonreach/tarragonreach/mesh"
)

// Node is one entry instance.
type Node struct {
	app      *fx.App
	parts    parts
	mesh     *mesh.Node
	caller   *serve.Server
	operator *serve.Server
	loops    *loopGroup
	// controllers manages the availability zone while this entry instance holds the
	// duty.
	controllers *controllers
	failed      chan struct{} // closed when a part has failed
}

// New builds an entry instance and opens its listeners, which serve nothing before
// Start. The error names the listener, key or setting at fault.
func New(o Options) (*Node, error) {
	n := &Node{failed: make(chan struct{})}
	n.app = fx.New(
		fx.Supply(o),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout(o)),
		constructors(),
		fx.Invoke(n.compose),
	)
	if err := n.app.Err(); err != nil {
		n.closeListeners()
		return nil, fmt.Errorf("compose the entry instance: %w", fxRoot(err))
	}
	return n, nil
}

// startTimeout bounds the start, which doesn't wait for any connection to open.
const startTimeout = 15 * time.Second

// stopSlack is the time allowed for the stages of a shutdown after the last request.
const stopSlack = 10 * time.Second

func stopTimeout(o Options) time.Duration {
	return time.Duration(o.Settings.Shutdown.ReadinessDelay) + time.Duration(o.Settings.Shutdown.Grace) + stopSlack
}

// compose opens the listeners and registers the start and stop stages.
func (n *Node) compose(lc fx.Lifecycle, p parts) error {
	n.parts = p
	n.controllers = newControllers(p)
	n.loops = newLoopGroup(p.Log.Logger, sync.OnceFunc(func() { close(n.failed) }))
	if err := n.openListeners(p); err != nil {
		return err
	}
	n.wire()
	n.addStages(lc)
	return nil
}

func (n *Node) openListeners(p parts) error {
	s := p.Options.Settings
	var err error
	if n.mesh, err = newMesh(p.Options, p, []mesh.Replica{p.Follower, p.View}); err != nil {
		return err
	}
	if n.operator, err = n.openOperator(); err != nil {
		return err
	}
	callerTLS, err := serve.TLSConfig(s.Caller.TLS)
	if err != nil {
		return fmt.Errorf("caller TLS: %w", err)
	}
	n.caller, err = serve.Open(serve.Options{
		Name: "caller", Listen: s.Caller.Listen, TLS: callerTLS, Handler: n.callerHandler(),
		MaxHeaderBytes: s.Caller.MaxHeaderBytes, MaxConnections: s.Caller.MaxConnections,
		ReadHeaderTimeout: time.Duration(s.Caller.ReadHeaderTimeout), IdleTimeout: time.Duration(s.Caller.IdleTimeout),
	})
	return err
}

// callerHandler serves the gateway and the load balancer's readiness probe.
func (n *Node) callerHandler() http.Handler {
	ready := operator.Readiness(n.Status)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == operations.PathReady {
			ready.ServeHTTP(w, r)
			return
		}
		n.parts.Gateway.ServeHTTP(w, r)
	})
}

func (n *Node) openOperator() (*serve.Server, error) {
	s := n.parts.Options.Settings.Operator
	token, err := readToken(s.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := serve.TLSConfig(s.TLS)
	if err != nil {
		return nil, fmt.Errorf("operator TLS: %w", err)
	}
	handler := operator.New(operator.Options{
		Token: token, MaxBodyBytes: s.MaxBodyBytes, Status: n.Status, Log: n.parts.Log, Metrics: n.parts.Metrics,
		Config: &configOperations{n.parts}, Fleet: &fleetOperations{n.parts, n.controllers}, Explainer: &explainer{n.parts},
	})
	return serve.Open(serve.Options{
		Name: "operator", Listen: s.Listen, TLS: tlsConfig, Handler: handler,
		ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout,
	})
}

// Timeouts of the operator listener.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorIdleTimeout   = time.Minute
)

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read the operator token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// Start starts all parts.
func (n *Node) Start(ctx context.Context) error {
	if err := n.app.Start(ctx); err != nil {
		return fmt.Errorf("start the entry instance: %w", fxRoot(err))
	}
	return nil
}

// Stop shuts down gracefully: readiness fails first, the listener stays open for a
// set time, work in progress completes, then the other parts stop.
func (n *Node) Stop(ctx context.Context) error {
	if err := n.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop the entry instance: %w", err)
	}
	return nil
}

// RedirectStandardLoggers redirects the process's standard loggers to this entry
// instance's log. It is for processes with a single entry instance.
func (n *Node) RedirectStandardLoggers() { n.parts.Log.RedirectStandardLoggers() }

// StopTimeout is how long Stop may take.
func (n *Node) StopTimeout() time.Duration { return n.app.StopTimeout() }

// Failed returns a channel that is closed when a part has failed. Signals to the process
// do not close it.
func (n *Node) Failed() <-chan struct{} { return n.failed }

// CallerAddr returns the caller listener as host:port.
func (n *Node) CallerAddr() string { return n.caller.Addr() }

// OperatorAddr returns the operator listener as host:port.
func (n *Node) OperatorAddr() string { return n.operator.Addr() }

// MeshAddr returns the mesh listener as host:port.
func (n *Node) MeshAddr() string { return n.mesh.Addr() }

func (n *Node) closeListeners() {
	if n.operator != nil {
		n.operator.Close()
	}
	if n.caller != nil {
		n.caller.Close()
	}
}

// fxRoot returns the root cause of an error, without the text that the dependency
// injection library adds.
func fxRoot(err error) error { return dig.RootCause(err) }

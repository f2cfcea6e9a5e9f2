package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// Paths of the caller interface.
const (
	servicePrefix = "/s/"
	ticketsPath   = "/v1/tickets"
)

// Gateway is the handler of the caller listener.
type Gateway struct {
	options   Options
	metrics   *metrics
	rng       *rand.Rand
	table     atomic.Pointer[table]
	tenants   tenantCounters
	explainer explainer

	inFlight shardedCounter
	ready    atomic.Bool
	closing  atomic.Bool

	peersMu sync.Mutex
	peers   []routing.PeerLoad // as last reported
	// The last load summary published to peers, its predecessor, and when the last one
	// was published.
	published, previouslyPublished routing.PeerLoad
	publishedAt                    time.Time

	exchanges sync.Pool
}

// runtimeSource draws from the runtime's generator, which has separate state per thread.
type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// New returns a Gateway that subscribes to the directory. It can serve requests at once;
// Run must be started as well.
func New(options Options) *Gateway {
	g := &Gateway{options: options.withDefaults(), rng: rand.New(runtimeSource{})}
	g.metrics = newMetrics(g.options.Scope, g.options.Settings)
	g.explainer.record = g.options.Explain
	g.exchanges.New = func() any { return newExchange() }
	g.ready.Store(true)
	g.options.Directory.Subscribe(g.applySnapshot)
	return g
}

// Ready reports whether the load balancer should send requests to this instance.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.add(1)
	defer g.inFlight.add(-1)
	switch {
	case g.closing.Load():
		refusal := verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "this entry instance is shutting down")
		w.Header().Set("Connection", "close")
		g.serveRefusal(w, r, refusal)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		g.serveService(w, r)
	case r.URL.Path == ticketsPath:
		g.serveTicket(w, r)
	default:
		refusal := verdict.New(verdict.NotRun, verdict.CodeUnknownService, "the path is neither /s/{service}/... nor /v1/tickets")
		g.serveRefusal(w, r, refusal)
	}
}

// Run ticks the services and probes executors until ctx ends; it returns nil.
func (g *Gateway) Run(ctx context.Context) error {
	return g.maintain(ctx)
}

// Shutdown fails readiness, accepts requests for Settings.ListenerGrace, then refuses
// new ones and waits until requests in progress have ended or ctx ends. Only afterwards may
// the listener be closed, and then the connections.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.ready.Store(false)
	g.options.Logger.Info("gateway is draining", "grace", g.options.Settings.ListenerGrace)
	if err := backoff.Sleep(ctx, g.options.Settings.ListenerGrace); err != nil {
		return err
	}
	g.closing.Store(true)
	for g.inFlight.sum() > 0 {
		if err := backoff.Sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// drainPoll is the interval at which Shutdown checks for requests in progress.
const drainPoll = 20 * time.Millisecond

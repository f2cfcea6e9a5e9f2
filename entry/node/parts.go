package node

import (
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/explain"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/entry/gateway"
	"github.com/tarragonreach/tarragonreach/entry/logging"
	"github.com/tarragonreach/tarragonreach/entry/metrics"
	"github.com/tarragonreach/tarragonreach/entry/storecache"
	"github.com/tarragonreach/tarragonreach/entry/submission"
	"github.com/tarragonreach/tarragonreach/platform/httpapi"
	"github.com/tarragonreach/tarragonreach/platform/ratelimit"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// parts are the subsystems of an entry instance that do not open listeners.
type parts struct {
	fx.In

	Options      Options
	Log          *logging.Log
	Metrics      *metrics.Metrics
	Client       *httpapi.Client
	Store        *ratelimit.Store
	List         *instanceListCache
	Peers        *peers
	Follower     *config.Follower
	ConfigLog    *config.Log
	Rollout      *config.Rollout
	View         *fleetview.View
	Ring         *explain.Ring
	Requests     *requestRing
	Directory    *directory.Directory
	Transport    *backend.HTTPTransport
	Deduplicator *submission.Deduplicator
	Gateway      *gateway.Gateway
	JobPages     *storecache.Cache
	Health       *executorHealth
	OwnLoad      *atomic.Pointer[routing.PeerLoad]
}

// constructors returns the constructors of the parts; fx calls them in the order of
// their dependencies.
func constructors() fx.Option {
	return fx.Provide(
		newLog, newMetrics, newClient, newStore, newInstanceList, newPeers, newFollower, newConfigLog, newRollout,
		newView, newRing, newRequestRing, newDirectory, newTransport, newDeduplicator, newGateway,
		newJobPages, newExecutorHealth, newOwnLoad,
	)
}

func newLog(o Options) (*logging.Log, error) {
	return logging.New(o.LogOutput, o.Settings.Log, o.Settings.Instance)
}

func newMetrics(log *logging.Log) *metrics.Metrics {
	return metrics.New(func(err error) { log.Warn("a metric was not registered", "error", err) })
}

func newClient(o Options) *httpapi.Client {
	return httpapi.NewClient(o.Settings.Platform.URL, string(o.Settings.Instance.Zone))
}

// storeBurst is how many reads, and how many writes, may be made at once after a
// pause.
const storeBurst = 20

// newStore limits this entry instance's store calls to its share of the rates.
func newStore(o Options, client *httpapi.Client) *ratelimit.Store {
	return ratelimit.New(client, ratelimit.Limits{
		ReadsPerSecond: o.Settings.Platform.ReadsPerSecond, WritesPerSecond: o.Settings.Platform.WritesPerSecond,
		Burst: storeBurst,
	})
}

func newJobPages(store *ratelimit.Store) *storecache.Cache {
	return storecache.New(store, fleet.JobPrefix)
}

func newView(log *logging.Log) *fleetview.View {
	return fleetview.New(fleetview.WithLogger(log.Logger))
}

func newOwnLoad() *atomic.Pointer[routing.PeerLoad] {
	load := new(atomic.Pointer[routing.PeerLoad])
	load.Store(&routing.PeerLoad{})
	return load
}

func newInstanceList(o Options, client *httpapi.Client) *instanceListCache {
	return newInstanceListCache(client, time.Duration(o.Settings.Platform.InstanceInterval))
}

func newPeers() *peers { return &peers{} }

func newFollower(o Options, store *ratelimit.Store, p *peers, log *logging.Log) *config.Follower {
	self := config.Member{ID: o.Settings.Instance.ID, Zone: o.Settings.Instance.Zone}
	return config.NewFollower(store, config.Options{Self: self, Members: p.reachable, Logger: log.Logger})
}

func newConfigLog(store *ratelimit.Store, f *config.Follower, list *instanceListCache, log *logging.Log) *config.Log {
	return config.NewLog(store, f, config.LogOptions{Instances: list.Last, Logger: log.Logger})
}

func newRollout(o Options, f *config.Follower) *config.Rollout {
	return config.NewRollout(f, o.Settings.Instance.ID)
}

func newRing(m *metrics.Metrics) *explain.Ring {
	return explain.NewRing(explain.DefaultSize, explain.TallyMetrics{Scope: m.Scope.SubScope("decisions")})
}

// requestRing holds the decisions about single requests. It is separate from the
// ring of decisions about the fleet, so that a burst of refusals can't evict those.
type requestRing struct{ *explain.Ring }

// requestRingSize is the number of decisions about requests that are kept.
const requestRingSize = 1024

func newRequestRing() *requestRing { return &requestRing{explain.NewRing(requestRingSize, nil)} }

func newDirectory(o Options, list *instanceListCache, log *logging.Log) *directory.Directory {
	return directory.New(directory.Options{
		List: list, Interval: time.Duration(o.Settings.Platform.InstanceInterval), Logger: log.Logger,
	})
}

func newTransport(o Options, m *metrics.Metrics, log *logging.Log) *backend.HTTPTransport {
	return backend.New(backend.Options{
		BufferBytes: o.Settings.Gateway.BufferBytes, MaxResponseBytes: o.Settings.Gateway.MaxResponseBytes,
		Scope: m.Scope.SubScope("backend"), Observe: func(s backend.Signal) { logSignal(log, s) },
	})
}

// logSignal logs the result of a probe of an executor.
func logSignal(log *logging.Log, s backend.Signal) {
	if s.Kind == backend.SignalUnreachable {
		log.Warn("an executor responds on no connection", "executor", s.Executor)
		return
	}
	log.Info("connections to an executor became half-open", "executor", s.Executor, "connections", s.Connections)
}

// expectedEntryInstances is the number by which the rate of claims is divided until
// the other entry instances are known.
const expectedEntryInstances = 8

func newDeduplicator(o Options, client *httpapi.Client, p *peers, m *metrics.Metrics) (*submission.Deduplicator, error) {
	s := o.Settings.Gateway
	dedup, err := submission.New(submission.Options{
		Self: o.Settings.Instance.ID, Store: client, Peers: p,
		TicketLifetime: time.Duration(s.TicketLifetime), Retention: time.Duration(s.ClaimRetention),
		CallsPerSecond: s.ClaimsPerSecond / expectedEntryInstances, Scope: m.Scope.SubScope("submissions"),
	})
	if err != nil {
		return nil, fmt.Errorf("create the deduplicator: %w", err)
	}
	return dedup, nil
}

func newGateway(o Options, d *directory.Directory, t *backend.HTTPTransport, dedup *submission.Deduplicator,
	m *metrics.Metrics, requests *requestRing, log *logging.Log) *gateway.Gateway {
	settings := gateway.DefaultSettings()
	settings.DefaultTimeout = time.Duration(o.Settings.Gateway.DefaultTimeout)
	settings.MaxBodyBytes = o.Settings.Caller.MaxBodyBytes
	settings.BufferBytes = o.Settings.Gateway.BufferBytes
	settings.MaxHeaderBytes = o.Settings.Caller.MaxHeaderBytes
	settings.MaxTenants = o.Settings.Metrics.MaxTenants
	settings.MaxClasses = o.Settings.Metrics.MaxClasses
	settings.ListenerGrace = time.Duration(o.Settings.Shutdown.ReadinessDelay)
	return gateway.New(gateway.Options{
		Self: o.Settings.Instance.ID, Zone: o.Settings.Instance.Zone, Directory: d, Transport: t, Guard: dedup, Explain: requests.Record,
		Scope: m.Scope.SubScope("gateway"), Logger: log.Logger, Settings: settings,
	})
}

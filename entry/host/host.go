// Package host assembles one instance as it runs on the operators' machines: the intake, a
// campaign for each duty, and the listeners.
package host

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/admissions"
	"github.com/tarragonreach/tarragonreach/entry/advicequeue"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/fleetduty"
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/metrics"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/entry/owner"
	"github.com/tarragonreach/tarragonreach/entry/peers"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/advice"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/executor"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/link"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// runLease is how long a run continues without lease renewals from its owner. Tasks of
	// a lost executor wait for the same time before they start elsewhere.
	runLease = 5 * time.Second
	// readinessDelay is how long a stopping instance continues to serve, so that the
	// platform stops sending it connections: two failed probes, and a margin.
	readinessDelay = 2300 * time.Millisecond
	// moveCost and machineSecondCost are the operators' prices of a move and of a second of
	// an idle machine.
	moveCost          = 0.088
	machineSecondCost = 0.078
	// exitMargin is the part of the platform's grace period reserved for the exit of the
	// process.
	exitMargin = 600 * time.Millisecond
	// headerTimeout bounds how long the header of a request may take.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller stays open.
	idleTimeout = 60 * time.Second
)

// Options are what a deployment chooses besides the platform's settings.
type Options struct {
	// RejectLate lets submissions be rejected whose jobs would start too late, where the operator has
	// configured tenants; see docs/design/admission-control.md.
	RejectLate bool
}

// Host is one running instance.
type Host struct {
	node    nodefile.Node
	options Options
	store   *storehealth.Store
	logger  *slog.Logger
	metrics *metrics.Metrics
	link    link.Meter
	config  *operatorconfig.Follower
	leaving atomic.Bool
	// unconfirmed is set while API keys can't be accepted, since the configuration is not recent.
	unconfirmed atomic.Bool

	front  *http.Server
	probes *http.Server
	// peerCalls serves calls of other instances, if an address is assigned for these.
	peerCalls *http.Server
	peers     *peers.Peers

	stopDuties     context.CancelFunc
	stopBackground context.CancelFunc
	campaigns      sync.WaitGroup
	followers      sync.WaitGroup
	services       map[cluster.Service]bool // that this instance campaigns for
	election       *election.Election
	intake         *intake.Intake
	dutyCtx        context.Context
	admissions     *admissions.Follower
	adviser        *advice.Client // nil without an advice service
	adviceQueue    advicequeue.Queue
}

// New returns the application of one instance.
func New(node nodefile.Node, options Options, logger *slog.Logger) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.Supply(node, options, logger),
		fx.Provide(newMetrics, newHost),
		fx.StopTimeout(node.ShutdownGrace),
		fx.Invoke(func(lc fx.Lifecycle, h *Host) {
			lc.Append(fx.Hook{OnStart: h.start, OnStop: h.stop})
		}),
	)
}

func newMetrics(logger *slog.Logger) *metrics.Metrics {
	return metrics.New(func(err error) { logger.Warn("metric not registered", "error", err) })
}

func newHost(node nodefile.Node, options Options, logger *slog.Logger, m *metrics.Metrics) *Host {
	h := &Host{
		node: node, options: options, logger: logger, metrics: m,
		services: map[cluster.Service]bool{},
	}
	h.store = storehealth.New(h.storeClient(), h.logStoreChange)
	h.config = operatorconfig.New(storehealth.NewDedicated(h.storeClient(), h.store),
		operatorconfig.Options{ApplyWithin: node.ConfigApply, RevokeWithin: node.RevokeWithin, Link: linkshare.Rate(node.LinkRate)}, h.campaignForServices, logger, m.Scope.SubScope("config"))
	h.election = election.New(h.store, node.ID, node.Zone, node.Cores, logger)
	h.admissions = admissions.New(h.store, h.election, logger)
	h.intake = intake.New(h.store, h.config, h.leaving.Load, logger, m.Scope.SubScope("intake"))
	h.intake.SetAdmissions(h.admissions)
	h.front = &http.Server{Handler: h.intake.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if node.PeerAddress != "" {
		self := peers.Peer{ID: node.ID, Zone: node.Zone, Address: node.PeerAddress, Cores: node.Cores}
		h.peers = peers.New(h.store, self, h.link.Dial(link.Peers, call.Dial), logger, m.Scope.SubScope("peers"))
		h.intake.SetPeers(h.peers)
		h.election.SetCandidates(h.candidates)
		h.peerCalls = &http.Server{Handler: h.peers.Handler(h.intake.PeerHandler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	if node.AdviceAddress != "" {
		h.adviser = advice.NewWithDial(node.AdviceAddress, h.link.Dial(link.Advice, call.Dial))
	}
	h.probes = &http.Server{Handler: h.probeHandler(), ReadHeaderTimeout: headerTimeout}
	return h
}

// candidates returns the other instances as candidates for this one's duties.
func (h *Host) candidates() []election.Candidate {
	var list []election.Candidate
	for _, p := range h.peers.Known() {
		list = append(list, election.Candidate{Instance: p.ID, Cores: p.Cores})
	}
	return list
}

// logStoreChange logs that the store has become unavailable or available.
func (h *Host) logStoreChange(unavailable bool, failures int) {
	if unavailable {
		h.logger.Warn("store lost: submissions are refused", "failures", failures)
		return
	}
	h.logger.Info("store regained", "failures", failures)
}

// ready reports whether the platform should send callers here. While the store does not
// respond to this instance, or while it needs a confirmed configuration to accept API keys and has
// none, or is cut off, it can only refuse them, and others may be able to serve them. If no instance is ready, the
// platform sends callers to all of them.
func (h *Host) ready() bool {
	_, unavailable := h.store.Unavailable()
	k := h.config.Knowledge()
	return k.Config != nil && h.confirmed(k) && !h.leaving.Load() && !unavailable && !h.intake.CutOff()
}

// confirmed reports whether requests can be decided by the configuration, and logs changes of that.
// Reads are sent at least once in half of the bound, so that single late responses don't change it,
// and the first confirmed read after a disruption does.
func (h *Host) confirmed(k operatorconfig.Knowledge) bool {
	confirmed := k.Recent || k.Config == nil || !k.Config.Tenancy
	if h.unconfirmed.Swap(!confirmed) == confirmed {
		h.logger.Warn("confirmation of the configuration", "confirmed", confirmed, "config_age_ms", k.Age.Milliseconds())
	}
	return confirmed
}

func (h *Host) probeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", h.metrics)
	return mux
}

func (h *Host) start(ctx context.Context) error {
	var listen net.ListenConfig
	for server, endpoint := range h.servers() {
		listener, err := listen.Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", endpoint.address, err)
		}
		metered := h.link.Listener(endpoint.purpose, listener)
		go h.serve(server, &countingListener{Listener: metered, failed: h.metrics.Scope.Counter("failed_accepts"), logger: h.logger})
	}
	background, cancel := context.WithCancel(context.Background())
	h.stopBackground = cancel
	h.dutyCtx, h.stopDuties = context.WithCancel(background)
	h.followers.Go(func() { reportDescriptors(background, h.metrics.Scope) })
	h.followers.Go(func() { h.reportLink(background) })
	h.followers.Go(func() { h.election.Follow(background) })
	h.followers.Go(func() { h.config.Run(background) })
	h.followers.Go(func() { h.store.Probe(background) })
	h.followers.Go(func() { h.admissions.Run(background) })
	h.followers.Go(func() { h.intake.Run(background) })
	if h.peers != nil {
		h.followers.Go(func() { h.peers.Run(background) })
	}
	if h.node.MachinesAddress != "" {
		h.campaigns.Go(h.campaignForFleet)
	}
	h.logger.Info("started", "front", h.node.FrontAddress, "store", h.node.StoreAddress)
	return nil
}

// endpoint is where a server listens, and for whom.
type endpoint struct {
	address string // host:port
	purpose link.Purpose
}

// servers returns the servers with their endpoints.
func (h *Host) servers() map[*http.Server]endpoint {
	servers := map[*http.Server]endpoint{
		h.front:  {h.node.FrontAddress, link.Callers},
		h.probes: {h.node.ReadyAddress, link.Probes},
	}
	if h.peerCalls != nil {
		servers[h.peerCalls] = endpoint{h.node.PeerAddress, link.Peers}
	}
	return servers
}

func (h *Host) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if err != nil && err != http.ErrServerClosed {
		h.logger.Error("listener failed", "address", listener.Addr().String(), "error", err)
	}
}

// campaignForServices makes this instance a candidate for leading the services of a configuration.
func (h *Host) campaignForServices(config *cluster.Config) {
	h.admissions.Enable(config.Tenancy && h.options.RejectLate)
	for _, pool := range config.Pools {
		if !pool.Spare {
			h.campaign(pool.Service)
		}
	}
}

// campaign makes this instance a candidate for leading a service.
func (h *Host) campaign(service cluster.Service) {
	if h.services[service] {
		return
	}
	h.services[service] = true
	options := owner.Options{
		Service: service,
		Limits: shard.Limits{
			RunLease:    min(runLease, h.node.MaxRunLease),
			MaxRunLease: h.node.MaxRunLease,
			Rate:        shard.RateAllowance{Window: h.node.RateWindow, Overage: h.node.RateOverage, Jobs: h.node.RateSlack},
		},
		Store:      h.store,
		Dial:       h.dialExecutor,
		RejectLate: h.options.RejectLate,
		Config:     h.config.Current,
		Cores:      h.node.Cores,
		Link:       linkshare.Rate(h.node.LinkRate),
		Successor:  h.election.Successor,
		Logger:     h.logger,
		Scope:      h.metrics.Scope.SubScope("owner").Tagged(map[string]string{"service": string(service)}),
	}
	if h.adviser != nil {
		options.Adviser, options.AdviceQueue = h.adviser, &h.adviceQueue
	}
	if h.node.MachinesAddress != "" {
		options.Machines = h.machinesClient()
	}
	duty := layout.ServiceDuty(service)
	h.followers.Go(func() { h.watchDuty(h.dutyCtx, duty) })
	h.campaigns.Go(func() {
		h.election.Campaign(h.dutyCtx, duty, func(ctx context.Context, term election.Term) {
			owner.Lead(ctx, term, options)
		})
	})
}

// campaignForFleet makes this instance a candidate for the fleet duty.
func (h *Host) campaignForFleet() {
	options := fleetduty.Options{
		Instance: string(h.node.ID),
		Limits: fleetplan.Limits{
			MaintenanceTime: h.node.MaintenanceTime, MoveTime: h.node.MoveTime,
			MoveCost: moveCost, MachineSecondCost: machineSecondCost,
		},
		HolderGap:   h.node.HolderGap,
		RejectLate:  h.options.RejectLate,
		RetainFinal: h.node.RetainFinal,
		Link:        linkshare.Rate(h.node.LinkRate),
		Store:       h.store,
		Machines:    h.machinesClient(),
		Config:      h.config.Current,
		Logger:      h.logger,
	}
	h.followers.Go(func() { h.watchDuty(h.dutyCtx, layout.FleetDuty) })
	h.election.Campaign(h.dutyCtx, layout.FleetDuty, func(ctx context.Context, term election.Term) {
		fleetduty.Lead(ctx, term, options)
	})
}

func (h *Host) dialExecutor(id cluster.ExecutorID, address string) owner.Executor {
	return executor.NewWithDial(id, address, h.link.Dial(link.Executors, call.Dial))
}

func (h *Host) storeClient() *kv.Client {
	return kv.NewWithDial(h.node.StoreAddress, h.link.Dial(link.Store, call.Dial))
}

func (h *Host) machinesClient() *machines.Client {
	return machines.NewWithDial(h.node.MachinesAddress, h.link.Dial(link.Machines, call.Dial))
}

// stop shuts the instance down: readiness fails, duties are handed over, and callers are
// served until the platform sends no more connections.
func (h *Host) stop(ctx context.Context) error {
	started := time.Now()
	h.logger.Info("stopping")
	h.leaving.Store(true)
	h.stopDuties()
	h.campaigns.Wait()
	h.logger.Info("duties handed over", "ms", time.Since(started).Milliseconds())
	if err := backoff.Sleep(ctx, readinessDelay-time.Since(started)); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, h.node.ShutdownGrace-exitMargin-time.Since(started))
	defer cancel()
	err := h.front.Shutdown(ctx)
	h.stopBackground()
	h.followers.Wait()
	_ = h.probes.Close() // probes need no graceful shutdown
	if h.peerCalls != nil {
		_ = h.peerCalls.Close() // peers ask another instance
	}
	if err != nil {
		return fmt.Errorf("requests of callers aborted: %w", err)
	}
	h.logger.Info("stopped", "ms", time.Since(started).Milliseconds())
	return nil
}

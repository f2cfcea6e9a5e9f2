// Package fleetduty carries out what a fleet planner decides: it empties machines
// through the owners of their services, and calls the machine service. One instance
// at a time has this duty.
package fleetduty

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Duty is the name of the duty in the election.
const Duty = "fleet"

const (
	// listEvery is the time between two readings of the machine list.
	listEvery = 250 * time.Millisecond
	// planEvery is the least time between two plans.
	planEvery = 40 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 1500 * time.Millisecond
	// loadPause gathers the loads of several owners.
	loadPause = 20 * time.Millisecond
	// loadWait bounds how long a load goes unnoticed where watches are silent.
	loadWait = 400 * time.Millisecond
	// holderMargin is added to the least time between two holders' orders.
	holderMargin = 300 * time.Millisecond
	// txnAttempts is how often a write without an answer is tried.
	txnAttempts = 3
	// cordonsEvery is the time between two readings of the cordons in force: a write
	// may take effect seconds after it was given up.
	cordonsEvery = 5 * time.Second
	// maxFences is after how many refusals of its token a holder steps down.
	maxFences = 1
)

// Machines is the part of the machine service's client that the duty uses.
type Machines interface {
	List(ctx context.Context) ([]cluster.Machine, error)
	Move(ctx context.Context, h machines.Holder, m cluster.MachineID, pool cluster.Service) (machines.Refusal, error)
	Maintain(ctx context.Context, h machines.Holder, m cluster.MachineID, wave int64) (machines.Refusal, error)
}

// Store is the part of the store that the duty uses.
type Store interface {
	election.Store
	Range(ctx context.Context, prefix, after string, read kv.Read) (kv.Page, error)
	// Timeout bounds an attempt of a write, counted from 1.
	Timeout(attempt int) time.Duration
}

// Options are what the duty needs.
type Options struct {
	Instance  string
	Limits    fleetplan.Limits
	HolderGap time.Duration // least time between the orders of two holders
	// RetainFinal is how long callers may ask for a job after it has become final.
	RetainFinal time.Duration
	Store       Store
	Machines    Machines
	Config      func() *cluster.Config
	Logger      *slog.Logger
}

type event func()

// Holder has the duty during one term.
type Holder struct {
	Options
	term    election.Term
	planner *fleetplan.Planner
	events  chan event
	ctx     context.Context
	lose    context.CancelFunc

	loads   map[cluster.Service]shard.Load
	waves   map[int64]cluster.Wave
	cordons map[cluster.ExecutorID]cluster.Service
	ordered map[cluster.MachineID]time.Time // when an order was last given
	fences  int

	machines  []cluster.Machine // as listed last
	listing   bool
	plannedAt time.Time
	cordonsAt time.Time // when they were read last
	cleanedAt time.Time
	needs     string // as logged last
	needsAt   time.Time
}

// Lead has the duty until ctx ends or the term is lost.
func Lead(ctx context.Context, term election.Term, options Options) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &Holder{
		Options: options, term: term,
		planner: fleetplan.New(options.Limits),
		events:  make(chan event, 64), cleanedAt: time.Now(),
		ctx: ctx, lose: cancel,
		loads:   map[cluster.Service]shard.Load{},
		waves:   map[int64]cluster.Wave{},
		cordons: map[cluster.ExecutorID]cluster.Service{},
		ordered: map[cluster.MachineID]time.Time{},
	}
	h.Logger = options.Logger.With("duty", Duty, "token", term.Token)
	if err := h.load(ctx); err != nil {
		h.Logger.Warn("duty not taken over", "error", err)
		return
	}
	h.follow(ctx)
	h.loop(ctx)
}

// load reads what earlier holders stored.
func (h *Holder) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	items, _, err := h.Store.All(ctx, layout.WavesPrefix, kv.Linearizable)
	if err != nil {
		return fmt.Errorf("waves: %w", err)
	}
	for _, item := range items {
		var number int64
		if _, err := fmt.Sscanf(item.Key, layout.WavesPrefix+"%d", &number); err != nil {
			h.Logger.Warn("entry of a wave left out", "key", item.Key, "error", err)
			continue
		}
		progress, err := layout.Decode[layout.WaveProgress](item.Key, item.Value)
		if err != nil {
			return err
		}
		h.planner.RestoreWave(number, progress.Done, progress.Reported, progress.Begun)
	}
	if err := h.loadOrders(ctx); err != nil {
		return err
	}
	cordons, err := h.loadCordons(ctx)
	h.cordons = cordons
	return err
}

// loadOrders keeps the machines alone for which the last holder may have ordered
// something just now.
func (h *Holder) loadOrders(ctx context.Context) error {
	items, _, err := h.Store.All(ctx, layout.FleetOrdersKey, kv.Linearizable)
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	for _, item := range items {
		orders, err := layout.Decode[layout.FleetOrders](item.Key, item.Value)
		if err != nil {
			return err
		}
		h.planner.Reserve(orders.Machines, time.Now().Add(h.HolderGap+holderMargin))
	}
	return nil
}

func (h *Holder) loadCordons(ctx context.Context) (map[cluster.ExecutorID]cluster.Service, error) {
	cordons := map[cluster.ExecutorID]cluster.Service{}
	config := h.Config()
	if config == nil {
		return cordons, nil
	}
	for _, pool := range config.Pools {
		prefix := layout.CordonKey(pool.Service, "")
		items, _, err := h.Store.All(ctx, prefix, kv.Linearizable)
		if err != nil {
			return cordons, fmt.Errorf("cordons of %s: %w", pool.Service, err)
		}
		for _, item := range items {
			cordons[cluster.ExecutorID(strings.TrimPrefix(item.Key, prefix))] = pool.Service
		}
	}
	return cordons, nil
}

// syncCordons adds cordons that are in force though this holder does not know them;
// the planner takes them back.
func (h *Holder) syncCordons(ctx context.Context) {
	h.cordonsAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		cordons, err := h.loadCordons(ctx)
		if err != nil {
			h.Logger.Warn("cordons not read", "error", err)
			return
		}
		h.send(func() { maps.Copy(h.cordons, cordons) })
	}()
}

func (h *Holder) follow(ctx context.Context) {
	waves := follow.Follower{Store: h.Store, Prefix: registry.WavePrefix, Logger: h.Logger, Apply: func(c follow.Change) {
		h.send(func() { h.applyWaves(c) })
	}}
	go waves.Run(ctx)
	loads := follow.Follower{Store: h.Store, Prefix: layout.LoadPrefix, Pause: loadPause, Wait: loadWait, Logger: h.Logger, Apply: func(c follow.Change) {
		h.send(func() { h.applyLoads(c) })
	}}
	go loads.Run(ctx)
}

func (h *Holder) send(e event) {
	select {
	case h.events <- e:
	case <-h.ctx.Done():
	}
}

func (h *Holder) applyWaves(c follow.Change) {
	for _, event := range c.Events {
		if event.Removed {
			continue
		}
		wave, err := registry.Wave(event.Value)
		if err != nil {
			h.Logger.Error("wave left out", "key", event.Key, "error", err)
			continue
		}
		if _, known := h.waves[wave.Number]; known {
			continue
		}
		h.waves[wave.Number] = wave
		h.Logger.Info("wave", "wave", wave.Number, "machines", len(wave.Machines), "max_down", wave.MaxDown, "duration", wave.Duration.String())
	}
}

func (h *Holder) applyLoads(c follow.Change) {
	for _, event := range c.Events {
		service := cluster.Service(strings.TrimPrefix(event.Key, layout.LoadPrefix))
		if event.Removed {
			delete(h.loads, service)
			continue
		}
		load, err := layout.Decode[shard.Load](event.Key, event.Value)
		if err != nil {
			h.Logger.Error("load left out", "error", err)
			continue
		}
		h.loads[service] = load
	}
}

func (h *Holder) loop(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for h.fences < maxFences {
		select {
		case <-ctx.Done():
			return
		case e := <-h.events:
			e()
		case <-ticker.C:
			h.refresh(ctx)
			if time.Since(h.cordonsAt) >= cordonsEvery {
				h.syncCordons(ctx)
			}
			if time.Since(h.cleanedAt) >= cleanupEvery {
				h.cleanUp(ctx)
			}
		}
		if ctx.Err() == nil && h.machines != nil && time.Since(h.plannedAt) >= planEvery {
			h.plan(ctx)
		}
	}
	h.Logger.Warn("the machine service has seen a higher fencing token; stepping down")
}

// refresh reads the machine list, one reading at a time.
func (h *Holder) refresh(ctx context.Context) {
	if h.listing {
		return
	}
	h.listing = true
	go func() {
		list, err := h.list(ctx)
		h.send(func() {
			h.listing = false
			if err != nil {
				h.Logger.Warn("machines not listed", "error", err)
				return
			}
			h.machines = list
		})
	}()
}

func (h *Holder) plan(ctx context.Context) {
	config := h.Config()
	if config == nil {
		return
	}
	h.plannedAt = time.Now()
	snapshot := fleetplan.Snapshot{Now: h.plannedAt, Machines: h.machines, Pools: config.Pools, Loads: h.loads, Cordons: h.cordons}
	for _, wave := range h.waves {
		snapshot.Waves = append(snapshot.Waves, wave)
	}
	if !h.term.Lasting(h.plannedAt) {
		return // a successor may be acting already
	}
	actions := h.planner.Plan(snapshot)
	h.logNeeds()
	h.setCordons(ctx, actions)
	if !h.announce(ctx, actions) {
		return
	}
	for _, action := range actions {
		h.carryOut(ctx, action)
	}
}

func (h *Holder) list(ctx context.Context) ([]cluster.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Machines.List(ctx)
}

func (h *Holder) carryOut(ctx context.Context, a fleetplan.Action) {
	switch a.Kind {
	case fleetplan.Report:
		h.log(a, "", h.report(ctx, a))
	case fleetplan.Maintain, fleetplan.Move:
		go h.act(ctx, a)
	default: // cordons were set together
	}
}

func (h *Holder) log(a fleetplan.Action, outcome string, err error) {
	h.Logger.Info("fleet action", "kind", a.Kind.String(), "machine", string(a.Machine), "executor", string(a.Executor),
		"service", string(a.Service), "wave", a.Wave, "state", string(a.State), "reason", a.Reason, "outcome", outcome, "error", err)
}

// announce stores for which machines orders follow, so that a successor leaves them
// alone for a while. It reports whether they may be sent.
func (h *Holder) announce(ctx context.Context, actions []fleetplan.Action) bool {
	now := time.Now()
	ordering := false
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.ordered[a.Machine] = now
			ordering = true
		}
	}
	if !ordering {
		return true
	}
	maps.DeleteFunc(h.ordered, func(_ cluster.MachineID, at time.Time) bool { return now.Sub(at) > 2*h.HolderGap })
	value, err := layout.Encode(layout.FleetOrders{Machines: slices.Sorted(maps.Keys(h.ordered))})
	if err == nil {
		err = h.txn(ctx, kv.Txn{Puts: []kv.Put{{Key: layout.FleetOrdersKey, Value: value}}})
	}
	if err == nil {
		return true
	}
	h.Logger.Warn("orders not announced, and so not given", "error", err)
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.planner.Answered(a, fleetplan.Refused, now)
		}
	}
	return false
}

// needsEvery bounds how often the needs of the services are logged.
const needsEvery = 500 * time.Millisecond

// logNeeds writes what the services want, when it has changed.
func (h *Holder) logNeeds() {
	needs := h.planner.Needs()
	if needs == h.needs || time.Since(h.needsAt) < needsEvery {
		return
	}
	h.needs, h.needsAt = needs, time.Now()
	h.Logger.Info("needs", "services", needs)
}

// setCordons sets and takes back all cordons of a plan in one write each time.
func (h *Holder) setCordons(ctx context.Context, actions []fleetplan.Action) {
	var t kv.Txn
	var set, lifted []cluster.ExecutorID
	for _, a := range actions {
		if t.Entries() == kv.MaxTxnEntries-1 {
			break // the rest is planned again, or lifted later
		}
		key := layout.CordonKey(a.Service, a.Executor)
		switch a.Kind {
		case fleetplan.Cordon:
			t.Puts = append(t.Puts, kv.Put{Key: key, Value: []byte("{}")})
			h.cordons[a.Executor] = a.Service
			set = append(set, a.Executor)
		case fleetplan.Uncordon:
			t.Deletes = append(t.Deletes, key)
			lifted = append(lifted, a.Executor)
		default:
			continue
		}
		h.log(a, "", nil)
	}
	if t.Entries() == 0 {
		return
	}
	if err := h.txn(ctx, t); err != nil {
		h.Logger.Warn("cordons not stored", "entries", t.Entries(), "error", err)
		for _, id := range set {
			delete(h.cordons, id) // asked for again; a late effect shows when they are read
		}
		return
	}
	for _, id := range lifted {
		delete(h.cordons, id)
	}
}

// txn makes a write within the term. It tries a few times, since its answer may be
// lost; the same write twice does no harm.
func (h *Holder) txn(ctx context.Context, t kv.Txn) error {
	t.Conditions = append(t.Conditions, h.term.Condition())
	var err error
	for attempt := 1; attempt <= txnAttempts; attempt++ {
		var result kv.TxnResult
		result, err = h.attempt(ctx, t, attempt)
		if err == nil && !result.Applied {
			h.lose()
			return fmt.Errorf("the term is over")
		}
		if err == nil {
			return nil
		}
	}
	return err
}

func (h *Holder) attempt(ctx context.Context, t kv.Txn, number int) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Store.Timeout(number))
	defer cancel()
	return h.Store.Txn(ctx, t)
}

// report tells the operator the state of a wave, and stores it beside what is done.
func (h *Holder) report(ctx context.Context, a fleetplan.Action) error {
	status, err := registry.EncodeWaveStatus(a.State)
	if err != nil {
		return err
	}
	progress, err := h.encodeWave(a.Wave, a.State)
	if err != nil {
		return err
	}
	err = h.txn(ctx, kv.Txn{Puts: []kv.Put{
		{Key: registry.WaveStatusKey(a.Wave), Value: status},
		{Key: layout.WaveKey(a.Wave), Value: progress},
	}})
	if err != nil {
		h.planner.Unreported(a.Wave)
	}
	return err
}

// act calls the machine service and feeds the outcome back.
func (h *Holder) act(ctx context.Context, a fleetplan.Action) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder := machines.Holder{Name: h.Instance, Token: h.term.Token}
	var refusal machines.Refusal
	var err error
	if a.Kind == fleetplan.Maintain {
		refusal, err = h.Machines.Maintain(callCtx, holder, a.Machine, a.Wave)
	} else {
		refusal, err = h.Machines.Move(callCtx, holder, a.Machine, a.Service)
	}
	h.send(func() {
		h.log(a, string(refusal), err)
		if refusal == machines.RefusedFence {
			h.fences++
		}
		outcome := outcomeOf(refusal, err)
		h.planner.Answered(a, outcome, time.Now())
		if outcome == fleetplan.Agreed && a.Kind == fleetplan.Maintain {
			h.storeWave(ctx, a.Wave)
		}
	})
}

func outcomeOf(refusal machines.Refusal, err error) fleetplan.Outcome {
	switch {
	case err != nil && !kv.NotRun(err):
		return fleetplan.Unknown
	case err != nil || refusal != machines.NotRefused:
		return fleetplan.Refused
	default:
		return fleetplan.Agreed
	}
}

func (h *Holder) encodeWave(number int64, state cluster.WaveState) ([]byte, error) {
	return layout.Encode(layout.WaveProgress{Done: h.planner.Done(number), Reported: state, Begun: h.planner.Begun(number)})
}

// storeWave stores which machines of a wave are done. A successor that reads an
// older state asks again, which the machine service answers without doing anything.
func (h *Holder) storeWave(ctx context.Context, number int64) {
	progress, err := h.encodeWave(number, cluster.WaveRunning)
	if err == nil {
		err = h.txn(ctx, kv.Txn{Puts: []kv.Put{{Key: layout.WaveKey(number), Value: progress}}})
	}
	if err != nil {
		h.Logger.Warn("state of a wave not stored", "wave", number, "error", err)
	}
}

// Package fleetduty carries out what a fleet planner decides: it empties machines
// through the owners of their services, and calls the machine service. One instance
// at a time has this duty.
package fleetduty

import (
	"context"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
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
	Range(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error)
	Get(ctx context.Context, key string) (kv.Item, error)
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
	book    orderBook
	fences  int

	machines  []cluster.Machine // as listed last
	listing   bool
	plannedAt time.Time
	cordonsAt time.Time // when they were read last
	// cordonWrites counts this holder's writes of cordons.
	cordonWrites int
	cleanedAt    time.Time
	// evidenceAt is when the planner's evidence was stored last.
	evidenceAt   time.Time
	evidenceNews int    // as stored last
	needs        string // as logged last
	needsAt      time.Time
}

// Lead has the duty until ctx ends or the term is lost.
func Lead(ctx context.Context, term election.Term, options Options) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &Holder{
		Options: options, term: term,
		planner: fleetplan.New(options.Limits),
		events:  make(chan event, 64), cleanedAt: time.Now(), cordonsAt: time.Now(),
		ctx: ctx, lose: cancel,
		loads:   map[cluster.Service]shard.Load{},
		waves:   map[int64]cluster.Wave{},
		cordons: map[cluster.ExecutorID]cluster.Service{},
		book:    orderBook{given: map[cluster.MachineID]time.Time{}, keep: options.HolderGap + holderMargin},
	}
	h.Logger = options.Logger.With("duty", Duty, "token", term.Token)
	if err := h.load(ctx); err != nil {
		h.Logger.Warn("duty not taken over", "error", err)
		return
	}
	h.follow(ctx)
	h.loop(ctx)
}

func (h *Holder) send(e event) {
	select {
	case h.events <- e:
	case <-h.ctx.Done():
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
			h.keepRecords(ctx)
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

// keepRecords stores what a successor should know.
func (h *Holder) keepRecords(ctx context.Context) {
	if !h.term.LeaseValid() {
		return
	}
	h.updateOrders(ctx)
	if h.planner.PeakChanges() != h.evidenceNews || time.Since(h.evidenceAt) >= evidenceEvery {
		h.storeEvidence(ctx)
	}
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
	if !h.term.LeaseValid() {
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

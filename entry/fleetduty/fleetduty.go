// Package fleetduty carries out what a fleet planner decides: it evacuates machines through
// cordons, which the owners of their services act on, and sends commands to the machine
// service. One instance at a time has this duty.
//
// The loop of a holder makes no call itself, so that it goes on planning from new lists and
// loads while the store is slow. There is one write of each kind in progress at a time: of
// cordons, of recent commands, and of waves. What is planned meanwhile goes into the next one.
package fleetduty

import (
	"context"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// listInterval is the minimum time between two reads of the machine list.
	listInterval = 250 * time.Millisecond
	// listShare is the share of the link that reads of the machine list may take. Where the link is slow, they
	// are further apart.
	listShare = 0.2
	// listSlack is how much earlier than due a list is read, since reads are considered once in listInterval.
	listSlack = listInterval / 2
	// planInterval is the minimum time between two plans.
	planInterval = 40 * time.Millisecond
	// callTimeout bounds one call to the machine service; loading stored state may take twice
	// as long.
	callTimeout = 1500 * time.Millisecond
	// loadPause lets the loads of several owners accumulate.
	loadPause = 20 * time.Millisecond
	// loadWait bounds how long a load goes unnoticed if watches deliver no events.
	loadWait = 400 * time.Millisecond
	// holderMargin is added to the minimum time between the commands of two holders.
	holderMargin = 300 * time.Millisecond
	// txnAttempts is how many times a write without a response is attempted.
	txnAttempts = 3
	// cordonsSyncInterval is the time between two reads of the stored cordons: a write may
	// take effect seconds after it timed out.
	cordonsSyncInterval = 5 * time.Second
	// maxFencedRefusals is the number of refusals of its fencing token at which a holder
	// steps down.
	maxFencedRefusals = 1
)

// Machines is the part of the machine service's client that the duty uses.
type Machines interface {
	List(ctx context.Context) (cluster.MachineList, error)
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
	HolderGap time.Duration // minimum time between the commands of two holders to a machine
	// RetainFinal is how long callers may read a job's state after it has become final.
	RetainFinal time.Duration
	// RejectLate lets the holder state for which services there are no more machines.
	RejectLate bool
	// Link is the rate of the instance's network link.
	Link     linkshare.Rate
	Store    Store
	Machines Machines
	Config   func() *cluster.Config
	Logger   *slog.Logger
}

// event runs on the goroutine of the loop.
type event func()

// Holder carries out the duty during one term.
type Holder struct {
	Options
	term election.Term
	// leaseValid reports whether a successor can't be acting yet, by a clock that also counts
	// time in which the machine is suspended.
	leaseValid func() bool
	planner    *fleetplan.Planner
	events     chan event
	ctx        context.Context
	stepDown   context.CancelFunc

	loads          map[cluster.Service]shard.Load
	loadsReadAt    time.Time // when the store last delivered a listing or changes of them
	waves          map[int64]cluster.Wave
	skippedWaves   *follow.Skipped // of the operator, that can't be read
	skippedLoads   *follow.Skipped
	cordons        map[cluster.ExecutorID]fleetplan.ActiveCordon
	recent         recentCommands
	queued         []fleetplan.Action // commands to announce and then send
	announcing     bool               // a write of the recent commands is in progress
	waveWrites     waveWrites
	fencedRefusals int

	listedMachines cluster.MachineList // as last listed
	machineFaults  *follow.Skipped     // what could not be used of that list
	listedAt       time.Time           // when that list was requested; zero before the first list
	listing        bool                // a call that lists the machines is in progress
	requestedAt    time.Time           // when the last such call was sent
	plannedAt      time.Time
	cordonsReadAt  time.Time // start of the last read of the stored cordons
	// cordonWrites counts the starts and ends of this holder's writes of cordons, so that it
	// can detect one that is made while the stored cordons are being read.
	cordonWrites   int
	writingCordons bool // a write of cordons is in progress
	cordonsSet     int  // cordons that this holder has set, for their IDs
	cleanedUpAt    time.Time
	revisions      []seenRevision // as of earlier removals of old jobs, the earliest first
	// historyStoredAt is when the planner's demand history was last stored.
	historyStoredAt   time.Time
	storedPeakChanges int // the planner's PeakChanges at that time
	exhausted         exhaustedServices
	loggedNeeds       string
	needsLoggedAt     time.Time
}

// Lead carries out the duty until ctx ends or the term is lost.
func Lead(ctx context.Context, term election.Term, options Options) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &Holder{
		Options: options, term: term, leaseValid: term.LeaseValid,
		planner: fleetplan.New(options.Limits),
		events:  make(chan event, 64), cleanedUpAt: time.Now(), cordonsReadAt: time.Now(),
		ctx: ctx, stepDown: cancel,
		loads:      map[cluster.Service]shard.Load{},
		waves:      map[int64]cluster.Wave{},
		cordons:    map[cluster.ExecutorID]fleetplan.ActiveCordon{},
		waveWrites: newWaveWrites(),
		recent:     recentCommands{sentAt: map[cluster.MachineID]time.Time{}, retention: options.HolderGap + holderMargin},
	}
	h.Logger = options.Logger.With("duty", layout.FleetDuty.String(), "token", term.Token)
	h.skippedWaves = follow.NewSkipped(h.Logger, "waves skipped: not readable")
	h.skippedLoads = follow.NewSkipped(h.Logger, "loads skipped: not readable")
	h.machineFaults = follow.NewSkipped(h.Logger, "the list of machines can't be used in full")
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
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for h.fencedRefusals < maxFencedRefusals {
		select {
		case <-ctx.Done():
			return
		case e := <-h.events:
			e()
			h.drain()
		case <-ticker.C:
			h.refreshMachines(ctx)
			h.storeRecords(ctx)
			if time.Since(h.cordonsReadAt) >= cordonsSyncInterval {
				h.syncCordons(ctx)
			}
			if time.Since(h.cleanedUpAt) >= cleanupInterval {
				h.cleanUp(ctx)
			}
		}
		if ctx.Err() == nil && !h.listedAt.IsZero() && time.Since(h.plannedAt) >= planInterval {
			h.plan(ctx)
		}
	}
	h.Logger.Warn("the machine service has seen a higher fencing token; stepping down")
}

// drain handles the events that are queued already, so that a plan is made from all of them.
func (h *Holder) drain() {
	for range cap(h.events) {
		select {
		case e := <-h.events:
			e()
		default:
			return
		}
	}
}

// storeRecords stores the state that a successor loads, when it is due.
func (h *Holder) storeRecords(ctx context.Context) {
	if !h.leaseValid() {
		return
	}
	h.refreshRecentCommands(ctx)
	h.storeWaves(ctx)
	if h.planner.PeakChanges() != h.storedPeakChanges || time.Since(h.historyStoredAt) >= historyInterval {
		h.storeDemandHistory(ctx)
	}
}

// listDue reports whether the link allows for another list of the length of the last one.
func (h *Holder) listDue(now time.Time) bool {
	return now.Sub(h.requestedAt) >= h.Link.Interval(h.listedMachines.Bytes, listShare)-listSlack
}

// refreshMachines lists the machines in the background, unless a list is in progress or would take too much of
// the link.
func (h *Holder) refreshMachines(ctx context.Context) {
	requestedAt := time.Now()
	if h.listing || !h.listDue(requestedAt) {
		return
	}
	h.listing, h.requestedAt = true, requestedAt
	go func() {
		list, err := h.list(ctx)
		h.send(func() {
			h.listing = false
			if err != nil {
				h.Logger.Warn("machines not listed", "error", err)
				return
			}
			h.listedMachines, h.listedAt = list, requestedAt
			h.machineFaults.Replace(list.Faults())
			h.machineFaults.Log()
		})
	}()
}

func (h *Holder) plan(ctx context.Context) {
	config := h.Config()
	if config == nil {
		return
	}
	h.plannedAt = time.Now()
	snapshot := fleetplan.Snapshot{Now: h.plannedAt, Machines: h.listedMachines.Machines, Incomplete: h.listedMachines.Incomplete != nil, ListedAt: h.listedAt, Pools: config.Pools, Loads: h.loads, LoadsReadAt: h.loadsReadAt, Cordons: h.cordons}
	for _, wave := range h.waves {
		snapshot.Waves = append(snapshot.Waves, wave)
	}
	if !h.leaseValid() {
		return // a successor may be acting already
	}
	actions := h.planner.Plan(snapshot)
	h.logNeeds()
	h.publishExhausted(ctx)
	h.setCordons(ctx, actions)
	h.queueCommands(actions)
	h.announceQueued(ctx)
	h.reportWaves(ctx, actions)
}

func (h *Holder) list(ctx context.Context) (cluster.MachineList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Machines.List(ctx)
}

// needsLogInterval is the minimum time between two log lines about the needs of services.
const needsLogInterval = 500 * time.Millisecond

// logNeeds logs the needs of the services when they have changed.
func (h *Holder) logNeeds() {
	needs := h.planner.Needs()
	if needs == h.loggedNeeds || time.Since(h.needsLoggedAt) < needsLogInterval {
		return
	}
	h.loggedNeeds, h.needsLoggedAt = needs, time.Now()
	h.Logger.Info("needs", "services", needs)
}

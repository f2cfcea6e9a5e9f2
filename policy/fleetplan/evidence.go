package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// DemandHistory is what a planner has learned of the demand, for its successor.
type DemandHistory struct {
	PeakStarts []PeakStart                       `json:"turns"`
	Services   map[cluster.Service]DemandProfile `json:"services"`
}

// PeakStart is the beginning of one service's peak.
type PeakStart struct {
	Service cluster.Service `json:"service"`
	At      time.Time       `json:"at"`
}

// DemandProfile is what is known of one service's demand; rates are in thousandths of a core.
type DemandProfile struct {
	MeanRate float64 `json:"mean"`
	// MeanJobWork is the mean work of a job, in core-milliseconds.
	MeanJobWork  float64 `json:"size"`
	LastPeakRate float64 `json:"peak,omitempty"` // of the last one that is over, zero where none is
	// PeakSince is when the peak that lasts began, zero between peaks.
	PeakSince time.Time `json:"hotFrom,omitzero"`
	// PeakSustainedRate is the highest rate so far in the peak that lasts.
	PeakSustainedRate float64 `json:"top,omitempty"`
	// PeakMaxRate is the same, over however short a time.
	PeakMaxRate float64 `json:"most,omitempty"`
}

// PeakChanges counts the beginnings and ends of peaks that were seen.
func (p *Planner) PeakChanges() int { return p.news }

// DemandHistory returns what the planner has learned.
func (p *Planner) DemandHistory() DemandHistory {
	e := DemandHistory{PeakStarts: slices.Clone(p.turns.history), Services: map[cluster.Service]DemandProfile{}}
	for service, d := range p.demand {
		habit := DemandProfile{MeanRate: d.mean, MeanJobWork: d.size, LastPeakRate: p.turns.peaks[service]}
		if d.notable {
			habit.PeakSince, habit.PeakSustainedRate, habit.PeakMaxRate = d.hotFrom, d.top, d.most
		}
		e.Services[service] = habit
	}
	return e
}

// RestoreDemandHistory takes in what an earlier planner learned.
func (p *Planner) RestoreDemandHistory(e DemandHistory) {
	p.turns.history = slices.Clone(e.PeakStarts)
	for _, service := range slices.Sorted(maps.Keys(e.Services)) {
		habit := e.Services[service]
		p.turns.known[service] = true
		p.turns.noteHeight(service, habit.LastPeakRate)
		d := p.demandOf(service)
		d.mean = habit.MeanRate
		d.size = habit.MeanJobWork
		d.hot = !habit.PeakSince.IsZero()
		d.notable = d.hot
		d.hotFrom = habit.PeakSince
		d.top = habit.PeakSustainedRate
		d.most = habit.PeakMaxRate
	}
}

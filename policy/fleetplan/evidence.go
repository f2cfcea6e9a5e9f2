package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// DemandHistory is what a planner has learned of the demand, for its successor.
type DemandHistory struct {
	PeakStarts []PeakStart               `json:"turns"`
	Services   map[cluster.Service]Habit `json:"services"`
}

// PeakStart is the beginning of one service's peak.
type PeakStart struct {
	Service cluster.Service `json:"service"`
	At      time.Time       `json:"at"`
}

// Habit is what is known of one service's demand; rates are in thousandths of a core.
type Habit struct {
	Mean float64 `json:"mean"`
	// Size is the mean work of a job, in core-milliseconds.
	Size float64 `json:"size"`
	Peak float64 `json:"peak,omitempty"` // of the last one that is over, zero where none is
	// HotFrom is when the peak that lasts began, zero between peaks.
	HotFrom time.Time `json:"hotFrom,omitzero"`
	// Top is the highest rate so far in the peak that lasts.
	Top float64 `json:"top,omitempty"`
	// Most is the same, over however short a time.
	Most float64 `json:"most,omitempty"`
}

// PeakChanges counts the beginnings and ends of peaks that were seen.
func (p *Planner) PeakChanges() int { return p.news }

// DemandHistory returns what the planner has learned.
func (p *Planner) DemandHistory() DemandHistory {
	e := DemandHistory{PeakStarts: slices.Clone(p.turns.history), Services: map[cluster.Service]Habit{}}
	for service, d := range p.demand {
		habit := Habit{Mean: d.mean, Size: d.size, Peak: p.turns.peaks[service]}
		if d.notable {
			habit.HotFrom, habit.Top, habit.Most = d.hotFrom, d.top, d.most
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
		p.turns.noteHeight(service, habit.Peak)
		d := p.demandOf(service)
		d.mean = habit.Mean
		d.size = habit.Size
		d.hot = !habit.HotFrom.IsZero()
		d.notable = d.hot
		d.hotFrom = habit.HotFrom
		d.top = habit.Top
		d.most = habit.Most
	}
}

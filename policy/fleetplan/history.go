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

// PeakStart is the start of one service's peak.
type PeakStart struct {
	Service cluster.Service `json:"service"`
	At      time.Time       `json:"at"`
}

// DemandProfile holds the learned figures of one service's demand; rates are in thousandths
// of a core.
type DemandProfile struct {
	MeanRate float64 `json:"mean"`
	// MeanJobWork is the mean work of a job, in core-milliseconds.
	MeanJobWork  float64 `json:"size"`
	LastPeakRate float64 `json:"peak,omitempty"` // sustained, of the last peak that ended; zero without one
	// PeakSince is when the current peak started, zero between peaks.
	PeakSince time.Time `json:"hotFrom,omitzero"`
	// PeakSustainedRate is the highest rate over a rateWindow in the current peak so far.
	PeakSustainedRate float64 `json:"top,omitempty"`
	// PeakMaxRate is the highest rate in the current peak so far, over however short a
	// time.
	PeakMaxRate float64 `json:"most,omitempty"`
}

// PeakChanges returns how many starts and ends of peaks were detected.
func (p *Planner) PeakChanges() int { return p.peakChanges }

// DemandHistory returns what the planner has learned.
func (p *Planner) DemandHistory() DemandHistory {
	history := DemandHistory{PeakStarts: slices.Clone(p.peaks.starts), Services: map[cluster.Service]DemandProfile{}}
	for service, d := range p.demand {
		profile := DemandProfile{MeanRate: d.meanRate, MeanJobWork: d.meanJobWork, LastPeakRate: p.peaks.lastRates[service]}
		if d.significant {
			profile.PeakSince, profile.PeakSustainedRate, profile.PeakMaxRate = d.peakSince, d.peakSustainedRate, d.peakMaxRate
		}
		history.Services[service] = profile
	}
	return history
}

// RestoreDemandHistory loads what an earlier planner learned.
func (p *Planner) RestoreDemandHistory(history DemandHistory) {
	p.peaks.starts = slices.Clone(history.PeakStarts)
	for _, service := range slices.Sorted(maps.Keys(history.Services)) {
		profile := history.Services[service]
		p.peaks.services[service] = true
		p.peaks.recordPeakRate(service, profile.LastPeakRate)
		d := p.demandOf(service)
		d.meanRate = profile.MeanRate
		d.meanJobWork = profile.MeanJobWork
		d.inPeak = !profile.PeakSince.IsZero()
		d.significant = d.inPeak
		d.peakSince = profile.PeakSince
		d.peakSustainedRate = profile.PeakSustainedRate
		d.peakMaxRate = profile.PeakMaxRate
	}
}

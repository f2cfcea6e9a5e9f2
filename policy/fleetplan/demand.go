package fleetplan

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// rateWindow is over how long the present rate of arriving work is taken.
	rateWindow = 1200 * time.Millisecond
	// hotFactor is how far above its mean a service's rate must be for a peak.
	hotFactor = 2.0
	// coolFactor is how far below its mean the rate must fall for the peak to be over.
	coolFactor = 0.7
	// hotJobs is the least number of jobs within the window of a peak: a few large
	// jobs that come together by chance are none.
	hotJobs = 4
	// warmUp is how long a service is watched before peaks are told from its mean.
	warmUp = 1 * time.Second
)

// sample is what has arrived by a time; work is in core-milliseconds.
type sample struct {
	at   time.Time
	work int64
	jobs int64
}

// demand follows the rate at which a service's work arrives.
type demand struct {
	samples []sample // of the last rateWindow
	rate    float64  // thousandths of a core
	first   sample
	mean    float64
	hot     bool
	hotFrom sample
}

func (p *Planner) demandOf(service cluster.Service) *demand {
	d := p.demand[service]
	if d == nil {
		d = &demand{}
		p.demand[service] = d
	}
	return d
}

// observe takes in the loads, and notes where peaks begin.
func (p *Planner) observe(v *view) {
	for service, load := range v.Loads {
		d := p.demandOf(service)
		p.turns.known[service] = true
		if d.take(sample{v.Now, load.ArrivedWork, load.ArrivedJobs}) {
			p.turns.begin(service, v.Now)
		}
		if d.hot {
			p.turns.noteRate(service, rateBetween(d.hotFrom, d.samples[len(d.samples)-1]))
		}
	}
}

// take takes in a sample and reports whether a peak has begun.
func (d *demand) take(s sample) bool {
	if n := len(d.samples); n > 0 && s.work < d.samples[n-1].work || d.first.at.IsZero() {
		*d = demand{first: s} // a new owner counts from zero
	}
	d.samples = append(d.samples, s)
	for len(d.samples) > 2 && s.at.Sub(d.samples[1].at) >= rateWindow {
		d.samples = d.samples[1:]
	}
	d.rate = rateBetween(d.samples[0], s)
	d.mean = rateBetween(d.first, s)
	if s.at.Sub(d.first.at) < warmUp {
		return false
	}
	switch {
	case !d.hot && d.rate > hotFactor*d.mean && s.jobs-d.samples[0].jobs >= hotJobs:
		d.hot = true
		d.hotFrom = d.samples[0]
		return true
	case d.hot && d.rate < coolFactor*d.mean:
		d.hot = false
	}
	return false
}

// rateBetween is the rate between two samples in thousandths of a core.
func rateBetween(a, b sample) float64 {
	ms := b.at.Sub(a.at).Milliseconds()
	if ms <= 0 {
		return 0
	}
	return float64(b.work-a.work) * 1000 / float64(ms)
}

package fleetplan

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// rateWindow is the longest time over which the present rate of arriving work is
	// taken.
	rateWindow = 1200 * time.Millisecond
	// rateShortest is the shortest such time.
	rateShortest = 250 * time.Millisecond
	// hotFactor is how far above its mean a service's rate must be for a peak.
	hotFactor = 2.0
	// coolFactor is how far below its mean the rate must fall for the peak to be over.
	coolFactor = 0.7
	// hotJobs is the least number of jobs from which a rate is taken: a few large
	// jobs that come together by chance are no peak.
	hotJobs = 5
	// onset is how long demand rises to the height of the last peak at least, and where
	// the distance between peaks is not known yet.
	onset = 1500 * time.Millisecond
	// onsetShare is the same as a share of the distance between peaks: demand rises
	// for half of a peak.
	onsetShare = 0.4
	// meanWeight is for how long a mean taken over from an earlier planner counts.
	meanWeight = 10 * time.Second
	// warmUp is how long a service is watched before peaks are told from its mean,
	// unless an earlier mean is known.
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
	earlier float64 // mean that an earlier planner, or owner, left
	hot     bool
	hotFrom time.Time
	top     float64 // highest rate over a rateWindow in this peak
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
		switch d.take(sample{v.Now, load.ArrivedWork, load.ArrivedJobs}) {
		case peakBegins:
			p.news++
			p.turns.begin(service, v.Now)
		case peakEnds:
			p.news++
			p.turns.noteHeight(service, d.top)
		}
	}
}

// change is what a sample says about a service's peak.
type change uint8

const (
	noChange change = iota
	peakBegins
	peakEnds
)

// restart begins to count anew, as a new owner does; what was learned stays.
func (d *demand) restart(s sample) {
	*d = demand{first: s, earlier: d.mean, mean: d.mean, hot: d.hot, hotFrom: d.hotFrom, top: d.top}
}

// take takes in a sample and tells whether a peak has begun or ended.
func (d *demand) take(s sample) change {
	if n := len(d.samples); n > 0 && s.work < d.samples[n-1].work || d.first.at.IsZero() {
		d.restart(s)
	}
	d.samples = append(d.samples, s)
	for len(d.samples) > 2 && s.at.Sub(d.samples[1].at) >= rateWindow {
		d.samples = d.samples[1:]
	}
	d.rate = d.steepest(s)
	d.mean = d.meanUntil(s)
	if d.earlier == 0 && s.at.Sub(d.first.at) < warmUp {
		return noChange
	}
	switch {
	case !d.hot && d.rate > hotFactor*d.mean:
		d.hot = true
		d.hotFrom = d.samples[0].at
		d.top = 0
		return peakBegins
	case d.hot && d.rate < coolFactor*d.mean && s.at.Sub(d.first.at) >= warmUp:
		d.hot = false
		return peakEnds
	}
	if d.hot && s.at.Sub(d.samples[0].at) >= rateWindow {
		d.top = max(d.top, rateBetween(d.samples[0], s))
	}
	return noChange
}

// meanUntil is the mean rate up to s, in which one taken over counts for meanWeight.
func (d *demand) meanUntil(s sample) float64 {
	measured := rateBetween(d.first, s)
	if d.earlier == 0 {
		return measured
	}
	span := s.at.Sub(d.first.at).Seconds()
	weight := meanWeight.Seconds()
	return (d.earlier*weight + measured*span) / (weight + span)
}

// expected is the rate to make room for by the time that a machine called now has
// come. A peak is taken to rise evenly to the height of the last one.
func (d *demand) expected(now time.Time, peak float64, rise, lead time.Duration) float64 {
	switch since := now.Sub(d.hotFrom); {
	case !d.hot:
		return 0
	case since < rise:
		return max(d.rate, peak*risen(since+lead, rise))
	default:
		return d.rate
	}
}

// risen is the share of its height that a peak has reached some time after its
// beginning.
func risen(since, rise time.Duration) float64 {
	return min(1, max(0, since.Seconds()/rise.Seconds()))
}

// steepest is the highest rate up to s over any time within the window that holds
// enough jobs, or zero.
func (d *demand) steepest(s sample) float64 {
	rate := 0.0
	for _, from := range d.samples {
		if s.jobs-from.jobs < hotJobs {
			break
		}
		if s.at.Sub(from.at) >= rateShortest {
			rate = max(rate, rateBetween(from, s))
		}
	}
	return rate
}

// rateBetween is the rate between two samples in thousandths of a core.
func rateBetween(a, b sample) float64 {
	ms := b.at.Sub(a.at).Milliseconds()
	if ms <= 0 {
		return 0
	}
	return float64(b.work-a.work) * 1000 / float64(ms)
}

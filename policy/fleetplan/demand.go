package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// rateWindow is the longest time over which the present rate of arriving jobs is
	// taken.
	rateWindow = 2400 * time.Millisecond
	// rateShortest is the shortest such time.
	rateShortest = 250 * time.Millisecond
	// hotFactor is how far above its mean a service's rate must be for a peak.
	hotFactor = 2.0
	// coolFactor is how far below its mean the rate must fall for the peak to be over.
	coolFactor = 0.7
	// hotJobs is the least number of jobs from which a rate is taken: a few large
	// jobs that come together by chance are no peak.
	hotJobs = 5
	// rateJobs is the number of jobs over which the present rate is taken, as far as
	// they came within rateWindow.
	rateJobs = 8
	// sizeWeight is for how many jobs a mean size taken over from an earlier planner
	// counts.
	sizeWeight = 20.0
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

// demand follows the rate at which a service's work arrives: jobs a second, times their
// mean size. Sizes differ so much that the work of a few jobs says little.
type demand struct {
	samples    []sample // of the last rateWindow
	rate       float64  // thousandths of a core
	sustained  float64  // the same, over a rateWindow
	size       float64  // mean work of a job, core-milliseconds
	first      sample
	mean       float64
	sizeBefore float64 // mean size that an earlier planner, or owner, left
	earlier    float64 // mean that an earlier planner, or owner, left
	hot        bool
	notable    bool // the peak that lasts counts as a turn
	resumed    bool // the peak that lasts continues a turn after a dip
	hotFrom    time.Time
	top        float64 // highest rate over a rateWindow in this peak
	most       float64 // highest rate in this peak
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
	ended := map[cluster.Service]bool{}
	for service, load := range v.Loads {
		d := p.demandOf(service)
		p.turns.known[service] = true
		before := d.hot
		ended[service] = d.take(sample{v.Now, load.ArrivedWork, load.ArrivedJobs})
		if d.hot && !before {
			p.resume(service, d)
		}
	}
	notable := p.notableRate(v)
	for _, service := range slices.Sorted(maps.Keys(v.Loads)) {
		p.noteTurn(service, notable, ended[service])
	}
}

// noteTurn notes that a service's peak has become a turn, or is over. A turn that demand
// of others has come to exceed by far is withdrawn: what it began with was chance.
func (p *Planner) noteTurn(service cluster.Service, notable float64, ended bool) {
	d := p.demandOf(service)
	switch {
	case d.notable && !d.resumed && max(d.top, d.most) < notable:
		p.turns.withdraw(service, d.hotFrom)
	case ended && d.notable:
		p.turns.noteHeight(service, d.top)
	case d.hot && !d.notable && d.rate >= notable:
		if !d.resumed {
			p.turns.begin(service, d.hotFrom)
		}
		d.notable = true
		p.news++
		return
	default:
		return
	}
	d.notable = false
	p.news++
}

// resume joins a peak that has just begun to the turn that it continues after a dip: its
// rise is over, and its height is that of the whole turn.
func (p *Planner) resume(service cluster.Service, d *demand) {
	turn, found := p.turns.continues(service, d.hotFrom)
	d.resumed = found
	if found {
		d.hotFrom = turn.At
		d.top = p.turns.peaks[service]
	}
}

// notableShare is the share of the highest peak that another one must reach to count.
const notableShare = 0.25

// notableRate is the rate from which a peak counts as a turn: one that the machines
// which each pool keeps can serve needs no plan, and a small one says nothing of others.
// Demand that lasts counts like the peaks that are over: before the first of them there
// is nothing else to tell chance from a peak by.
func (p *Planner) notableRate(v *view) float64 {
	kept := float64(leastMachines * v.machineCPU())
	highest := p.turns.highest()
	for service := range v.Loads {
		highest = max(highest, p.demandOf(service).sustained)
	}
	return max(kept, notableShare*highest)
}

// restart begins to count anew, as a new owner does; what was learned stays.
func (d *demand) restart(s sample) {
	*d = demand{
		first:   s,
		earlier: d.mean, mean: d.mean,
		sizeBefore: d.size, size: d.size,
		hot: d.hot, notable: d.notable, resumed: d.resumed, hotFrom: d.hotFrom, top: d.top, most: d.most,
	}
}

// take takes in a sample and tells whether a peak has ended.
func (d *demand) take(s sample) (ended bool) {
	if n := len(d.samples); n > 0 && s.work < d.samples[n-1].work || d.first.at.IsZero() {
		d.restart(s)
	}
	d.samples = append(d.samples, s)
	for len(d.samples) > 2 && s.at.Sub(d.samples[1].at) >= rateWindow {
		d.samples = d.samples[1:]
	}
	d.size = d.sizeUntil(s)
	from, jobsPerS := d.recent(s)
	d.rate = jobsPerS * d.size
	d.sustained = jobRate(d.samples[0], s) * d.size
	d.mean = d.meanUntil(s)
	if d.earlier == 0 && s.at.Sub(d.first.at) < warmUp {
		return false
	}
	switch {
	case !d.hot && d.rate > hotFactor*d.mean:
		d.hot = true
		d.hotFrom = from.at
		d.top = 0
		d.most = d.rate
		return false
	case d.hot && d.rate < coolFactor*d.mean && s.at.Sub(d.first.at) >= warmUp:
		d.hot = false
		return true
	}
	if d.hot {
		d.most = max(d.most, d.rate)
	}
	if d.hot && s.at.Sub(d.hotFrom) >= rateWindow {
		d.top = max(d.top, d.sustained)
	}
	return false
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
// come. A peak is taken to rise evenly to the height of the last one; one without a
// precedent to go on rising as it has so far.
func (d *demand) expected(now time.Time, peak float64, rise, lead time.Duration) float64 {
	switch since := now.Sub(d.hotFrom); {
	case !d.hot:
		return 0
	case peak == 0 && since < lead:
		return d.rate * grown(since, lead)
	case since < rise:
		return max(d.rate, peak*risen(since+lead, rise))
	default:
		return d.rate
	}
}

// mostGrowth bounds how far a rise is taken to go on: its first moments say little.
const mostGrowth = 2.5

// grown is how many times its present rate a peak that has risen evenly since its
// beginning has after a further time.
func grown(since, further time.Duration) float64 {
	if since <= 0 {
		return mostGrowth
	}
	return min(mostGrowth, 1+further.Seconds()/since.Seconds())
}

// risen is the share of its height that a peak has reached some time after its
// beginning.
func risen(since, rise time.Duration) float64 {
	return min(1, max(0, since.Seconds()/rise.Seconds()))
}

// rateBetween is the rate between two samples in thousandths of a core.
func rateBetween(a, b sample) float64 {
	ms := b.at.Sub(a.at).Milliseconds()
	if ms <= 0 {
		return 0
	}
	return float64(b.work-a.work) * 1000 / float64(ms)
}

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
	minRateWindow = 250 * time.Millisecond
	// hotFactor is how far above its mean a service's rate must be for a peak.
	peakFactor = 2.0
	// coolFactor is how far below its mean the rate must fall for the peak to be over.
	peakEndFactor = 0.7
	// hotJobs is the least number of jobs from which a rate is taken: a few large
	// jobs that come together by chance are no peak.
	minRateJobs = 5
	// rateJobs is the number of jobs over which the present rate is taken, as far as
	// they came within rateWindow.
	rateJobs = 8
	// sizeWeight is for how many jobs a mean size taken over from an earlier planner
	// counts.
	priorWorkWeight = 20.0
	// onset is how long demand rises to the height of the last peak at least, and where
	// the distance between peaks is not known yet.
	minRiseTime = 1500 * time.Millisecond
	// onsetShare is the same as a share of the distance between peaks: demand rises
	// for half of a peak.
	riseTimeShare = 0.4
	// meanWeight is for how long a mean taken over from an earlier planner counts.
	priorMeanWeight = 10 * time.Second
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
	samples           []sample // of the last rateWindow
	rate              float64  // thousandths of a core
	sustained         float64  // the same, over a rateWindow
	meanJobWork       float64  // mean work of a job, core-milliseconds
	first             sample
	meanRate          float64
	priorJobWork      float64 // mean size that an earlier planner, or owner, left
	priorMeanRate     float64 // mean that an earlier planner, or owner, left
	inPeak            bool
	significant       bool // the peak that lasts counts as a turn
	resumed           bool // the peak that lasts continues a turn after a dip
	peakSince         time.Time
	peakSustainedRate float64 // highest rate over a rateWindow in this peak
	peakMaxRate       float64 // highest rate in this peak
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
		p.peaks.services[service] = true
		wasInPeak := d.inPeak
		ended[service] = d.addSample(sample{v.Now, load.ArrivedWork, load.ArrivedJobs})
		if d.inPeak && !wasInPeak {
			p.resumePeak(service, d)
		}
	}
	significantRate := p.significantRate(v)
	for _, service := range slices.Sorted(maps.Keys(v.Loads)) {
		p.updatePeak(service, significantRate, ended[service])
	}
}

// noteTurn notes that a service's peak has become a turn, or is over. A turn that demand
// of others has come to exceed by far is withdrawn: what it began with was chance.
func (p *Planner) updatePeak(service cluster.Service, significantRate float64, ended bool) {
	d := p.demandOf(service)
	switch {
	case d.significant && !d.resumed && max(d.peakSustainedRate, d.peakMaxRate) < significantRate:
		p.peaks.revokeStart(service, d.peakSince)
	case ended && d.significant:
		p.peaks.recordPeakRate(service, d.peakSustainedRate)
	case d.inPeak && !d.significant && d.rate >= significantRate:
		if !d.resumed {
			p.peaks.recordStart(service, d.peakSince)
		}
		d.significant = true
		p.peakChanges++
		return
	default:
		return
	}
	d.significant = false
	p.peakChanges++
}

// resume joins a peak that has just begun to the turn that it continues after a dip: its
// rise is over, and its height is that of the whole turn.
func (p *Planner) resumePeak(service cluster.Service, d *demand) {
	start, found := p.peaks.ongoing(service, d.peakSince)
	d.resumed = found
	if found {
		d.peakSince = start.At
		d.peakSustainedRate = p.peaks.lastRates[service]
	}
}

// notableShare is the share of the highest peak that another one must reach to count.
const significantShare = 0.25

// notableRate is the rate from which a peak counts as a turn: one that the machines
// which each pool keeps can serve needs no plan, and a small one says nothing of others.
// Demand that lasts counts like the peaks that are over: before the first of them there
// is nothing else to tell chance from a peak by.
func (p *Planner) significantRate(v *view) float64 {
	keptCPU := float64(minPoolMachines * v.machineCPU())
	highest := p.peaks.highestPeakRate()
	for service := range v.Loads {
		highest = max(highest, p.demandOf(service).sustained)
	}
	return max(keptCPU, significantShare*highest)
}

// restart begins to count anew, as a new owner does; what was learned stays.
func (d *demand) restart(s sample) {
	*d = demand{
		first:         s,
		priorMeanRate: d.meanRate, meanRate: d.meanRate,
		priorJobWork: d.meanJobWork, meanJobWork: d.meanJobWork,
		inPeak: d.inPeak, significant: d.significant, resumed: d.resumed, peakSince: d.peakSince, peakSustainedRate: d.peakSustainedRate, peakMaxRate: d.peakMaxRate,
	}
}

// take takes in a sample and tells whether a peak has ended.
func (d *demand) addSample(s sample) (ended bool) {
	if n := len(d.samples); n > 0 && s.work < d.samples[n-1].work || d.first.at.IsZero() {
		d.restart(s)
	}
	d.samples = append(d.samples, s)
	for len(d.samples) > 2 && s.at.Sub(d.samples[1].at) >= rateWindow {
		d.samples = d.samples[1:]
	}
	d.meanJobWork = d.meanJobWorkAt(s)
	from, jobsPerS := d.recentJobRate(s)
	d.rate = jobsPerS * d.meanJobWork
	d.sustained = jobRate(d.samples[0], s) * d.meanJobWork
	d.meanRate = d.meanRateAt(s)
	if d.priorMeanRate == 0 && s.at.Sub(d.first.at) < warmUp {
		return false
	}
	switch {
	case !d.inPeak && d.rate > peakFactor*d.meanRate:
		d.inPeak = true
		d.peakSince = from.at
		d.peakSustainedRate = 0
		d.peakMaxRate = d.rate
		return false
	case d.inPeak && d.rate < peakEndFactor*d.meanRate && s.at.Sub(d.first.at) >= warmUp:
		d.inPeak = false
		return true
	}
	if d.inPeak {
		d.peakMaxRate = max(d.peakMaxRate, d.rate)
	}
	if d.inPeak && s.at.Sub(d.peakSince) >= rateWindow {
		d.peakSustainedRate = max(d.peakSustainedRate, d.sustained)
	}
	return false
}

// meanUntil is the mean rate up to s, in which one taken over counts for meanWeight.
func (d *demand) meanRateAt(s sample) float64 {
	measured := workRate(d.first, s)
	if d.priorMeanRate == 0 {
		return measured
	}
	span := s.at.Sub(d.first.at).Seconds()
	weight := priorMeanWeight.Seconds()
	return (d.priorMeanRate*weight + measured*span) / (weight + span)
}

// expected is the rate to make room for by the time that a machine called now has
// come. A peak is taken to rise evenly to the height of the last one; one without a
// precedent to go on rising as it has so far.
func (d *demand) expectedRate(now time.Time, peakRate float64, riseTime, lead time.Duration) float64 {
	switch since := now.Sub(d.peakSince); {
	case !d.inPeak:
		return 0
	case peakRate == 0 && since < lead:
		return d.rate * growth(since, lead)
	case since < riseTime:
		return max(d.rate, peakRate*riseFraction(since+lead, riseTime))
	default:
		return d.rate
	}
}

// mostGrowth bounds how far a rise is taken to go on: its first moments say little.
const maxGrowth = 2.5

// grown is how many times its present rate a peak that has risen evenly since its
// beginning has after a further time.
func growth(since, further time.Duration) float64 {
	if since <= 0 {
		return maxGrowth
	}
	return min(maxGrowth, 1+further.Seconds()/since.Seconds())
}

// risen is the share of its height that a peak has reached some time after its
// beginning.
func riseFraction(since, riseTime time.Duration) float64 {
	return min(1, max(0, since.Seconds()/riseTime.Seconds()))
}

// rateBetween is the rate between two samples in thousandths of a core.
func workRate(a, b sample) float64 {
	ms := b.at.Sub(a.at).Milliseconds()
	if ms <= 0 {
		return 0
	}
	return float64(b.work-a.work) * 1000 / float64(ms)
}

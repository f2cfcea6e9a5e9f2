package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// rateWindow is the longest time over which the current arrival rate of jobs is
	// measured.
	rateWindow = 2400 * time.Millisecond
	// minRateWindow is the shortest time over which this rate is measured.
	minRateWindow = 250 * time.Millisecond
	// peakFactor is the multiple of its mean that a service's rate must exceed for a peak
	// to start.
	peakFactor = 2.0
	// peakEndFactor is the multiple of the mean below which the rate must fall for the
	// peak to end.
	peakEndFactor = 0.7
	// minRateJobs is the minimum number of jobs from which a rate is measured: a few
	// large jobs that arrive together by chance are not a peak.
	minRateJobs = 5
	// rateJobs is the number of jobs over which the current rate is measured, if that
	// many arrived within rateWindow.
	rateJobs = 8
	// priorWorkWeight is the weight, in jobs, of a mean work per job restored from an
	// earlier planner.
	priorWorkWeight = 20.0
	// minRiseTime is the minimum time in which demand rises to its peak rate, and the
	// value used while the peak interval is unknown.
	minRiseTime = 1500 * time.Millisecond
	// riseTimeShare is the rise time as a share of the interval between peak starts;
	// demand rises during the first half of a peak.
	riseTimeShare = 0.4
	// priorMeanWeight is the weight, as an observation time, of a mean rate restored from
	// an earlier planner.
	priorMeanWeight = 10 * time.Second
	// warmUp is how long a service is observed before peaks are detected, unless an
	// earlier mean rate is known.
	warmUp = 1 * time.Second
)

// sample holds the cumulative arrivals up to a time; work is in core-milliseconds.
type sample struct {
	at   time.Time
	work int64
	jobs int64
}

// demand tracks the rate at which a service's work arrives: jobs per second times the
// mean work of a job. The work of jobs differs so much that the work of a few jobs is a
// poor estimate.
type demand struct {
	gaps int64 // shard.Load.ObservationGaps, as of the last sample
	// blindUntil is the time until which the samples don't show the rate: they begin after an
	// observation gap.
	blindUntil        time.Time
	samples           []sample // of the last rateWindow
	rate              float64  // thousandths of a core
	sustained         float64  // rate over a whole rateWindow
	meanJobWork       float64  // mean work of a job, core-milliseconds
	first             sample
	meanRate          float64
	priorJobWork      float64 // meanJobWork under an earlier planner or owner, 0 if unknown
	priorMeanRate     float64 // meanRate under an earlier planner or owner, 0 if unknown
	inPeak            bool
	significant       bool // the current peak is recorded in the peak sequence
	resumed           bool // the current peak continues a recorded one after a dip
	peakSince         time.Time
	peakSustainedRate float64 // highest rate over a rateWindow in this peak
	peakMaxRate       float64 // highest rate in this peak, over however short a time
}

func (p *Planner) demandOf(service cluster.Service) *demand {
	d := p.demand[service]
	if d == nil {
		d = &demand{}
		p.demand[service] = d
	}
	return d
}

// observe adds the loads to the demand of their services and records when peaks start
// and end, if the loads were read again since the last plan.
func (p *Planner) observe(v *view) {
	if !v.LoadsReadAt.After(p.loadsReadAt) {
		return // nothing is known of the time since then
	}
	missed := !p.loadsReadAt.IsZero() && v.LoadsReadAt.Sub(p.loadsReadAt) > maxLoadsPause
	p.loadsReadAt = v.LoadsReadAt
	ended := map[cluster.Service]bool{}
	for service, load := range v.Loads {
		d := p.demandOf(service)
		p.peaks.services[service] = true
		wasInPeak := d.inPeak
		s := sample{v.LoadsReadAt, load.ArrivedWork, load.ArrivedJobs}
		if missed || load.ObservationGaps != d.gaps {
			d.gaps = load.ObservationGaps
			d.skipGap(s)
		}
		ended[service] = d.addSample(s)
		if d.inPeak && !wasInPeak {
			p.resumePeak(service, d)
		}
	}
	significantRate := p.significantRate(v)
	for _, service := range slices.Sorted(maps.Keys(v.Loads)) {
		p.updatePeak(service, significantRate, ended[service])
	}
}

// updatePeak records that a service's peak has become significant or has ended. A peak
// that the demand of other services has since exceeded by far is revoked: it was chance.
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

// resumePeak joins a peak that has just started to the recorded peak that it continues
// after a dip: its rise is over, and its peak rate is that of the whole peak.
func (p *Planner) resumePeak(service cluster.Service, d *demand) {
	start, found := p.peaks.ongoing(service, d.peakSince)
	d.resumed = found
	if found {
		d.peakSince = start.At
		d.peakSustainedRate = p.peaks.lastRates[service]
	}
}

// significantShare is the share of the highest peak rate that a peak must reach to be
// significant.
const significantShare = 0.25

// significantRate returns the rate from which a peak is significant. A peak that the
// minimum machines of a pool can serve needs no plan, and a small one doesn't help to
// predict others. The sustained demand of the services counts like the rates of past
// peaks: before the first peak ends, nothing else separates a peak from chance.
func (p *Planner) significantRate(v *view) float64 {
	keptCPU := float64(minPoolMachines * v.machineCPU())
	highest := p.peaks.highestPeakRate()
	for service := range v.Loads {
		highest = max(highest, p.demandOf(service).sustained)
	}
	return max(keptCPU, significantShare*highest)
}

// restart starts a new count, as the counters of a new owner start from zero; what was
// learned stays.
func (d *demand) restart(s sample) {
	*d = demand{
		first:         s,
		priorMeanRate: d.meanRate, meanRate: d.meanRate,
		priorJobWork: d.meanJobWork, meanJobWork: d.meanJobWork,
		gaps: d.gaps, blindUntil: d.blindUntil,
		inPeak: d.inPeak, significant: d.significant, resumed: d.resumed, peakSince: d.peakSince, peakSustainedRate: d.peakSustainedRate, peakMaxRate: d.peakMaxRate,
	}
}

// skipGap starts to measure the rate anew after a time in which arrivals were not observed:
// those that were counted at once afterwards are no peak. A peak that had begun before goes
// on unchanged until the rate is known again.
func (d *demand) skipGap(s sample) {
	d.samples = d.samples[:0]
	d.blindUntil = s.at.Add(rateWindow)
}

// maxLoadsPause is the longest time between two readings of the loads from which the rate of
// arriving jobs can be derived.
const maxLoadsPause = 1 * time.Second

// addSample adds a sample and reports whether it ended a peak.
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
	d.sustained = 0
	if !s.at.Before(d.blindUntil) {
		d.sustained = jobRate(d.samples[0], s) * d.meanJobWork
	}
	d.meanRate = d.meanRateAt(s)
	if d.priorMeanRate == 0 && s.at.Sub(d.first.at) < warmUp || s.at.Before(d.blindUntil) {
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

// meanRateAt returns the mean rate up to s, in which a restored mean has the weight of
// priorMeanWeight.
func (d *demand) meanRateAt(s sample) float64 {
	measured := workRate(d.first, s)
	if d.priorMeanRate == 0 {
		return measured
	}
	span := s.at.Sub(d.first.at).Seconds()
	weight := priorMeanWeight.Seconds()
	return (d.priorMeanRate*weight + measured*span) / (weight + span)
}

// expectedRate returns the rate that the service needs capacity for when a machine
// requested now becomes usable, which takes lead. A peak is assumed to rise linearly to
// peakRate, the rate of the last peak; without one (zero), it is extrapolated from its
// rise so far.
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

// maxGrowth bounds the extrapolation of a rise, since its first moments are a poor
// estimate.
const maxGrowth = 2.5

// growth returns the factor by which a peak that has risen linearly since its start
// exceeds its current rate after a further time.
func growth(since, further time.Duration) float64 {
	if since <= 0 {
		return maxGrowth
	}
	return min(maxGrowth, 1+further.Seconds()/since.Seconds())
}

// riseFraction returns the share of its peak rate that a peak has reached some time
// after its start.
func riseFraction(since, riseTime time.Duration) float64 {
	return min(1, max(0, since.Seconds()/riseTime.Seconds()))
}

// workRate returns the rate between two samples in thousandths of a core.
func workRate(a, b sample) float64 {
	ms := b.at.Sub(a.at).Milliseconds()
	if ms <= 0 {
		return 0
	}
	return float64(b.work-a.work) * 1000 / float64(ms)
}

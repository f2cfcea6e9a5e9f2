package fleetplan

import "slices"

// meanJobWorkAt returns the mean work of a job up to s in core-milliseconds, in which a
// restored mean has the weight of priorWorkWeight jobs.
func (d *demand) meanJobWorkAt(s sample) float64 {
	jobs := float64(s.jobs - d.first.jobs)
	work := float64(s.work - d.first.work)
	if d.priorJobWork > 0 {
		jobs += priorWorkWeight
		work += priorWorkWeight * d.priorJobWork
	}
	if jobs == 0 {
		return 0
	}
	return work / jobs
}

// recentJobRate returns the arrival rate over the shortest time up to s that contains
// rateJobs jobs, or else minRateJobs, and the sample at which that time starts. With
// fewer jobs the rate is zero.
func (d *demand) recentJobRate(s sample) (from sample, jobsPerS float64) {
	for _, wanted := range []int64{rateJobs, minRateJobs} {
		for _, x := range slices.Backward(d.samples) {
			if s.jobs-x.jobs >= wanted && s.at.Sub(x.at) >= minRateWindow {
				return x, jobRate(x, s)
			}
		}
	}
	return d.samples[0], 0
}

// jobRate returns the arrival rate of jobs per second between two samples. One job is not
// counted: recentJobRate chooses a window bounded by an arrival, which would bias the rate.
func jobRate(a, b sample) float64 {
	span := b.at.Sub(a.at).Seconds()
	if span <= 0 {
		return 0
	}
	return float64(max(0, b.jobs-a.jobs-1)) / span
}

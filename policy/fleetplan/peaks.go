package fleetplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// overdueLimit is how long after its predicted start a peak is still expected.
	overdueLimit = 3 * time.Second
	// maxPeakStarts bounds the number of peak starts kept.
	maxPeakStarts = 12
	// maxPeakShare is the maximum length of a peak, dips included, as a multiple of the
	// peak interval: peaks overlap, and the next peak of the same service is at least two
	// intervals away.
	maxPeakShare = 1.5
)

// peakSequence learns the order and the interval of the services' peaks and predicts the
// next one.
type peakSequence struct {
	starts    []PeakStart                 // in the order of detection
	lastRates map[cluster.Service]float64 // rate of each service's last peak, thousandths of a core
	services  map[cluster.Service]bool    // all services seen, also those without a peak
}

func newPeakSequence() *peakSequence {
	return &peakSequence{lastRates: map[cluster.Service]float64{}, services: map[cluster.Service]bool{}}
}

// recordStart records that a peak has started.
func (s *peakSequence) recordStart(service cluster.Service, at time.Time) {
	if n := len(s.starts); n > 0 && s.starts[n-1].Service == service {
		return // the same peak after a dip, or a single service with peaks of its own
	}
	s.starts = append(s.starts, PeakStart{service, at})
	if len(s.starts) > maxPeakStarts {
		s.starts = s.starts[1:]
	}
}

// revokeStart removes a recorded start that was not a significant peak.
func (s *peakSequence) revokeStart(service cluster.Service, at time.Time) {
	s.starts = slices.DeleteFunc(s.starts, func(start PeakStart) bool { return start.Service == service && start.At.Equal(at) })
}

// ongoing returns the service's last recorded peak if demand that rises at the given time
// still belongs to it, after a dip.
func (s *peakSequence) ongoing(service cluster.Service, at time.Time) (PeakStart, bool) {
	if len(s.starts) < 2 {
		return PeakStart{}, false
	}
	_, interval := s.fitInterval()
	maxLength := time.Duration(maxPeakShare * float64(interval))
	for _, start := range slices.Backward(s.starts) {
		if start.Service == service {
			since := at.Sub(start.At)
			return start, since >= 0 && since < maxLength
		}
	}
	return PeakStart{}, false
}

// recordPeakRate records the peak rate of a service's peak that has ended; zero is
// ignored.
func (s *peakSequence) recordPeakRate(service cluster.Service, rate float64) {
	if rate > 0 {
		s.lastRates[service] = rate
	}
}

// highestPeakRate returns the highest peak rate of all services.
func (s *peakSequence) highestPeakRate() float64 {
	highest := 0.0
	for _, rate := range s.lastRates {
		highest = max(highest, rate)
	}
	return highest
}

// riseTime returns how long demand rises after a peak has started, at least minRiseTime:
// starts recorded by unsynchronised clocks may be too close together or out of order.
func (s *peakSequence) riseTime() time.Duration {
	if len(s.starts) < 2 {
		return minRiseTime
	}
	_, interval := s.fitInterval()
	return max(minRiseTime, time.Duration(riseTimeShare*float64(interval)))
}

// expectedPeakRate returns the rate to expect of a service at its peak: that of its last
// peak, or the mean over the other services if it has had none.
func (s *peakSequence) expectedPeakRate(service cluster.Service) float64 {
	if own := s.lastRates[service]; own > 0 {
		return own
	}
	sum := 0.0
	for _, rate := range s.lastRates {
		sum += rate
	}
	return sum / float64(max(1, len(s.lastRates)))
}

// dueWithin returns when the next peak of the service is predicted to start, and whether
// that is within lead from now or at most overdueLimit ago.
func (s *peakSequence) dueWithin(service cluster.Service, now time.Time, lead time.Duration) (time.Time, bool) {
	at, predicted := s.predict(service)
	return at, predicted && !now.Before(at.Add(-lead)) && now.Before(at.Add(overdueLimit))
}

// predict returns when the service's next peak will start, and false if another service
// is likely to have the next peak or fewer than two starts are recorded.
func (s *peakSequence) predict(service cluster.Service) (time.Time, bool) {
	if len(s.starts) < 2 {
		return time.Time{}, false
	}
	if s.nextService() != service {
		return time.Time{}, false
	}
	first, interval := s.fitInterval()
	return first.Add(time.Duration(len(s.starts)) * interval), true
}

// nextService returns the service that is likely to have the next peak: the one whose peak
// followed when the service of the latest peak had its previous one; else, since the
// services have their peaks in rotation, the only one without a peak so far; else the one
// whose last peak is longest ago. It is empty if several services have had no peak yet.
func (s *peakSequence) nextService() cluster.Service {
	last := s.starts[len(s.starts)-1]
	for i := len(s.starts) - 2; i >= 0; i-- {
		if s.starts[i].Service == last.Service {
			return s.starts[i+1].Service
		}
	}
	withoutPeak := s.withoutPeak()
	switch len(withoutPeak) {
	case 0:
		return s.leastRecent().Service
	case 1:
		return withoutPeak[0]
	default:
		return ""
	}
}

// withoutPeak returns the services without a recorded peak start.
func (s *peakSequence) withoutPeak() []cluster.Service {
	var list []cluster.Service
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		if !slices.ContainsFunc(s.starts, func(start PeakStart) bool { return start.Service == service }) {
			list = append(list, service)
		}
	}
	return list
}

// leastRecent returns the last peak start of the service whose last peak is longest ago.
func (s *peakSequence) leastRecent() PeakStart {
	latest := map[cluster.Service]PeakStart{}
	for _, start := range s.starts {
		latest[start.Service] = start
	}
	return slices.MinFunc(slices.Collect(maps.Values(latest)), func(a, b PeakStart) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service))
	})
}

// fitInterval fits evenly spaced times to the peak starts and returns the first time and
// the interval. Medians over all pairs (the Theil–Sen estimator) are robust against a
// start that was detected late, after an outage.
func (s *peakSequence) fitInterval() (first time.Time, interval time.Duration) {
	origin := s.starts[0].At
	var intervals, offsets []time.Duration
	for j := range s.starts {
		for i := range j {
			intervals = append(intervals, s.starts[j].At.Sub(s.starts[i].At)/time.Duration(j-i))
		}
	}
	interval = median(intervals)
	for i, start := range s.starts {
		offsets = append(offsets, start.At.Sub(origin)-time.Duration(i)*interval)
	}
	return origin.Add(median(offsets)), interval
}

// median sorts a non-empty list in place and returns its median.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

package fleetplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// overdue is how long a predicted peak is waited for after its time.
	overdueLimit = 3 * time.Second
	// turnsKept bounds the history of peaks.
	maxPeakStarts = 12
	// turnShare is how long a turn lasts at most, with dips, as a share of the distance
	// between turns: they overlap, and a service's next one is two distances away or more.
	maxPeakShare = 1.5
)

// turns learns in which order services have their peaks and how far these are
// apart, and predicts the next one.
type peakSequence struct {
	starts    []PeakStart
	lastRates map[cluster.Service]float64 // highest rate of the last one, thousandths of a core
	services  map[cluster.Service]bool
}

func newPeakSequence() *peakSequence {
	return &peakSequence{lastRates: map[cluster.Service]float64{}, services: map[cluster.Service]bool{}}
}

// begin notes that a peak has begun.
func (s *peakSequence) recordStart(service cluster.Service, at time.Time) {
	if n := len(s.starts); n > 0 && s.starts[n-1].Service == service {
		return // the same peak with a dip, or a single service's own rhythm
	}
	s.starts = append(s.starts, PeakStart{service, at})
	if len(s.starts) > maxPeakStarts {
		s.starts = s.starts[1:]
	}
}

// withdraw forgets a turn that was none.
func (s *peakSequence) revokeStart(service cluster.Service, at time.Time) {
	s.starts = slices.DeleteFunc(s.starts, func(h PeakStart) bool { return h.Service == service && h.At.Equal(at) })
}

// continues returns the turn of the service to which demand that rises at a time still
// belongs, after a dip.
func (s *peakSequence) ongoing(service cluster.Service, at time.Time) (PeakStart, bool) {
	if len(s.starts) < 2 {
		return PeakStart{}, false
	}
	_, interval := s.fitInterval()
	maxLength := time.Duration(maxPeakShare * float64(interval))
	for _, h := range slices.Backward(s.starts) {
		if h.Service == service {
			since := at.Sub(h.At)
			return h, since >= 0 && since < maxLength
		}
	}
	return PeakStart{}, false
}

// noteHeight takes in the highest rate of a service's peak that is over.
func (s *peakSequence) recordPeakRate(service cluster.Service, rate float64) {
	if rate > 0 {
		s.lastRates[service] = rate
	}
}

// highest is the height of the highest peak known.
func (s *peakSequence) highestPeakRate() float64 {
	highest := 0.0
	for _, rate := range s.lastRates {
		highest = max(highest, rate)
	}
	return highest
}

// rise is for how long demand grows once a peak has begun, at least onset: turns that
// clocks out of step have put together say nothing.
func (s *peakSequence) riseTime() time.Duration {
	if len(s.starts) < 2 {
		return minRiseTime
	}
	_, interval := s.fitInterval()
	return max(minRiseTime, time.Duration(riseTimeShare*float64(interval)))
}

// peak is the rate to expect of a service at its peak: that of its last one, or
// the mean of the others where it has had none.
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

// expects reports whether a peak of the service is predicted to begin within the
// lead, or should have begun just now, and when.
func (s *peakSequence) dueWithin(service cluster.Service, now time.Time, lead time.Duration) (time.Time, bool) {
	at, predicted := s.predict(service)
	return at, predicted && !now.Before(at.Add(-lead)) && now.Before(at.Add(overdueLimit))
}

// next predicts when the service's peak follows that of the service which had the
// last one.
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

// following returns the service that is likely to have the next peak: the one that
// followed the last time; else, since each has its turn, the only one without a peak so
// far; else the one whose peak is longest ago. It is empty where none is likely.
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

// unseen returns the services without a peak so far.
func (s *peakSequence) withoutPeak() []cluster.Service {
	var list []cluster.Service
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		if !slices.ContainsFunc(s.starts, func(h PeakStart) bool { return h.Service == service }) {
			list = append(list, service)
		}
	}
	return list
}

// longestAgo returns the last turn of the service that had its own before all others.
func (s *peakSequence) leastRecent() PeakStart {
	latest := map[cluster.Service]PeakStart{}
	for _, h := range s.starts {
		latest[h.Service] = h
	}
	return slices.MinFunc(slices.Collect(maps.Values(latest)), func(a, b PeakStart) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service))
	})
}

// rhythm fits evenly spaced times to the turns, and returns the first one and their
// distance. Medians over all pairs (the estimator of Theil and Sen) leave out a turn
// that was seen late, after an outage.
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

// median sorts a list that is not empty, and returns the middle.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

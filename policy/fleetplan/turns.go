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
	overdue = 3 * time.Second
	// turnsKept bounds the history of peaks.
	turnsKept = 12
	// turnShare is how long a turn lasts at most, with dips, as a share of the distance
	// between turns: they overlap, and a service's next one is two distances away or more.
	turnShare = 1.5
)

// turns learns in which order services have their peaks and how far these are
// apart, and predicts the next one.
type turns struct {
	history []PeakStart
	peaks   map[cluster.Service]float64 // highest rate of the last one, thousandths of a core
	known   map[cluster.Service]bool
}

func newTurns() *turns {
	return &turns{peaks: map[cluster.Service]float64{}, known: map[cluster.Service]bool{}}
}

// begin notes that a peak has begun.
func (t *turns) begin(service cluster.Service, at time.Time) {
	if n := len(t.history); n > 0 && t.history[n-1].Service == service {
		return // the same peak with a dip, or a single service's own rhythm
	}
	t.history = append(t.history, PeakStart{service, at})
	if len(t.history) > turnsKept {
		t.history = t.history[1:]
	}
}

// withdraw forgets a turn that was none.
func (t *turns) withdraw(service cluster.Service, at time.Time) {
	t.history = slices.DeleteFunc(t.history, func(h PeakStart) bool { return h.Service == service && h.At.Equal(at) })
}

// continues returns the turn of the service to which demand that rises at a time still
// belongs, after a dip.
func (t *turns) continues(service cluster.Service, at time.Time) (PeakStart, bool) {
	if len(t.history) < 2 {
		return PeakStart{}, false
	}
	_, gap := t.rhythm()
	length := time.Duration(turnShare * float64(gap))
	for _, h := range slices.Backward(t.history) {
		if h.Service == service {
			since := at.Sub(h.At)
			return h, since >= 0 && since < length
		}
	}
	return PeakStart{}, false
}

// noteHeight takes in the highest rate of a service's peak that is over.
func (t *turns) noteHeight(service cluster.Service, rate float64) {
	if rate > 0 {
		t.peaks[service] = rate
	}
}

// highest is the height of the highest peak known.
func (t *turns) highest() float64 {
	top := 0.0
	for _, rate := range t.peaks {
		top = max(top, rate)
	}
	return top
}

// rise is for how long demand grows once a peak has begun, at least onset: turns that
// clocks out of step have put together say nothing.
func (t *turns) rise() time.Duration {
	if len(t.history) < 2 {
		return onset
	}
	_, gap := t.rhythm()
	return max(onset, time.Duration(onsetShare*float64(gap)))
}

// peak is the rate to expect of a service at its peak: that of its last one, or
// the mean of the others where it has had none.
func (t *turns) peak(service cluster.Service) float64 {
	if own := t.peaks[service]; own > 0 {
		return own
	}
	sum := 0.0
	for _, rate := range t.peaks {
		sum += rate
	}
	return sum / float64(max(1, len(t.peaks)))
}

// expects reports whether a peak of the service is predicted to begin within the
// lead, or should have begun just now, and when.
func (t *turns) expects(service cluster.Service, now time.Time, lead time.Duration) (time.Time, bool) {
	at, predicted := t.next(service)
	return at, predicted && !now.Before(at.Add(-lead)) && now.Before(at.Add(overdue))
}

// next predicts when the service's peak follows that of the service which had the
// last one.
func (t *turns) next(service cluster.Service) (time.Time, bool) {
	if len(t.history) < 2 {
		return time.Time{}, false
	}
	if t.following() != service {
		return time.Time{}, false
	}
	begin, gap := t.rhythm()
	return begin.Add(time.Duration(len(t.history)) * gap), true
}

// following returns the service that is likely to have the next peak: the one that
// followed the last time; else, since each has its turn, the only one without a peak so
// far; else the one whose peak is longest ago. It is empty where none is likely.
func (t *turns) following() cluster.Service {
	last := t.history[len(t.history)-1]
	for i := len(t.history) - 2; i >= 0; i-- {
		if t.history[i].Service == last.Service {
			return t.history[i+1].Service
		}
	}
	unseen := t.unseen()
	switch len(unseen) {
	case 0:
		return t.longestAgo().Service
	case 1:
		return unseen[0]
	default:
		return ""
	}
}

// unseen returns the services without a peak so far.
func (t *turns) unseen() []cluster.Service {
	var list []cluster.Service
	for _, service := range slices.Sorted(maps.Keys(t.known)) {
		if !slices.ContainsFunc(t.history, func(h PeakStart) bool { return h.Service == service }) {
			list = append(list, service)
		}
	}
	return list
}

// longestAgo returns the last turn of the service that had its own before all others.
func (t *turns) longestAgo() PeakStart {
	latest := map[cluster.Service]PeakStart{}
	for _, h := range t.history {
		latest[h.Service] = h
	}
	return slices.MinFunc(slices.Collect(maps.Values(latest)), func(a, b PeakStart) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service))
	})
}

// rhythm fits evenly spaced times to the turns, and returns the first one and their
// distance. Medians over all pairs (the estimator of Theil and Sen) leave out a turn
// that was seen late, after an outage.
func (t *turns) rhythm() (begin time.Time, gap time.Duration) {
	origin := t.history[0].At
	var gaps, begins []time.Duration
	for j := range t.history {
		for i := range j {
			gaps = append(gaps, t.history[j].At.Sub(t.history[i].At)/time.Duration(j-i))
		}
	}
	gap = median(gaps)
	for i, turn := range t.history {
		begins = append(begins, turn.At.Sub(origin)-time.Duration(i)*gap)
	}
	return origin.Add(median(begins)), gap
}

// median sorts a list that is not empty, and returns the middle.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

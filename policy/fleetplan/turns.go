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
	turnsKept = 32
)

// turns learns in which order services have their peaks and how far these are
// apart, and predicts the next one.
type turns struct {
	history []Turn
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
	t.history = append(t.history, Turn{service, at})
	if len(t.history) > turnsKept {
		t.history = t.history[1:]
	}
}

// noteHeight takes in the highest rate of a service's peak that is over.
func (t *turns) noteHeight(service cluster.Service, rate float64) {
	if rate > 0 {
		t.peaks[service] = rate
	}
}

// rise is for how long demand grows once a peak has begun.
func (t *turns) rise() time.Duration {
	if len(t.history) < 2 {
		return onset
	}
	return time.Duration(onsetShare * float64(t.medianGap()))
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
	follower, at := t.following()
	return at, follower == service
}

// following returns the service that is likely to have the next peak, and when: the
// one that followed the last time; else, since each has its turn, the only one without
// a peak so far; else the one whose peak is longest ago, a whole rotation after that.
// It is empty where none is likely.
func (t *turns) following() (cluster.Service, time.Time) {
	last := t.history[len(t.history)-1]
	for i := len(t.history) - 2; i >= 0; i-- {
		if t.history[i].Service == last.Service {
			follower := t.history[i+1]
			return follower.Service, last.At.Add(follower.At.Sub(t.history[i].At))
		}
	}
	unseen := t.unseen()
	switch len(unseen) {
	case 0:
		oldest := t.longestAgo()
		return oldest.Service, oldest.At.Add(time.Duration(len(t.known)) * t.medianGap())
	case 1:
		return unseen[0], last.At.Add(t.medianGap())
	default:
		return "", time.Time{}
	}
}

// unseen returns the services without a peak so far.
func (t *turns) unseen() []cluster.Service {
	var list []cluster.Service
	for _, service := range slices.Sorted(maps.Keys(t.known)) {
		if !slices.ContainsFunc(t.history, func(h Turn) bool { return h.Service == service }) {
			list = append(list, service)
		}
	}
	return list
}

// longestAgo returns the last turn of the service that had its own before all others.
func (t *turns) longestAgo() Turn {
	latest := map[cluster.Service]Turn{}
	for _, h := range t.history {
		latest[h.Service] = h
	}
	return slices.MinFunc(slices.Collect(maps.Values(latest)), func(a, b Turn) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service))
	})
}

func (t *turns) medianGap() time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(t.history); i++ {
		gaps = append(gaps, t.history[i].At.Sub(t.history[i-1].At))
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

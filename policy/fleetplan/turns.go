package fleetplan

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// overdue is how long a predicted peak is waited for after its time.
	overdue = 1500 * time.Millisecond
	// turnsKept bounds the history of peaks.
	turnsKept = 32
)

// turn is the beginning of one service's peak.
type turn struct {
	service cluster.Service
	at      time.Time
}

// turns learns in which order services have their peaks and how far these are
// apart, and predicts the next one.
type turns struct {
	history []turn
	peaks   map[cluster.Service]float64 // rate of the last one, thousandths of a core
	known   map[cluster.Service]bool
}

func newTurns() *turns {
	return &turns{peaks: map[cluster.Service]float64{}, known: map[cluster.Service]bool{}}
}

// begin notes that a peak has begun.
func (t *turns) begin(service cluster.Service, at time.Time) {
	if n := len(t.history); n > 0 && t.history[n-1].service == service {
		return // the same peak with a dip, or a single service's own rhythm
	}
	t.history = append(t.history, turn{service, at})
	if len(t.history) > turnsKept {
		t.history = t.history[1:]
	}
}

// noteRate takes in the rate of a service at its peak.
func (t *turns) noteRate(service cluster.Service, rate float64) {
	t.peaks[service] = rate
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
// lead, or should have begun just now.
func (t *turns) expects(service cluster.Service, now time.Time, lead time.Duration) bool {
	at, predicted := t.next(service)
	return predicted && !now.Before(at.Add(-lead)) && now.Before(at.Add(overdue))
}

// next predicts when the service's peak follows that of the service which had the
// last one.
func (t *turns) next(service cluster.Service) (time.Time, bool) {
	if len(t.history) < 2 {
		return time.Time{}, false
	}
	last := t.history[len(t.history)-1]
	if last.service == service {
		return time.Time{}, false
	}
	for i := len(t.history) - 2; i >= 0; i-- {
		if t.history[i].service != last.service {
			continue
		}
		follower := t.history[i+1]
		if follower.service != service {
			return time.Time{}, false
		}
		return last.at.Add(follower.at.Sub(t.history[i].at)), true
	}
	if t.onlyOneLeft(service) {
		return last.at.Add(t.medianGap()), true
	}
	return time.Time{}, false
}

// onlyOneLeft reports whether the service is the only one without a peak so far.
func (t *turns) onlyOneLeft(service cluster.Service) bool {
	seen := map[cluster.Service]bool{}
	for _, h := range t.history {
		seen[h.service] = true
	}
	return !seen[service] && len(seen) == len(t.known)-1 && len(seen) > 1
}

func (t *turns) medianGap() time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(t.history); i++ {
		gaps = append(gaps, t.history[i].at.Sub(t.history[i-1].at))
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

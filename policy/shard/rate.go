package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// tokenBucket admits jobs at the rate of a tenant. Its time is that of acceptance, within the
// bounds that decideExcess gives.
type tokenBucket struct {
	tokens float64
	at     time.Time // when tokens were last added; zero while the bucket is unused, and so full
}

// tokenRounding is the part of a token up to which rounded times may fall short of a whole one.
const tokenRounding = 1e-6

// RateAllowance is how far the jobs of a tenant may exceed its rate in a burst.
type RateAllowance struct {
	// Window is the time whose jobs a burst may bring at once; zero means one second.
	Window time.Duration
	// Overage is the share by which they may exceed the rate, and Jobs how many there may be besides.
	Overage float64
	Jobs    float64
}

// defaultRateWindow is the window where the operator sets none.
const defaultRateWindow = 1 * time.Second

// burst returns how many jobs a tenant with the given rate may submit at once; at least one.
func (a RateAllowance) burst(rate float64) float64 {
	window := cmp.Or(a.Window, defaultRateWindow)
	return max(1, rate*window.Seconds()*(1+a.Overage)+a.Jobs)
}

// take takes a token for a job of the given time, and reports whether there was one. The bucket
// gains rate tokens a second up to the burst. A time before the last one adds no tokens.
func (b *tokenBucket) take(at time.Time, rate, burst float64) bool {
	switch {
	case b.at.IsZero():
		b.tokens, b.at = burst, at
	case at.After(b.at):
		b.tokens += rate * at.Sub(b.at).Seconds()
		b.at = at
	}
	b.tokens = min(burst, b.tokens)
	if b.tokens < 1-tokenRounding {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// NoteContact records that the store reports again, at now, what it has stored since the previous
// time: jobs added from now on were accepted after that, whatever their time of acceptance says.
func (s *Shard) NoteContact(previous, now time.Time) {
	s.decideExcess(now)
	if previous.After(s.observedAt) {
		s.observedAt = previous
	}
}

// decideExcess decides, in order of acceptance, which of the jobs added since the last call are
// beyond the rate of their tenant. It follows the configuration of the tenants, which a new owner
// learns of after the jobs.
//
// The clocks of the instances that accept jobs may differ from this owner's. A time of acceptance
// therefore counts as at most the present, and at least the previous contact: a bucket gains no more
// tokens than the time by this owner's clock is worth, and loses none by a clock that is behind.
// Jobs that an earlier owner left were accepted at an unknown time, and their distances count as
// they are. Those that have ended since took tokens that this owner does not know of: of any number of
// the others, the first in order of acceptance, it counts as many within the rate as the earlier owner
// did, or more.
func (s *Shard) decideExcess(now time.Time) {
	if len(s.undecided) == 0 {
		return
	}
	list := s.undecided
	s.undecided = nil
	slices.SortFunc(list, compareAcceptance)
	takeover := s.observedAt.IsZero()
	latest := now
	if last := list[len(list)-1].Accepted; takeover && last.After(now) {
		latest = last
	}
	for _, j := range list {
		if t := j.share; t.configured && j.hasRate() {
			j.excess = !t.bucket.take(clampTime(j.Accepted, s.observedAt, latest), t.weight, s.limits.Rate.burst(t.weight))
		}
		s.countArrival(j, takeover)
		s.noteArrival(j, now)
	}
	for _, t := range s.shareList {
		t.bucket.at = clampTime(t.bucket.at, time.Time{}, now) // during a takeover, another clock may have been ahead
	}
	s.observedAt = now
}

// burstUsed reports whether a further job of the tenant would be beyond its rate.
func (s *Shard) burstUsed(tenant cluster.TenantName, now time.Time) bool {
	t := s.shares[tenant]
	if t == nil || t.bucket.at.IsZero() {
		return false
	}
	return t.bucket.tokens+t.weight*max(0, now.Sub(t.bucket.at).Seconds()) < 1
}

// hasRate reports whether the job counts for the rate of its tenant.
func (j *jobState) hasRate() bool { return !j.isLongRunning() && j.Definition.Schedule.Count == 0 }

// countArrival counts a job for the load and the report. Peaks are predicted from arrivals, and
// excess work must not get machines as if it were a peak.
func (s *Shard) countArrival(j *jobState, takeover bool) {
	if !j.isLongRunning() && !j.excess {
		s.arrivedWork += workOf(j.Record)
		s.arrivedJobs++
	}
	switch {
	case takeover: // the earlier owner has counted it
	case j.excess:
		j.share.beyondRate++
	default:
		j.share.withinRate++
	}
}

func compareAcceptance(x, y *jobState) int {
	return cmp.Or(x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID))
}

// clampTime returns the time within the bounds, of which the later one prevails.
func clampTime(t, earliest, latest time.Time) time.Time {
	if t.Before(earliest) {
		t = earliest
	}
	if t.After(latest) {
		t = latest
	}
	return t
}

package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// tenantShare is what a tenant uses of the service, and what it is entitled to. Jobs without a
// tenant have one together.
type tenantShare struct {
	name       cluster.TenantName
	configured bool    // the operator's configuration has the tenant
	weight     float64 // 1 for a tenant that is not configured
	// used is the reservations of its runs, without orphans: what counts for its share. tenantUse counts
	// needs, for the limit.
	used   job.Resources
	bucket tokenBucket
	// withinRate and beyondRate count the jobs that were added in this term.
	withinRate, beyondRate int64

	// surplus is the time integral of how far the weighted share exceeded the mean of those that had
	// to wait, in seconds of a weighted share; negative if it fell short.
	surplus float64
	// contending is set while the tenant's work has to wait; see noteContention.
	contending bool

	// The fields below are set during one ordering.
	planned job.Resources // the need of its jobs that are in the order already
	queue   []rankedJob   // its jobs of the rank, by deadline
	next    int           // position in queue of the first one that is not in the order yet
}

const (
	// surplusTime is the time within which a deviation from the share is made up for. Shares of whole
	// jobs can't be exact at each moment; without the correction the same tenants would be rounded
	// up each time.
	surplusTime = 1 * time.Second
	// maxSurplus and maxDeficit bound the correction, in multiples of the mean weighted share: a
	// tenant of small weight is rounded up by much with one job, and may have to pause for long, but
	// not without bound; a tenant that could not use its share gets up to twice the share
	// afterwards.
	maxSurplus = 4.0
	maxDeficit = 1.0
	// maxSurplusPeriod bounds the time between two updates for which the present use counts.
	maxSurplusPeriod = 500 * time.Millisecond
)

// shareOf returns the share of a tenant, a new one if it has none yet.
func (s *Shard) shareOf(name cluster.TenantName) *tenantShare {
	t := s.shares[name]
	if t == nil {
		t = &tenantShare{name: name}
		s.shares[name] = t
		s.shareList = append(s.shareList, t)
		s.configureShare(t)
	}
	return t
}

// configureShare applies the configuration of the tenant to its share.
func (s *Shard) configureShare(t *tenantShare) {
	configured, found := s.tenants[t.name]
	t.configured, t.weight = found && t.name != "", 1
	if t.configured && configured.Weight > 0 {
		t.weight = configured.Weight
	}
}

// usedBy returns what the runs of a tenant use on all executors of the service.
func (s *Shard) usedBy(tenant cluster.TenantName) job.Resources {
	if t := s.shares[tenant]; t != nil {
		return t.used
	}
	return job.Resources{}
}

// countRun adds the need of a run of the step if by is 1, and removes it if by is -1.
func (t *tenantShare) countRun(st *step, by int) {
	switch {
	case t == nil: // the job is in no shard
	case by > 0:
		t.used = t.used.Add(st.def.Reservation())
	default:
		t.used = t.used.Sub(st.def.Reservation())
	}
}

// sharesApply reports whether tenants compete by their shares.
func (s *Shard) sharesApply() bool { return len(s.tenants) > 0 }

// dominantShare returns the largest share of a capacity that is used, over all resources.
func dominantShare(used, capacity job.Resources) float64 {
	share := usedShare(used, capacity)
	if capacity.GPU > 0 {
		share = max(share, float64(used.GPU)/float64(capacity.GPU))
	}
	return share
}

// usableFree returns the free capacity of the executors that may be given work.
func (s *Shard) usableFree(now time.Time) job.Resources {
	var free job.Resources
	for _, e := range s.executors {
		if e.acceptsWork(now) {
			free = free.Add(e.free())
		}
	}
	return free
}

// updateSurpluses adds the time since the last update to the surpluses.
func (s *Shard) updateSurpluses(now time.Time) {
	period := min(now.Sub(s.surplusAt), maxSurplusPeriod).Seconds()
	s.surplusAt = now
	if !s.sharesApply() || period <= 0 {
		return
	}
	capacity, _ := s.confirmedCapacity()
	var contending, active weightedShares
	for _, t := range s.shareList {
		share := dominantShare(t.used, capacity)
		if t.contending {
			contending.add(share, t.weight)
		}
		if t.contending || share > 0 {
			active.add(share, t.weight)
		}
	}
	for _, t := range s.shareList {
		if contending.weights > 0 {
			t.addSurplus(dominantShare(t.used, capacity)/t.weight-contending.mean(), active.mean(), period)
		} else {
			t.decaySurplus(period)
		}
		t.contending = false
	}
}

// weightedShares is the sum of the dominant shares and weights of some tenants.
type weightedShares struct{ shares, weights float64 }

func (w *weightedShares) add(share, weight float64) {
	w.shares += share
	w.weights += weight
}

func (w *weightedShares) mean() float64 { return w.shares / w.weights }

// decaySurplus lets a surplus or deficit end within about surplusTime.
func (t *tenantShare) decaySurplus(period float64) {
	t.surplus *= max(0, 1-period/surplusTime.Seconds())
}

// addSurplus adds the deviation of a tenant's weighted share, over a period, from the mean of the tenants
// that contend. The bounds refer to the mean of all that use the service or contend. A tenant whose work
// does not wait gains no claim by using less.
func (t *tenantShare) addSurplus(deviation, mean, period float64) {
	unit := mean * surplusTime.Seconds()
	least := -maxDeficit * unit
	if !t.contending {
		if t.surplus < 0 {
			t.decaySurplus(period)
		}
		least = min(0, t.surplus)
	}
	t.surplus = min(max(t.surplus+deviation*period, least), maxSurplus*unit)
}

package shard

import (
	"cmp"
	"slices"
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
	used       job.Resources
	bucket     tokenBucket
	// withinRate and beyondRate count the jobs that were added in this term.
	withinRate, beyondRate int64

	// carry is the time integral of how far the weighted share exceeded the mean of those that had
	// to wait, in seconds of a weighted share; negative if it fell short.
	carry float64
	// contending is set while the tenant's work has to wait; see noteContention.
	contending bool

	// The fields below are set during one ordering.
	given job.Resources // the need of its jobs that are in the order already
	queue []rankedJob   // its jobs of the rank, by deadline
	next  int           // position in queue of the first one that is not in the order yet
}

const (
	// carryTime is the time within which a deviation from the share is made up for. Shares of whole
	// jobs can't be exact at each moment; without the correction the same tenants would be rounded
	// up each time.
	carryTime = 1 * time.Second
	// maxSurplus and maxDeficit bound the correction, in multiples of the mean weighted share: a
	// tenant of small weight is rounded up by much with one job, and may have to pause for long, but
	// not without bound; a tenant that could not use its share gets up to twice the share
	// afterwards.
	maxSurplus = 4.0
	maxDeficit = 1.0
	// maxCarryPeriod bounds the time between two updates for which the present use counts.
	maxCarryPeriod = 500 * time.Millisecond
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

// listedCapacity returns the capacity of all listed executors.
func (s *Shard) listedCapacity() job.Resources {
	var sum job.Resources
	for _, e := range s.executors {
		if e.listed {
			sum = sum.Add(e.Capacity)
		}
	}
	return sum
}

// usableFree returns the free capacity of the executors that may be given work.
func (s *Shard) usableFree(now time.Time) job.Resources {
	var free job.Resources
	for _, e := range s.executors {
		if e.usable(now) && !e.reserved && e.trials == 0 {
			free = free.Add(e.free())
		}
	}
	return free
}

// updateCarry adds the time since the last update to the carries.
func (s *Shard) updateCarry(now time.Time) {
	period := min(now.Sub(s.carryAt), maxCarryPeriod).Seconds()
	s.carryAt = now
	if !s.sharesApply() || period <= 0 {
		return
	}
	capacity := s.listedCapacity()
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
			t.addCarry(dominantShare(t.used, capacity)/t.weight-contending.mean(), active.mean(), period)
		} else {
			t.fadeCarry(period)
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

// fadeCarry lets what the tenant carried end within about carryTime.
func (t *tenantShare) fadeCarry(period float64) {
	t.carry *= max(0, 1-period/carryTime.Seconds())
}

// addCarry adds the deviation of a tenant's weighted share, over a period, from the mean of the tenants
// that contend. The bounds refer to the mean of all that use the service or contend. A tenant whose work
// does not wait gains no claim by using less.
func (t *tenantShare) addCarry(deviation, mean, period float64) {
	unit := mean * carryTime.Seconds()
	least := -maxDeficit * unit
	if !t.contending {
		if t.carry < 0 {
			t.fadeCarry(period)
		}
		least = min(0, t.carry)
	}
	t.carry = min(max(t.carry+deviation*period, least), maxSurplus*unit)
}

// shareOrder orders the jobs of one service by the shares of their tenants.
type shareOrder struct {
	capacity job.Resources  // of the service
	free     job.Resources  // left by the jobs that are in the order already
	turns    turns          // of the tenants with jobs of the present rank
	touched  []*tenantShare // those with jobs in the order
}

// rankedJob is a job with what its place in the order depends on.
type rankedJob struct {
	job      *jobState
	ready    job.Resources // as readyNeed
	deadline int64         // as queueDeadline
}

// newShareOrder returns an empty order. It reuses the memory of the last one.
func (s *Shard) newShareOrder(now time.Time) *shareOrder {
	s.order = shareOrder{
		capacity: s.listedCapacity(), free: s.usableFree(now),
		turns: s.order.turns[:0], touched: s.order.touched[:0],
	}
	return &s.order
}

// appendRank appends the jobs of a rank, which are in the order of their deadlines. They keep it if
// all of their work that could start fits into what is free. Otherwise the next job belongs to the
// tenant that uses least for its weight, by dominant resource fairness.
func (o *shareOrder) appendRank(order, jobs []*jobState, u urgency) []*jobState {
	ready := o.enqueue(jobs)
	fits := ready.Fits(o.free)
	o.free = o.free.Sub(ready)
	if fits {
		o.giveAll()
		return append(order, jobs...)
	}
	o.noteContention(u)
	o.turns.build()
	for len(o.turns) > 0 {
		first := &o.turns[0]
		t := first.share
		next := &t.queue[t.next]
		order = append(order, next.job)
		t.given = t.given.Add(next.ready)
		t.next++
		if t.next == len(t.queue) {
			t.clearQueue()
			o.turns.removeFirst()
			continue
		}
		first.key, first.deadline = o.keyOf(t), t.queue[t.next].deadline
		o.turns.fix(0)
	}
	return order
}

// enqueue fills the queues of the tenants with the jobs of a rank, and returns the need of all their
// tasks that could start.
func (o *shareOrder) enqueue(jobs []*jobState) job.Resources {
	var ready job.Resources
	for _, j := range jobs {
		t, need := j.share, j.readyNeed()
		ready = ready.Add(need)
		if len(t.queue) == 0 {
			o.turns = append(o.turns, turn{o.keyOf(t), j.queueDeadline, t})
			o.touched = append(o.touched, t)
		}
		t.queue = append(t.queue, rankedJob{j, need, j.queueDeadline})
	}
	return ready
}

// giveAll counts the need of all queued jobs as used by their tenants, and empties the queues.
func (o *shareOrder) giveAll() {
	for _, first := range o.turns {
		for i := range first.share.queue {
			first.share.given = first.share.given.Add(first.share.queue[i].ready)
		}
		first.share.clearQueue()
	}
	o.turns = o.turns[:0]
}

// noteContention marks the tenants with jobs of a rank that does not fit. Work beyond the rates gets what
// is left, and its tenants are owed nothing for waiting.
func (o *shareOrder) noteContention(u urgency) {
	if u >= urgencyExcess {
		return
	}
	for _, first := range o.turns {
		first.share.contending = true
	}
}

// keyOf returns the dominant share of a tenant for its weight, with what it carries.
func (o *shareOrder) keyOf(t *tenantShare) float64 {
	return dominantShare(t.used.Add(t.given), o.capacity)/t.weight + t.carry/carryTime.Seconds()
}

// done resets what the ordering has set.
func (o *shareOrder) done() {
	for _, t := range o.touched {
		t.given = job.Resources{}
	}
}

func (t *tenantShare) clearQueue() {
	clear(t.queue)
	t.queue, t.next = t.queue[:0], 0
}

// turn is the place of a tenant among those with jobs of the present rank.
type turn struct {
	key      float64 // as keyOf
	deadline int64   // of its next job
	share    *tenantShare
}

// turns is a heap whose first tenant is next.
type turns []turn

func (t turns) less(x, y int) bool {
	a, b := &t[x], &t[y]
	switch {
	case a.key != b.key:
		return a.key < b.key
	case a.deadline != b.deadline:
		return a.deadline < b.deadline
	default:
		return a.share.name < b.share.name
	}
}

// build makes a heap of the turns.
func (t turns) build() {
	for i := len(t)/2 - 1; i >= 0; i-- {
		t.fix(i)
	}
}

// fix restores the heap after the turn at a position, or the first one, has become later. It replaces
// container/heap, whose calls through an interface took a quarter of the time of an order.
func (t turns) fix(i int) {
	for {
		child := 2*i + 1
		if child >= len(t) {
			return
		}
		if child+1 < len(t) && t.less(child+1, child) {
			child++
		}
		if !t.less(child, i) {
			return
		}
		t[i], t[child] = t[child], t[i]
		i = child
	}
}

// removeFirst removes the first turn.
func (t *turns) removeFirst() {
	last := len(*t) - 1
	(*t)[0] = (*t)[last]
	*t = (*t)[:last]
	t.fix(0)
}

// readyNeed returns the need of the job's tasks that could start and have no run.
func (j *jobState) readyNeed() job.Resources {
	if !j.started() && j.Definition.Schedule.Count == 0 {
		return j.initialReady
	}
	var sum job.Resources
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if n := st.tasksLeft - st.runs; st.blockers == 0 && n > 0 {
				sum = sum.Add(needOf(st.def, n))
			}
		}
	}
	return sum
}

// initialReady returns the need of all tasks of the steps that depend on no other.
func initialReady(steps []job.Step) job.Resources {
	var sum job.Resources
	for i := range steps {
		if len(steps[i].After) == 0 {
			sum = sum.Add(needOf(&steps[i], steps[i].Count))
		}
	}
	return sum
}

// needOf returns the need of n tasks of a step.
func needOf(def *job.Step, n int) job.Resources {
	need, count := def.Reservation(), int64(n)
	return job.Resources{MilliCPU: count * need.MilliCPU, MemoryMB: count * need.MemoryMB, GPU: count * need.GPU}
}

// TenantReport describes one configured tenant with jobs in this term.
type TenantReport struct {
	Tenant cluster.TenantName
	Weight float64
	// WithinRate and BeyondRate count the jobs since the last report.
	WithinRate, BeyondRate int64
	Share                  float64 // dominant share of the service that its runs use
}

// tenantReports reports on the configured tenants, by name.
func (s *Shard) tenantReports() []TenantReport {
	capacity := s.listedCapacity()
	var list []TenantReport
	for _, t := range s.shareList {
		if !t.configured {
			continue
		}
		list = append(list, TenantReport{t.name, t.weight, t.withinRate, t.beyondRate, dominantShare(t.used, capacity)})
		t.withinRate, t.beyondRate = 0, 0
	}
	slices.SortFunc(list, func(x, y TenantReport) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return list
}

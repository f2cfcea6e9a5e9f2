package shard

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Admission says how long new jobs of a service have to wait, so that every instance can reject
// at once what would start too late. An empty one rejects nothing.
type Admission struct {
	Token    int64 `json:"token"` // fencing token of the term that published it
	Sequence int64 `json:"seq"`   // rises with each one of a term
	AtMs     int64 `json:"atMs"`  // when it was computed, Unix milliseconds
	// Queues holds the waits of jobs within their tenant's rate.
	Queues map[string]QueueWait `json:"queues,omitempty"`
	// LimitMs holds, by tenant, the expected wait for the tenant's own limit, milliseconds. Tenants
	// that need not wait for it are missing.
	LimitMs map[cluster.TenantName]int64 `json:"limitMs,omitempty"`
	// Excess holds the tenants that send more than their rate while work within the rates waits
	// for capacity, with the percentage of their jobs that the rate admits.
	Excess map[cluster.TenantName]int `json:"excess,omitempty"`
	// CapacityMs is the time until capacity is expected for jobs that are rejected now.
	CapacityMs int64 `json:"capacityMs,omitempty"`
}

// QueueWait is the expected wait of a new job of a queue until all tasks of its first step can
// start. It differs by objective, since jobs with an earlier deadline go first, and by the size of
// the tasks, since small ones fit into gaps.
type QueueWait struct {
	Objectives []int64 `json:"o"`      // milliseconds, rising
	Sizes      []int64 `json:"cpu"`    // need of a task, thousandths of a core, rising
	WaitMs     []int64 `json:"waitMs"` // for each objective, by size
	// MemoryPerCore is the memory that goes with a core of a task, MB. A task that needs more
	// counts as a larger one.
	MemoryPerCore int64 `json:"mbPerCore,omitempty"`
}

// Wait returns the wait of a job with the given objective and need of the tasks of its first step.
func (w QueueWait) Wait(objective time.Duration, need job.Resources) time.Duration {
	if w.check() != nil {
		return 0
	}
	size := need.MilliCPU
	if w.MemoryPerCore > 0 {
		size = max(size, 1000*need.MemoryMB/w.MemoryPerCore)
	}
	n := len(w.Sizes)
	row, share := position(w.Objectives, objective.Milliseconds())
	below := interpolate(w.Sizes, w.WaitMs[row*n:(row+1)*n], size)
	if share > 0 {
		above := interpolate(w.Sizes, w.WaitMs[(row+1)*n:(row+2)*n], size)
		below += share * (above - below)
	}
	return time.Duration(below * float64(time.Millisecond))
}

// position returns between which points, which rise, a value lies: after the point with the
// returned index, by the returned share of the distance to the next one.
func position(points []int64, x int64) (index int, share float64) {
	next, _ := slices.BinarySearch(points, x)
	switch {
	case next == 0:
		return 0, 0
	case next == len(points):
		return next - 1, 0
	}
	low, high := points[next-1], points[next]
	return next - 1, float64(x-low) / float64(high-low)
}

func interpolate(points, values []int64, x int64) float64 {
	i, share := position(points, x)
	y := float64(values[i])
	if share > 0 {
		y += share * (float64(values[i+1]) - y)
	}
	return y
}

// longest returns the longest of the waits.
func (w QueueWait) longest() time.Duration {
	if len(w.WaitMs) == 0 {
		return 0
	}
	return time.Duration(slices.Max(w.WaitMs)) * time.Millisecond
}

func (w QueueWait) check() error {
	rising := func(list []int64) bool {
		for i := 1; i < len(list); i++ {
			if list[i] <= list[i-1] {
				return false
			}
		}
		return len(list) > 0 && list[0] >= 0
	}
	if !rising(w.Objectives) || !rising(w.Sizes) || w.MemoryPerCore < 0 || len(w.WaitMs) != len(w.Objectives)*len(w.Sizes) {
		return errors.New("points out of order")
	}
	if slices.ContainsFunc(w.WaitMs, outsideAdmission) {
		return errors.New("wait out of range")
	}
	return nil
}

// Rejects reports whether it may reject any job.
func (a Admission) Rejects() bool { return len(a.Queues)+len(a.LimitMs)+len(a.Excess) > 0 }

// maxAdmissionMs bounds all times in an Admission: one hour, far beyond any estimate.
const maxAdmissionMs = 3_600_000

func outsideAdmission(ms int64) bool { return ms < 0 || ms > maxAdmissionMs }

// Check returns an error if a number is out of range.
func (a Admission) Check() error {
	if a.Token <= 0 || a.Sequence <= 0 || a.AtMs <= 0 || outsideAdmission(a.CapacityMs) {
		return fmt.Errorf("admission of term %d: token, sequence, time or capacity out of range", a.Token)
	}
	for queue, w := range a.Queues {
		if err := w.check(); err != nil {
			return fmt.Errorf("admission: queue %q: %w", queue, err)
		}
	}
	for tenant, ms := range a.LimitMs {
		if outsideAdmission(ms) {
			return fmt.Errorf("admission: wait of tenant %q out of range", tenant)
		}
	}
	for tenant, percent := range a.Excess {
		if percent < 0 || percent > 100 {
			return fmt.Errorf("admission: share of tenant %q out of range", tenant)
		}
	}
	return nil
}

const (
	// admissionInterval is the minimum time between two estimates of the waits.
	admissionInterval = 80 * time.Millisecond
	// admissionSpacing is the minimum time between two publications, except when a rejection
	// begins or ends.
	admissionSpacing = 250 * time.Millisecond
	// admissionRefresh is the longest time between two publications while something is
	// rejected: instances ignore what is older than 1.5 s.
	admissionRefresh = 500 * time.Millisecond
	// admissionWarmUp is the time at the beginning of a term in which nothing is rejected: the
	// executors have yet to be polled, and rates have yet to be observed.
	admissionWarmUp = 1 * time.Second
	// admissionHysteresis is how far below the wait that begins a rejection the wait must fall to
	// end it.
	admissionHysteresis = 300 * time.Millisecond
	// maxAdmissionTenants bounds the tenants that an Admission lists by reason.
	maxAdmissionTenants = 12
	// maxAdmissionQueues bounds the queues that it lists.
	maxAdmissionQueues = 16
	// admissionEntries is how many entries an Admission takes.
	admissionEntries = 1
)

// admissionState is what the shard remembers for its estimates.
type admissionState struct {
	enabled     bool
	poolGrows   bool      // see SetPoolGrows
	exhaustedAt time.Time // see NoteFleetExhausted
	since       time.Time // of the first estimate
	evaluatedAt time.Time
	publishedAt time.Time
	published   Admission // the last one that was published

	rates         tenantRates
	recent        recentJobs
	completed     workWindow // of short runs
	saturatedAt   time.Time  // since when work within the rates waits for capacity; zero if it does not
	forecastUntil time.Time  // waits are forecast until then
	// overloadedUntil is until when jobs are expected at the highest rate that was seen lately.
	overloadedUntil time.Time
	excessUntil     time.Time // excess jobs are rejected until then
	// usableCPU is the capacity of the usable executors when there was last any.
	usableCPU   int64
	beganAt     time.Time     // when the present rejection began; zero if there is none
	lastEpisode time.Duration // how long the last one took; zero before the first
}

// SetAdmission sets whether the shard publishes its Admission: only where the operator has
// configured tenants and late jobs are rejected.
func (s *Shard) SetAdmission(enabled bool) { s.admission.enabled = enabled }

// SetPoolGrows sets whether a fleet planner moves machines to the service's pool. Jobs are then rejected
// for lack of capacity only while the planner has no more: until that is so, the pool grows with the work
// that is accepted, and rejections would keep it small.
func (s *Shard) SetPoolGrows(grows bool) { s.admission.poolGrows = grows }

// NoteFleetExhausted records when the fleet planner last stated that it has no more machines for the
// service; zero if it has.
func (s *Shard) NoteFleetExhausted(at time.Time) { s.admission.exhaustedAt = at }

// MaxExhaustedAge is the age up to which a statement of the planner counts: it may come from one that is
// lost. It is renewed three times as often, so that a missed write does not end it.
const MaxExhaustedAge = 1500 * time.Millisecond

// exhausted reports whether no machines can be added to the pool.
func (a *admissionState) exhausted(now time.Time) bool {
	return !a.poolGrows || !a.exhaustedAt.IsZero() && now.Sub(a.exhaustedAt) < MaxExhaustedAge
}

// due reports whether the waits have to be estimated.
func (a *admissionState) due(now time.Time) bool {
	return a.enabled && now.Sub(a.evaluatedAt) >= admissionInterval ||
		!a.enabled && a.published.Rejects()
}

// pending reports whether a rejection has to be ended or published again.
func (a *admissionState) pending(now time.Time) bool { return a.published.Rejects() && a.due(now) }

// reserveAdmission keeps an entry for the Admission if it may be published.
func (b *builder) reserveAdmission() {
	if b.shard.admission.due(b.now) {
		b.entriesLeft -= admissionEntries
	}
}

// addAdmission publishes the waits after the starts of the batch, if that is due.
func (b *builder) addAdmission() {
	s := b.shard
	if !s.admission.due(b.now) {
		return
	}
	s.admission.evaluatedAt = b.now
	a := s.estimateAdmission(b.now, b.batch.Full)
	if !s.admission.publish(&a, s.token, b.now) {
		return
	}
	b.batch.Admission = &a
}

// publish completes an Admission and reports whether it has to be published.
func (st *admissionState) publish(a *Admission, token int64, now time.Time) bool {
	changed := len(a.Queues) != len(st.published.Queues) || len(a.LimitMs) != len(st.published.LimitMs) || st.differs(a)
	age := now.Sub(st.publishedAt)
	switch {
	case !a.Rejects() && !st.published.Rejects():
		return false
	case a.Rejects() != st.published.Rejects(): // at once
	case age < admissionSpacing:
		return false
	case age < admissionRefresh && !changed:
		return false
	}
	st.noteEpisode(a.Rejects(), now)
	a.Token, a.Sequence, a.AtMs = token, st.published.Sequence+1, now.UnixMilli()
	st.published, st.publishedAt = *a, now
	return true
}

// admissionStep is the change of a wait that is worth a publication.
const admissionStep = 50 * time.Millisecond

func (st *admissionState) differs(a *Admission) bool {
	for queue, w := range a.Queues {
		last := st.published.Queues[queue].WaitMs
		if len(w.WaitMs) != len(last) {
			return true
		}
		for i, ms := range w.WaitMs {
			if farApart(ms, last[i]) {
				return true
			}
		}
	}
	for tenant, ms := range a.LimitMs {
		if farApart(ms, st.published.LimitMs[tenant]) {
			return true
		}
	}
	return !maps.Equal(a.Excess, st.published.Excess)
}

func farApart(x, y int64) bool { return max(x-y, y-x) >= admissionStep.Milliseconds() }

// noteEpisode records when a rejection begins and how long it took when it ends.
func (st *admissionState) noteEpisode(rejects bool, now time.Time) {
	switch {
	case rejects && st.beganAt.IsZero():
		st.beganAt = now
	case !rejects && !st.beganAt.IsZero():
		st.lastEpisode = now.Sub(st.beganAt)
		st.beganAt = time.Time{}
	}
}

const (
	// maxEpisode bounds how long a rejection is expected to last still.
	maxEpisode = 6 * time.Second
	// unknownEpisodeShare is by which share of its age a rejection is expected to last on that
	// has lasted longer than the one before, or is the first one.
	unknownEpisodeShare = 0.5
)

// episodeLeft returns how long the present rejection is expected to last still.
func (st *admissionState) episodeLeft(now time.Time) time.Duration {
	if st.beganAt.IsZero() {
		return 0
	}
	age := now.Sub(st.beganAt)
	if left := st.lastEpisode - age; left > 0 {
		return min(left, maxEpisode)
	}
	return min(time.Duration(unknownEpisodeShare*float64(age)), maxEpisode)
}

// StartSlack returns the objective of a job with the given definition, and how much later than at
// once it may start and still meet it, by the estimates with their usual margin.
func StartSlack(d job.Definition, q QueuePolicy) (objective, slack time.Duration) {
	j := newJob(Record{Definition: d, Queue: q})
	return j.objective(), j.objective() - j.initialRemaining
}

// Rejectable reports whether jobs with the definition may be rejected for lack of capacity:
// neither long-running nor scheduled ones.
func Rejectable(d job.Definition) bool {
	return d.Schedule.Count == 0 && !slices.ContainsFunc(d.Steps, func(s job.Step) bool { return s.LongRunning })
}

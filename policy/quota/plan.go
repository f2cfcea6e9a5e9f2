package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// MaxChanges is how many ledgers one transaction changes: each takes a condition and a put, and
	// the owner's term one more condition, of at most 32 entries.
	MaxChanges = 14
	// oversizedFactor is how many times its need a portion is when it counts as oversized.
	oversizedFactor = 4
	// oversizedTime is how long a portion is oversized before it is lowered though nobody waits for it: longer
	// than the time between two peaks of a queue, so that portions don't follow each peak.
	oversizedTime = 30 * time.Second
	// reserveDivisor is the part of the need by which a portion is raised beyond it while nobody
	// else waits: a quarter.
	reserveDivisor = 4
	// demandInterval is the minimum time between two writes for a change of a published demand alone.
	demandInterval = 250 * time.Millisecond
	// minChangeInterval is the minimum time between two changes of one service's part of a ledger, and
	// changeIntervalEach that for each service: all services together change a ledger at most a
	// hundred times a second.
	minChangeInterval  = 100 * time.Millisecond
	changeIntervalEach = 10 * time.Millisecond
	// releaseSpacing is the time by which services follow each other that could return something
	// another one lacks, those with the largest portions first: a write of one, and the event of it.
	// Without it all would write at once, and all but one be refused.
	releaseSpacing  = 15 * time.Millisecond
	maxReleaseDelay = 300 * time.Millisecond
	// demandDivisor is the part of the limit by which the demand must change for such a write.
	demandDivisor = 8
)

// Plan returns the ledgers to change now, at most MaxChanges, those of the tenants that lack most
// first. Uses holds the tenants that use or could use something of the service. Nothing more is
// planned until Applied or Refused.
func (b *Book) Plan(uses []Use, now time.Time) []Change {
	b.setUses(uses)
	if !b.loaded {
		return nil
	}
	open := b.planned != nil
	var candidates []candidate
	for _, a := range b.accounts {
		if a.settled && a.use == a.plannedUse || !b.limited(a) || b.idle(a) {
			continue
		}
		if c, due := b.plan(a, now); due && !open {
			candidates = append(candidates, c)
		}
		b.noteUsable(a)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.shortage, x.shortage), cmp.Compare(x.account.name, y.account.name))
	})
	candidates = candidates[:min(len(candidates), MaxChanges)]
	for _, c := range candidates {
		a := c.account
		if c.next.Demand != a.own.Demand || c.next.Task != a.own.Task {
			a.demandAt = now
		}
		ledger := a.ledger.with(b.service, c.next)
		ledger.Limit = b.limit(a).resources()
		a.changedAt = now
		b.planned = append(b.planned, Change{Ledger: ledger, Revision: a.revision, Before: a.own})
		a.pending = &c.next
		b.refresh(a)
	}
	return slices.Clone(b.planned)
}

func (b *Book) setUses(uses []Use) {
	for _, a := range b.accounts {
		a.use = Use{}
	}
	for _, u := range uses {
		if a := b.accounts[u.Tenant]; a != nil {
			a.use = u
		}
	}
}

// idle reports whether nothing of the tenant is used, held or asked for here.
func (b *Book) idle(a *account) bool {
	return a.use == Use{Tenant: a.use.Tenant} && a.own == Allotment{} && a.bound == noBound
}

// candidate is a change of one account that is due.
type candidate struct {
	account  *account
	next     Allotment
	shortage float64 // part of the limit that this service or others lack
}

// plan returns the allotment that the service should have of a tenant's limit, and whether that is
// worth a write.
func (b *Book) plan(a *account, now time.Time) (candidate, bool) {
	d := b.newDecision(a)
	a.bound = d.bound
	d.mayRelease = b.mayRelease(a, d, now)
	next := d.allotment(a, now)
	c := candidate{account: a, next: next, shortage: d.shortage()}
	a.plannedUse = a.use
	a.settled = next == a.own && a.own.Demand == job.Resources{} && d.lacked == vector{} && a.oversizedSince.IsZero() && !b.limitOutdated(a)
	interval := max(minChangeInterval, changeIntervalEach*time.Duration(b.services))
	due := !a.unreadable && now.Sub(a.changedAt) >= interval && (next != a.own || b.limitOutdated(a))
	return c, due
}

// limitOutdated reports whether this owner has to store the limit: that of the first service does.
func (b *Book) limitOutdated(a *account) bool {
	if a.ledger.Limit == b.limit(a).resources() {
		return false
	}
	for service := range a.ledger.Services {
		if service < b.service {
			return false
		}
	}
	return a.own != Allotment{}
}

// decision holds the amounts that decide on one allotment; those of resources without limit are
// zero.
type decision struct {
	limit, own, others, used, task vector
	need                           vector // used, and what could start at once
	base                           vector // the first claim
	free                           vector // of the limit, in no portion; negative after the limit was lowered
	lacked                         vector // what other services demand beyond what is free
	bound                          vector // as account.bound
	reserved                       vector // of what is free, for services whose turn is before
	mayRelease                     bool   // it is this service's turn to return what others lack
	alone                          bool   // the next task needs more than the limit, and may start alone
}

func (b *Book) newDecision(a *account) decision {
	limit := b.limit(a)
	d := decision{
		limit: limit, own: vectorOf(a.own.Portion).where(limit), others: a.others.where(limit),
		used: vectorOf(a.use.Used).where(limit), task: vectorOf(a.use.Task).where(limit), bound: noBound,
	}
	d.need = vectorOf(a.use.Blocked).where(limit).add(d.used)
	oversize := !d.task.fits(limit)
	d.need = d.need.min(limit).max(d.used)
	d.free = limit.sub(d.own).sub(d.others)
	d.lacked = a.wanted.where(limit).sub(d.free.max(vector{})).max(vector{})
	for i := range limit {
		d.base[i] = limit[i] / b.services
	}
	if d.lacked != (vector{}) {
		d.bound, d.reserved = b.boundOf(a, d)
	}
	d.alone = oversize && d.used == (vector{}) && d.others == (vector{}) && limit.fits(d.bound)
	return d
}

// boundOf returns the fair part of each resource of which the demands exceed the limit, and how much of
// what is free is for services whose turn is before.
func (b *Book) boundOf(a *account, d decision) (bound, reserved vector) {
	claims := map[cluster.Service]claim{b.service: {demand: d.need, task: d.task, portion: d.own, turn: a.own.Turn}}
	if a.own.Demand == (job.Resources{}) {
		claims[b.service] = claim{demand: d.need, task: d.task, portion: d.own, turn: math.MaxInt64}
	}
	sum := d.need
	for service, other := range a.ledger.Services {
		if service == b.service {
			continue
		}
		c := claim{portion: vectorOf(other.Portion).where(d.limit), turn: other.Turn}
		c.demand = vectorOf(other.Demand).where(d.limit).max(c.portion)
		if c.demand != c.portion {
			c.task = vectorOf(other.Task)
		}
		claims[service] = c
		sum = sum.add(c.demand)
	}
	division := divideInTasks(d.limit, claims)
	part, before := division.parts[b.service], division.before(b.service, claims)
	bound = noBound
	for i := range bound {
		if d.limit[i] > 0 && sum[i] > d.limit[i] && d.lacked[i] > 0 {
			bound[i], reserved[i] = part[i], before[i]
		}
	}
	return bound, reserved
}

// allotment returns the allotment that the service should have.
func (d *decision) allotment(a *account, now time.Time) Allotment {
	portion := d.portion(a, now)
	next := Allotment{Portion: portion.resources()}
	next.Demand, next.Task = d.demand(a, portion, now)
	lowered := !d.own.fits(portion)
	switch {
	case next.Demand == (job.Resources{}):
	case lowered || a.own.Demand == (job.Resources{}):
		next.Turn = a.ledger.nextTurn()
	default:
		next.Turn = a.own.Turn
	}
	return next
}

// mayRelease reports whether those with larger portions have had time to return what others lack.
func (b *Book) mayRelease(a *account, d decision, now time.Time) bool {
	if d.lacked == (vector{}) {
		a.lackedSince = time.Time{}
		return false
	}
	if a.lackedSince.IsZero() {
		a.lackedSince = now
	}
	since := now.Sub(a.lackedSince)
	if since >= maxReleaseDelay {
		return true
	}
	before := 0
	own := share(d.own, d.limit)
	for service, other := range a.ledger.Services {
		theirs := share(vectorOf(other.Portion), d.limit)
		if theirs > own || theirs == own && service < b.service {
			before++
		}
	}
	return since >= time.Duration(before)*releaseSpacing
}

// portion returns the portion that the service should have.
func (d *decision) portion(a *account, now time.Time) vector {
	if d.alone {
		return d.own.max(d.task) // a run of its own, when this is stored
	}
	raised, useful := d.raised()
	oversized := d.oversized(a, now)
	next := d.own
	for i := range next {
		keep := max(d.used[i], min(d.need[i], d.bound[i]))
		switch {
		case d.free[i] < 0:
			next[i] = max(d.used[i], min(d.own[i], d.limit[i]-d.others[i]))
		case d.lacked[i] > 0 && d.own[i] > keep:
			if d.mayRelease {
				next[i] = max(keep, d.own[i]-d.lacked[i])
			}
		case useful:
			next[i] = max(next[i], raised[i])
		case oversized:
			next[i] = min(next[i], max(d.base[i], 2*d.need[i]))
		}
		next[i] = max(next[i], d.used[i])
	}
	return next
}

// raised returns the portion raised towards the need, as far as the limit has room; useful reports
// whether what starts next fits into it.
func (d *decision) raised() (raised vector, useful bool) {
	raised = d.own
	for i := range raised {
		goal := min(d.need[i], d.bound[i])
		if d.lacked == (vector{}) && d.need != (vector{}) {
			goal = max(d.need[i]+d.need[i]/reserveDivisor, d.base[i])
		}
		raised[i] = max(d.own[i], min(goal, d.own[i]+max(0, d.free[i]-d.reserved[i])))
	}
	short := !d.need.fits(d.own)
	return raised, short && d.used.add(d.task).fits(raised)
}

// oversized reports whether the portion has been far more than needed for oversizedTime.
func (d *decision) oversized(a *account, now time.Time) bool {
	oversized := false
	for i := range d.own {
		oversized = oversized || d.own[i] > d.base[i] && d.own[i] > oversizedFactor*d.need[i]
	}
	if !oversized {
		a.oversizedSince = time.Time{}
		return false
	}
	if a.oversizedSince.IsZero() {
		a.oversizedSince = now
	}
	return now.Sub(a.oversizedSince) >= oversizedTime
}

// demand returns the demand and the next task to publish beside the portion. A published demand that
// the portion meets asks for nothing, and is removed with the next change of the portion.
func (d *decision) demand(a *account, portion vector, now time.Time) (demand, task job.Resources) {
	published := a.own.Demand != (job.Resources{})
	if !d.need.fits(portion) {
		a.satisfiedAt = time.Time{}
		met := vectorOf(a.own.Demand).fits(portion) // so that it asks others for nothing
		if !published || met || now.Sub(a.demandAt) >= demandInterval && d.differs(a.own) {
			return d.need.resources(), d.task.min(d.limit).resources()
		}
		return a.own.Demand, a.own.Task
	}
	if a.satisfiedAt.IsZero() {
		a.satisfiedAt = now
	}
	met := vectorOf(a.own.Demand).fits(portion)
	if published && met && portion == d.own || published && !met && now.Sub(a.satisfiedAt) < demandInterval {
		return a.own.Demand, a.own.Task
	}
	return job.Resources{}, job.Resources{}
}

// differs reports whether the published demand is far from the present one.
func (d *decision) differs(own Allotment) bool {
	published, task := vectorOf(own.Demand), vectorOf(own.Task)
	for i := range d.limit {
		step := d.limit[i] / demandDivisor
		if abs(d.need[i]-published[i]) > step || abs(min(d.task[i], d.limit[i])-task[i]) > step {
			return true
		}
	}
	return false
}

func abs(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}

// shortage returns the largest part of a limited resource that this service or others lack.
func (d *decision) shortage() float64 {
	lack := d.need.sub(d.own).max(d.lacked).max(vector{})
	return math.Min(1, share(lack, d.limit))
}

package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/quota"
)

const (
	// testOverage is by how much the runs of a tenant may exceed its limit, as bounds.quota-overage.
	testOverage = 0.1
	// configDelay is how late an owner may learn of a changed limit, as bounds.config-apply-ms.
	configDelay = 3 * time.Second
)

// tenantsSim holds the ledgers of the tenants whose jobs run in several worlds, each a service.
type tenantsSim struct {
	worlds   []*world
	limits   []limitChange
	ledgers  map[cluster.TenantName]storedLedger
	revision int64
}

type limitChange struct {
	at    time.Time
	limit job.Resources
}

type storedLedger struct {
	ledger   quota.Ledger
	revision int64
	at       time.Time
}

// ledgersSim is the part of an owner that reads and writes ledgers.
type ledgersSim struct {
	book    *quota.Book
	writing int // number of the write in progress; zero if there is none
	writes  int
}

var testTenants = []cluster.TenantName{"north", "south"}

// newTenantWorlds returns two worlds that share the ledgers of two tenants.
func newTenantWorlds(t *rapid.T) (*tenantsSim, []*world) {
	s := &tenantsSim{ledgers: map[cluster.TenantName]storedLedger{}}
	s.worlds = []*world{newWorld(t), newWorld(t)}
	s.limits = []limitChange{{s.worlds[0].now, drawLimit(t)}}
	for _, w := range s.worlds {
		w.tenants = s
		s.lead(w, w.owner)
	}
	return s, s.worlds
}

func drawLimit(t *rapid.T) job.Resources {
	return job.Resources{MilliCPU: rapid.Int64Range(1000, 14000).Draw(t, "limit")}
}

func (s *tenantsSim) limit() job.Resources { return s.limits[len(s.limits)-1].limit }

// lead lets an owner read the ledgers after its term began.
func (s *tenantsSim) lead(w *world, o *ownerSim) {
	if s == nil {
		return
	}
	service := cluster.Service("first")
	if w != s.worlds[0] {
		service = "second"
	}
	o.ledgers = &ledgersSim{book: quota.NewBook(service)}
	s.configure(o)
	for _, stored := range s.ledgers {
		o.ledgers.book.SetLedger(stored.ledger, stored.revision)
	}
	o.ledgers.book.Loaded()
	s.passUsable(o)
}

func (s *tenantsSim) configure(o *ownerSim) {
	var list []cluster.Tenant
	for _, name := range testTenants {
		list = append(list, cluster.Tenant{Name: name, Weight: 1, Limit: s.limit()})
	}
	o.ledgers.book.SetTenants(list, len(s.worlds))
}

func (s *tenantsSim) passUsable(o *ownerSim) {
	for _, u := range o.ledgers.book.TakeUsable() {
		o.shard.SetUsable(u)
	}
}

// draw returns whose job is submitted.
func (s *tenantsSim) draw(w *world) cluster.TenantName {
	if s == nil {
		return ""
	}
	return rapid.SampledFrom(testTenants).Draw(w.t, "tenant")
}

// changeLimit changes the limit of both tenants; the owners learn of it at different times.
func (s *tenantsSim) changeLimit(t *rapid.T) {
	s.limits = append(s.limits, limitChange{s.worlds[0].now, drawLimit(t)})
	for _, w := range s.worlds {
		delay := time.Duration(rapid.IntRange(0, int(configDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		w.timers = append(w.timers, timer{w.now.Add(delay), func() {
			s.configure(w.owner)
			s.passUsable(w.owner)
		}})
	}
}

// storeLedgers plans and sends the ledgers that an owner changes, one write at a time. A write may be
// lost, have no response, or be applied seconds later; it is repeated until one attempt is answered.
func (s *tenantsSim) storeLedgers(w *world, o *ownerSim) {
	if s == nil {
		return
	}
	l := o.ledgers
	if o == w.owner {
		for _, stored := range s.ledgers {
			if w.now.Sub(stored.at) >= 20*time.Millisecond {
				l.book.SetLedger(stored.ledger, stored.revision)
			}
		}
	}
	changes := l.book.Plan(o.shard.TenantUses(nil), w.now)
	s.passUsable(o)
	if len(changes) > 0 {
		l.writes++
		l.writing = l.writes
		s.attempt(w, o, changes, l.writing)
	}
}

func (s *tenantsSim) attempt(w *world, o *ownerSim, changes []quota.Change, number int) {
	if o.ledgers.writing != number {
		return
	}
	after := func(d time.Duration, run func()) { w.timers = append(w.timers, timer{w.now.Add(d), run}) }
	retry := func() { s.attempt(w, o, changes, number) }
	outcome := 9
	if !w.faultFree {
		outcome = rapid.IntRange(0, 9).Draw(w.t, "ledger write")
	}
	switch {
	case o != w.owner || outcome == 0: // cut off, or lost
		after(time.Second, retry)
	case outcome == 1: // the response is lost
		after(20*time.Millisecond, func() { s.apply(w, o, changes) })
		after(time.Second, retry)
	case outcome == 2: // applied late
		after(time.Duration(rapid.IntRange(1, 4).Draw(w.t, "late"))*time.Second, func() { s.apply(w, o, changes) })
		after(time.Second, retry)
	default:
		after(20*time.Millisecond, func() {
			applied := s.apply(w, o, changes)
			if o.ledgers.writing != number {
				return
			}
			o.ledgers.writing = 0
			s.settle(o, applied)
		})
	}
}

func (s *tenantsSim) settle(o *ownerSim, applied bool) {
	if applied {
		o.ledgers.book.Applied(s.revision)
	} else {
		for _, stored := range s.ledgers {
			o.ledgers.book.SetLedger(stored.ledger, stored.revision)
		}
		o.ledgers.book.Refused()
	}
	s.passUsable(o)
}

// apply applies a write if the owner still leads and the ledgers are as it has read them.
func (s *tenantsSim) apply(w *world, o *ownerSim, changes []quota.Change) bool {
	if o != w.owner {
		return false
	}
	for _, c := range changes {
		if s.ledgers[c.Ledger.Tenant].revision != c.Revision {
			return false
		}
	}
	s.revision++
	for _, c := range changes {
		s.ledgers[c.Ledger.Tenant] = storedLedger{c.Ledger, s.revision, w.now}
	}
	return true
}

// checkStart checks that a start leaves the tenant's runs within the highest limit that may be in force:
// a start is decided by a configuration of up to configDelay ago and sent within its lease, and a late
// call is executed within callExpiry.
func (s *tenantsSim) checkStart(w *world, start execution.Start) {
	if s == nil {
		return
	}
	window := configDelay + testLease
	if w.executingLate {
		window += callExpiry
	}
	highest := int64(0)
	for i, c := range s.limits {
		if i+1 == len(s.limits) || w.now.Sub(s.limits[i+1].at) < window {
			highest = max(highest, c.limit.MilliCPU)
		}
	}
	r := w.jobs[start.Task.Job].record
	used := s.running(r.Tenant)
	if used > int64((1+testOverage)*float64(highest)) {
		w.t.Fatalf("QUOTA: %s run %d of %s starts beside runs of %d, limit %d, ledger %+v", start.Task, start.Run, r.Tenant, used, highest, s.ledgers[r.Tenant])
	}
	if need := r.Definition.Steps[start.Task.Step].Need.MilliCPU; used > 0 && used+need > highest {
		w.t.Fatalf("QUOTA: %s run %d of %s raises its use to %d, limit %d, ledger %+v", start.Task, start.Run, r.Tenant, used+need, highest, s.ledgers[r.Tenant])
	}
}

// running returns the need of the tenant's runs in all worlds, in thousandths of a core.
func (s *tenantsSim) running(tenant cluster.TenantName) int64 {
	var sum int64
	for _, w := range s.worlds {
		for _, e := range w.executors {
			for _, r := range e.running {
				if e.alive && !r.unforeseen && w.jobs[r.ref.Task.Job].record.Tenant == tenant {
					sum += r.need.MilliCPU
				}
			}
		}
	}
	return sum
}

func (s *tenantsSim) step(d time.Duration) {
	for end := s.worlds[0].now.Add(d); s.worlds[0].now.Before(end); {
		for _, w := range s.worlds {
			w.step(20 * time.Millisecond)
		}
	}
}

// finalLimit lets a tenant finish in a minute what is left when the faults end.
const finalLimit = 5000

// finish ends all faults as healAndFinish does in one world, and checks that all jobs become final.
func (s *tenantsSim) finish() {
	s.limits = append(s.limits, limitChange{s.worlds[0].now, job.Resources{MilliCPU: finalLimit}})
	for _, w := range s.worlds {
		w.endFaults()
		s.configure(w.owner)
		s.passUsable(w.owner)
	}
	s.step(60 * time.Second)
	for _, w := range s.worlds {
		w.checkFinal()
	}
}

// Owners crash, are replaced and go on as zombies, executors are lost and cut off, calls and writes of
// ledgers are lost or late, and the limits change: two services together never start more of a tenant
// than its limit, and every job becomes final afterwards.
func TestTenantLimitsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, worlds := newTenantWorlds(t)
		for range rapid.IntRange(5, 30).Draw(t, "faults") {
			if rapid.IntRange(0, 9).Draw(t, "limit changes") == 0 {
				s.changeLimit(t)
			} else {
				rapid.SampledFrom(worlds).Draw(t, "world").injectFault()
			}
			s.step(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * 40 * time.Millisecond)
		}
		s.finish()
	})
}

// checkTenantUses fails the test if what a tenant is counted to use differs from its runs.
func checkTenantUses(t *rapid.T, s *Shard) {
	used := map[cluster.TenantName]job.Resources{}
	count := func(e *executorState) {
		for _, r := range e.runs {
			tenant := r.task.step.job.Tenant
			used[tenant] = used[tenant].Add(r.task.step.def.Need)
		}
	}
	for _, e := range s.executors {
		count(e)
		for _, f := range e.former {
			count(f)
		}
	}
	for name, u := range s.uses {
		if u.used != used[name] {
			t.Fatalf("tenant %s uses %+v, but is counted with %+v", name, used[name], u.used)
		}
	}
}

// describe returns the state of a job's tenant.
func (s *tenantsSim) describe(w *world, id job.ID) string {
	if s == nil {
		return ""
	}
	tenant := w.jobs[id].record.Tenant
	u := w.owner.shard.uses[tenant]
	return fmt.Sprintf("\n%s of %+v: used %+v, blocked %+v, task %+v, usable %+v\nledger %+v", tenant, w.owner.ledgers.book.Holdings(), u.occupied(), u.blocked, u.task, u.usable, s.ledgers[tenant])
}

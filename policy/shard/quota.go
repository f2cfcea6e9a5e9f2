package shard

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/quota"
)

// tenantUse is what a tenant uses of the service, and what it may use.
type tenantUse struct {
	name cluster.TenantName
	// used is the need of all runs of the tenant's tasks: those that may use capacity, from the
	// decision to start them until they are known to be over. A best-effort task counts with its
	// whole need, since it may use that much.
	used job.Resources
	// orphans is the need of the orphans of the tenant's tasks, as of the last batch.
	orphans job.Resources
	usable  quota.Usable
	// blocked is the need of the ready tasks that the last batch did not start for lack of a
	// portion, and task that of the first of them. While task is set, nothing of the tenant starts,
	// so that tasks that need less don't take what it waits for.
	blocked, task job.Resources
}

// occupied returns the need of everything of the tenant that may be running.
func (u *tenantUse) occupied() job.Resources { return u.used.Add(u.orphans) }

// admitsAhead reports whether one task of a step may start between batches. It leaves room for the task
// that waits for the portion.
func (u *tenantUse) admitsAhead(def *job.Step) bool {
	if !u.usable.Limited {
		return true
	}
	return def.Need.Add(u.task).Fits(u.usable.Total.Sub(u.occupied()))
}

// isBlocked reports whether the tenant's next start waits for its portion.
func (u *tenantUse) isBlocked() bool { return u.task != job.Resources{} }

// admits returns how many of n tasks of a step may start now.
func (u *tenantUse) admits(def *job.Step, n int) int {
	if !u.usable.Limited {
		return n
	}
	if fits := fitCount(def.Need, u.usable.Total.Sub(u.occupied())); fits >= 1 {
		return min(n, fits)
	}
	if n == 1 || !def.Gang {
		alone := u.occupied() == job.Resources{} && def.Need.Fits(u.usable.Alone)
		if alone {
			return 1
		}
	}
	return 0
}

// tenantUse returns what is known of a tenant's use; nil for jobs without a tenant.
func (s *Shard) tenantUse(name cluster.TenantName) *tenantUse {
	if name == "" {
		return nil
	}
	u := s.uses[name]
	if u == nil {
		u = &tenantUse{name: name}
		s.uses[name] = u
	}
	return u
}

// SetUsable sets what a tenant may have running in this service. Tenants of which it was not set are
// not limited.
func (s *Shard) SetUsable(u quota.Usable) {
	s.tenantUse(u.Tenant).usable = u
	s.dirty = true
}

// TenantUses appends the tenants that use or could use something of the service to the list.
func (s *Shard) TenantUses(list []quota.Use) []quota.Use {
	s.countOrphans()
	for _, u := range s.uses {
		use := quota.Use{Tenant: u.name, Used: u.occupied(), Blocked: u.blocked, Task: u.task}
		if use != (quota.Use{Tenant: u.name}) {
			list = append(list, use)
		}
	}
	return list
}

// countOrphans counts the orphans of known tasks: whoever started them, they may be running.
func (s *Shard) countOrphans() {
	if len(s.uses) == 0 {
		return
	}
	for _, u := range s.orphaned {
		u.orphans = job.Resources{}
	}
	s.orphaned = s.orphaned[:0]
	for _, e := range s.sortedExecutors() {
		for key := range e.orphans {
			t := s.taskOf(key.task)
			if t == nil || t.step.job.use == nil {
				continue
			}
			u := t.step.job.use
			u.orphans = u.orphans.Add(t.step.def.Need)
			s.orphaned = append(s.orphaned, u)
		}
	}
}

// resetBlocked prepares the counts for a batch.
func (s *Shard) resetBlocked() {
	s.countOrphans()
	for _, u := range s.blocked {
		u.blocked, u.task = job.Resources{}, job.Resources{}
	}
	s.blocked = s.blocked[:0]
}

// withinPortion returns the ready tasks of a step that its tenant may start now, of a gang all or none.
func (b *builder) withinPortion(st *step, ready []*task) []*task {
	u := st.job.use
	if u == nil || !u.usable.Limited {
		return ready
	}
	n := 0
	if !u.isBlocked() {
		n = u.admits(st.def, len(ready))
	}
	if st.def.Gang && n < len(ready) {
		n = 0
	}
	return ready[:n]
}

// noteBlocked counts the ready tasks of a step that could start but for their tenant's portion: those
// that it admits have, and executors have room for more.
func (b *builder) noteBlocked(st *step, ready, admitted []*task, runs int) {
	rest := len(ready) - len(admitted)
	if rest == 0 || runs < len(admitted) || !b.hasRoom(st) {
		return
	}
	u, next := st.job.use, st.def.Need
	if st.def.Gang {
		next = multiply(next, rest)
		if rest > 1 && !next.Fits(u.usable.Limit) {
			return // it never may start, and must not keep others waiting
		}
	}
	if !u.isBlocked() {
		u.task = next
		b.shard.blocked = append(b.shard.blocked, u)
	}
	u.blocked = u.blocked.Add(multiply(st.def.Need, rest))
}

// skip reports whether the job can't start anything because its tenant waits for its portion, and counts
// what it could start.
func (b *builder) skip(j *jobState) bool {
	u := j.use
	if u == nil || !u.isBlocked() {
		return false
	}
	if !u.usable.Limit.Fits(u.blocked) { // else more makes no difference
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.blockers == 0 && st.tasksLeft > st.runs {
					u.blocked = u.blocked.Add(multiply(st.def.Need, st.tasksLeft-st.runs))
				}
			}
		}
	}
	return true
}

// boundBlocked bounds what is counted as blocked by the capacity that is free after the starts of the
// batch, so that a portion is not claimed for what has no room.
func (b *builder) boundBlocked() {
	if len(b.shard.blocked) == 0 {
		return
	}
	var free job.Resources
	for _, e := range b.shard.sortedExecutors() {
		if b.acceptsWorkOrTrial(e) {
			free = free.Add(atLeastZero(e.free()))
		}
	}
	for _, u := range b.shard.blocked {
		u.blocked = larger(u.task, smaller(u.blocked, free))
	}
}

// acceptsWorkOrTrial reports whether the executor can be given work, be it only a trial.
func (b *builder) acceptsWorkOrTrial(e *executorState) bool {
	return b.mayBeGivenWork(e) || e.allowsTrial(b.now)
}

// hasRoom reports whether any executor that can be given work has capacity for a task of the step and may run it:
// what has no room must not claim a portion, which other services could use, nor keep other jobs of its tenant waiting.
func (b *builder) hasRoom(st *step) bool {
	need, fits := st.def.Reservation(), false
	if slices.ContainsFunc(b.roomless, func(failed job.Resources) bool { return failed.Fits(need) }) {
		return false
	}
	for _, e := range b.shard.sortedExecutors() {
		if !b.acceptsWorkOrTrial(e) || !need.Fits(e.free()) {
			continue
		}
		if st.allows(e, b.now) {
			return true
		}
		fits = true
	}
	if !fits {
		b.roomless = append(b.roomless, need)
	}
	return false
}

// withinPortions returns the suspects whose tenants may start them now.
func (b *builder) withinPortions(suspects []*task) []*task {
	if len(b.shard.uses) == 0 {
		return suspects
	}
	return slices.DeleteFunc(suspects, func(t *task) bool { return !b.mayStart(t) })
}

// mayStart reports whether the suspect's tenant may start it now.
func (b *builder) mayStart(t *task) bool {
	ready := []*task{t}
	admitted := b.withinPortion(t.step, ready)
	b.noteBlocked(t.step, ready, admitted, 0)
	return len(admitted) == 1
}

func multiply(r job.Resources, n int) job.Resources {
	return job.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), GPU: r.GPU * int64(n)}
}

func smaller(x, y job.Resources) job.Resources {
	return job.Resources{MilliCPU: min(x.MilliCPU, y.MilliCPU), MemoryMB: min(x.MemoryMB, y.MemoryMB), GPU: min(x.GPU, y.GPU)}
}

func larger(x, y job.Resources) job.Resources {
	return job.Resources{MilliCPU: max(x.MilliCPU, y.MilliCPU), MemoryMB: max(x.MemoryMB, y.MemoryMB), GPU: max(x.GPU, y.GPU)}
}

func atLeastZero(r job.Resources) job.Resources { return larger(r, job.Resources{}) }

// withinPortion returns how many of n waiting tasks of a step its tenant's portion admits, besides those
// for which the report has reserved capacity.
func (b *reportBuilder) withinPortion(st *step, n int) int {
	u := st.job.use
	switch {
	case u == nil || !u.usable.Limited:
		return n
	case u.isBlocked():
		return 0
	}
	reserved := *u
	reserved.used = u.used.Add(b.portions[u])
	admitted := reserved.admits(st.def, n)
	if st.def.Gang && admitted < n {
		return 0
	}
	return admitted
}

// notePortion records the capacity that the report has reserved for tasks of a step.
func (b *reportBuilder) notePortion(st *step, tasks int) {
	u := st.job.use
	if u == nil || tasks == 0 {
		return
	}
	if b.portions == nil {
		b.portions = map[*tenantUse]job.Resources{}
	}
	b.portions[u] = b.portions[u].Add(multiply(st.def.Need, tasks))
}

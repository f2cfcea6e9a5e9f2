package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Backfilling with one reservation: the first step in start order that has large tasks and finds no
// room in one place gets holds on the executors where its tasks can start earliest. Tasks before it
// in the order avoid these executors while others have room; tasks behind it start there only if
// they end before, or leave enough room. See docs/design/placement-backfill.md.

const (
	// maxHold is how long the holds of one step last, and how long an executor is held in any
	// period of twice that time unless a task that it is held for has started there: forecasts
	// may be wrong, and small tasks must start within seconds.
	maxHold = 1500 * time.Millisecond
	// maxHeldShare is the part of the usable executors that may be held; at least one may.
	maxHeldShare = 0.25
	// maxReservationSearches bounds the searches of one batch.
	maxReservationSearches = 2
	// maxForecasts bounds the executors for which one search makes a forecast; the next search
	// continues with the others.
	maxForecasts = 100
	// backfillQuantile is the share of the runs of a kind that end before a hold begins if they
	// are started for that reason.
	backfillQuantile = 0.9
	// yieldMargin is the time that tasks that are before the reservation's step in the start order
	// must have left for their own start when its tasks are expected to start.
	yieldMargin = 200 * time.Millisecond
)

// hold keeps room on one executor for a task of the reservation's step.
type hold struct {
	reservation *reservation
	executor    *executorState
	at          time.Time     // when there is expected to be room for the task
	spare       job.Resources // expected to be free then besides the task
}

// reservation is the room held for one step.
type reservation struct {
	step  *step
	since time.Time
	holds []*hold
	firm  bool // its step has had its turn in the open batch
}

// ReservationReport describes the present reservations, and counts the reservations since the last
// report by what became of them.
type ReservationReport struct {
	Present []ReservationNote // the oldest first
	ReservationCounts
}

// ReservationNote names for whom room is held, and where.
type ReservationNote struct {
	Job       job.ID
	Step      int
	Need      job.Resources // of one task
	Executors []cluster.ExecutorID
	Since     time.Time
	Until     time.Time // when the last of the tasks is expected to start
}

// ReservationCounts counts reservations: those that began, those whose step needs no room any more
// since all its tasks have started, and the others that ended.
type ReservationCounts struct{ Held, Used, GivenUp int }

// reservationReport returns the report and resets the counts.
func (s *Shard) reservationReport() ReservationReport {
	report := ReservationReport{ReservationCounts: s.reservationCounts}
	s.reservationCounts = ReservationCounts{}
	for _, r := range s.reservations {
		report.Present = append(report.Present, r.note())
	}
	return report
}

func (r *reservation) note() ReservationNote {
	n := ReservationNote{Job: r.step.id.Job, Step: r.step.id.Step, Need: r.step.def.Reservation(), Since: r.since}
	for _, h := range r.holds {
		n.Executors = append(n.Executors, h.executor.ID)
		if h.at.After(n.Until) {
			n.Until = h.at
		}
	}
	return n
}

// endReservation releases what a reservation holds. The caller removes it from the list.
func (s *Shard) endReservation(r *reservation) {
	for _, h := range r.holds {
		h.executor.hold = nil
	}
	r.step.reservation = nil
	if r.step.waits() {
		s.reservationCounts.GivenUp++
	} else {
		s.reservationCounts.Used++
	}
}

// endReservations ends the reservations for which the condition holds.
func (s *Shard) endReservations(condition func(*reservation) bool) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool {
		ended := condition(r)
		if ended {
			s.endReservation(r)
		}
		return ended
	})
}

// waits reports whether tasks of the step could start and have no run.
func (st *step) waits() bool {
	j := st.job
	return !j.terminating() && !j.state.Final() && st.blockers == 0 && st.tasksLeft > st.runs
}

// resumeReservations ends the reservations of the last batch that may not last. Until a step has its
// turn in this batch, tasks that would be late otherwise may use the room held for it.
func (b *builder) resumeReservations() {
	b.uneven = b.shard.needs.unevenness(b.shard.meanCapacity(), b.now)
	b.shard.endReservations(func(r *reservation) bool {
		r.firm = false
		return !r.step.waits() || !b.mayReserve(r.step) || !b.holdsLast(r)
	})
}

// holdsLast reports whether all executors of the reservation can still be held.
func (b *builder) holdsLast(r *reservation) bool {
	return !slices.ContainsFunc(r.holds, func(h *hold) bool {
		e := h.executor
		return !e.mayHold(b.now) || !b.mayBeGivenWork(e) || b.shard.executors[e.ID] != e
	})
}

// closeReservations ends the reservations that were not confirmed in this batch, unless the batch
// was full before their steps had their turn.
func (b *builder) closeReservations() {
	b.shard.endReservations(func(r *reservation) bool {
		return !r.firm && (!b.batch.Full || !r.step.waits())
	})
}

// mayReserve reports whether room may be held for the step: it has short tasks of a large need, its
// job can still be in time, and it has not had a reservation for longer than maxHold.
func (b *builder) mayReserve(st *step) bool {
	if st.def.LongRunning || st.def.Gang || !b.uneven.isLarge(st.def.Reservation()) {
		return false
	}
	if !st.reservedSince.IsZero() && b.now.Sub(st.reservedSince) >= maxHold {
		return false
	}
	return st.job.urgency(b.now) == urgencyInTime
}

// considerReservation confirms the reservation of the step, whose tasks have found no room, or makes
// one. A batch makes one at most. The free capacity of all executors must suffice for a task:
// otherwise capacity is scarce, and holding some of it would only take it from other work.
func (b *builder) considerReservation(st *step) {
	if len(b.uneven.references) == 0 || st.reservation == nil && (b.reserved || b.searches >= maxReservationSearches) || !b.mayReserve(st) {
		return
	}
	tasks := b.readyTasks(st)
	if tasks == 0 {
		return
	}
	if st.reservation != nil && b.confirm(st.reservation, tasks) {
		return
	}
	limit := max(1, int(maxHeldShare*float64(len(b.usable())))) - b.shard.heldExecutors()
	if limit <= 0 || b.reserved || b.searches >= maxReservationSearches || !st.def.Reservation().Fits(b.totalFree()) {
		return
	}
	b.searches++
	if holds := b.findHolds(st, b.rackFor(st), min(tasks, limit)); len(holds) > 0 {
		b.reserveFor(st, holds)
	}
}

// heldExecutors returns how many executors are held.
func (s *Shard) heldExecutors() int {
	n := 0
	for _, r := range s.reservations {
		n += len(r.holds)
	}
	return n
}

// confirm renews the forecasts of a reservation whose step still waits for room for the given number
// of tasks. It reports false if no hold is left.
func (b *builder) confirm(r *reservation, tasks int) bool {
	r.firm = true
	need, by := r.step.def.Reservation(), b.latestHeldStart(r.step)
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool {
		at, free, ok := b.freeAt(h.executor, need, by)
		if ok && tasks > 0 && r.step.allows(h.executor, b.now) {
			h.at, h.spare = at, free.Sub(need)
			tasks--
			return false
		}
		h.executor.hold = nil
		return true
	})
	if len(r.holds) > 0 {
		return true
	}
	b.shard.endReservations(func(other *reservation) bool { return other == r })
	return false
}

func (b *builder) reserveFor(st *step, holds []*hold) {
	b.reserved = true
	r := &reservation{step: st, since: b.now, holds: holds, firm: true}
	if st.reservedSince.IsZero() {
		st.reservedSince = b.now
	}
	for _, h := range holds {
		h.reservation = r
		h.executor.hold = h
		h.executor.beginHold(b.now)
	}
	st.reservation = r
	b.shard.reservations = append(b.shard.reservations, r)
	b.shard.reservationCounts.Held++
}

// readyTasks returns how many tasks of the step could start now, as far as the portion of its tenant
// allows.
func (b *builder) readyTasks(st *step) int {
	n := 0
	for _, t := range st.tasks {
		if t.current == nil && !t.done && !b.now.Before(t.retryAt) && !b.shard.mustIsolate(t, b.now) {
			n++
		}
	}
	u := st.job.use
	switch {
	case u == nil:
		return n
	case u.isBlocked():
		return 0
	default:
		return u.admits(st.def, n)
	}
}

// totalFree returns the free capacity of all usable executors together.
func (b *builder) totalFree() job.Resources {
	var sum job.Resources
	for _, e := range b.usable() {
		sum = sum.Add(e.free())
	}
	return sum
}

// findHolds returns holds for up to n tasks of the step, on the executors on which they are expected
// to end earliest: a task may be done later where it starts earlier, away from its data.
func (b *builder) findHolds(st *step, rack string, n int) []*hold {
	type choice struct {
		*hold
		ends time.Time
	}
	var best []choice
	need := st.def.Reservation()
	latestStart := b.latestHeldStart(st)
	local, remote := b.shard.runTime(st, false, 0, endQuantile), time.Duration(0)
	if st.def.Affinity != "" {
		remote = b.shard.runTime(st, true, 0, endQuantile)
	}
	if max(local, remote) == unknownRunTime {
		return nil
	}
	usable := b.usable()
	forecasts := 0
	start := b.shard.searchFrom % max(1, len(usable))
	for i := range usable {
		if forecasts == maxForecasts {
			b.shard.searchFrom = start + i
			break
		}
		e := usable[(start+i)%len(usable)]
		if !need.Fits(e.Capacity) || !e.mayHold(b.now) || !st.allows(e, b.now) || rack != "" && e.Rack() != rack {
			continue
		}
		runTime := local
		if st.remoteFrom(e) {
			runTime = remote
		}
		if e.hold != nil {
			continue
		}
		forecasts++
		by := latestStart
		if len(best) == n {
			if latest := best[n-1].ends.Add(-runTime); latest.Before(by) {
				by = latest
			}
		}
		at, free, ok := b.freeAt(e, need, by)
		if !ok || at.After(by) {
			continue
		}
		c := choice{&hold{executor: e, at: at, spare: free.Sub(need)}, at.Add(runTime)}
		i, _ := slices.BinarySearchFunc(best, c, func(x, y choice) int {
			return cmp.Or(x.ends.Compare(y.ends), cmp.Compare(x.executor.ID, y.executor.ID))
		})
		best = slices.Insert(best, i, c)
		best = best[:min(n, len(best))]
	}
	holds := make([]*hold, len(best))
	for i, c := range best {
		holds[i] = c.hold
	}
	return holds
}

// latestHeldStart returns the time until which room may be held for a task of the step: its holds
// end then, or its job can't be in time any more.
func (b *builder) latestHeldStart(st *step) time.Time {
	since := st.reservedSince
	if since.IsZero() {
		since = b.now
	}
	latest := since.Add(maxHold)
	j := st.job
	if inTime := b.latestStart(st); j.Definition.Schedule.Count == 0 && inTime.Before(latest) {
		return inTime
	}
	return latest
}

// beginHold notes that the executor is held, and since when.
func (e *executorState) beginHold(now time.Time) {
	if e.heldSince.IsZero() || now.Sub(e.heldSince) >= 2*maxHold {
		e.heldSince = now
	}
}

// mayHold reports whether the executor may be held: for maxHold in any period of twice that time.
func (e *executorState) mayHold(now time.Time) bool {
	held := now.Sub(e.heldSince)
	return e.heldSince.IsZero() || held < maxHold || held >= 2*maxHold
}

// mayUse reports whether a task of the step may be started on the executor in spite of a hold: it ends
// before the hold begins, or leaves enough room, or it is before the reservation's step in the start
// order and would be late if it waited for that step's tasks to start. Long-running tasks, which
// serve users for as long as their jobs last, need not consider holds.
func (b *builder) mayUse(e *executorState, st *step) bool {
	h := e.hold
	switch {
	case h == nil || h.reservation.step == st || st.def.LongRunning:
		return true
	case st.def.Gang:
		return !h.reservation.firm // its placement may be taken back
	case st.def.Reservation().Fits(h.spare) || b.endsBefore(st, e):
		return true
	case h.reservation.firm:
		return false
	}
	urgency := st.job.urgency(b.now)
	if st.job.Queue.Priority < h.reservation.step.job.Queue.Priority || urgency < urgencyInTime {
		return true
	}
	return urgency == urgencyInTime && b.latestStart(st).Before(h.at.Add(yieldMargin))
}

// latestStart returns when the step's tasks have to start for the job to be in time, by the run times
// that are known of them if these exceed the estimate.
func (b *builder) latestStart(st *step) time.Time {
	if b.latestStartStep != st {
		latest := st.job.deadline().Add(-st.job.remaining(b.now))
		if known := b.shard.runTime(st, false, 0, endQuantile); known != unknownRunTime {
			latest = latest.Add(-max(0, known-withMargin(st.def.Estimate)))
		}
		b.latestStartStep, b.latestStartTime = st, latest
	}
	return b.latestStartTime
}

// endsBefore reports whether a task of the step that starts now on the executor ends before the
// executor's hold begins.
func (b *builder) endsBefore(st *step, e *executorState) bool {
	return b.backfillTime(st, st.remoteFrom(e)) <= e.hold.at.Sub(b.now)
}

// backfillTime returns how long a task of the step takes up its room if it starts now.
func (b *builder) backfillTime(st *step, remote bool) time.Duration {
	known := &st.backfillTimes[0]
	if remote {
		known = &st.backfillTimes[1]
	}
	if known.until.Before(b.now) {
		total := b.shard.runTime(st, remote, 0, backfillQuantile)
		if total != unknownRunTime {
			total += stepOverhead
		}
		known.value, known.until = total, b.now.Add(backfillTimeAge)
	}
	return known.value
}

// backfillTimeAge is how long the expected run time of a step's tasks is kept.
const backfillTimeAge = 500 * time.Millisecond

// expectedTime is an expected run time and until when it is kept.
type expectedTime struct {
	value time.Duration
	until time.Time
}

// useHeld takes the task's need from the room that its executor has besides the task for which it
// is held.
func (b *builder) useHeld(t *task, e *executorState) {
	switch {
	case e.hold == nil:
	case e.hold.reservation.step == t.step:
		e.heldSince = time.Time{}
	case !b.endsBefore(t.step, e):
		e.hold.spare = e.hold.spare.Sub(t.step.def.Reservation())
	}
}

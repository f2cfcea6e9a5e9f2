package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// storeOutages is the part of a world in which starts are prepared, and the store does not respond
// to owners for seconds.
type storeOutages struct {
	used int // prepared starts that owners have used
}

// confirmTerm tells an owner when its term was confirmed last: now, unless the store does not
// respond to it or it was replaced.
func (s *storeOutages) confirmTerm(w *world, o *ownerSim) {
	if s == nil {
		return
	}
	switch {
	case !o.cutOffSince.IsZero():
		o.shard.ConfirmTerm(o.cutOffSince)
	case !o.replacedAt.IsZero():
		o.shard.ConfirmTerm(o.replacedAt)
	case w.liveness != nil && !w.liveness.storeDownSince.IsZero():
		o.shard.ConfirmTerm(w.liveness.storeDownSince)
	default:
		o.shard.ConfirmTerm(w.now)
	}
	_, counts := o.shard.TakePreparedNotes()
	s.used += counts.Used
}

// injectFault begins or ends an outage of the store. An owner that is cut off may be frozen, or
// replaced by one that does not reach some of the executors, and resume.
func (s *storeOutages) injectFault(w *world) {
	o := w.owner
	switch {
	case o.cutOffSince.IsZero():
		s.cutOff(w)
	case rapid.IntRange(0, 2).Draw(w.t, "outage ends") == 0:
		o.cutOffSince = time.Time{}
	default:
		s.replace(w)
	}
}

// cutOff begins an outage. The open batch may be durable although its owner does not learn that.
func (s *storeOutages) cutOff(w *world) {
	for range rapid.IntRange(1, 3).Draw(w.t, "jobs before the outage") {
		w.submit()
	}
	w.step(w.randomTicks("before the outage", 1500))
	due := func() bool { return w.owner.batch != nil }
	if rapid.Bool().Draw(w.t, "cordon before the outage") {
		s.cordon(w)
		due = func() bool { return w.owner.shard.hasUnstoredPrepared() }
	}
	for i := 0; i < maxTicksToBatch && !due(); i++ {
		w.step(20 * time.Millisecond)
	}
	o := w.owner
	o.cutOffSince = w.now
	if o.batch != nil && rapid.Bool().Draw(w.t, "open batch applied") {
		w.applyBatch(o.batch)
		w.revision++
		o.batchApplied = true
	}
	if rapid.IntRange(0, 2).Draw(w.t, "frozen in the outage") == 0 {
		o.pausedUntil = w.now.Add(w.randomTicks("frozen", 9000))
	}
	w.step(w.randomTicks("in the outage", 2000))
	if rapid.Bool().Draw(w.t, "replaced early") {
		s.replace(w)
	}
}

// maxTicksToBatch is how long an outage is put off until a batch is open.
const maxTicksToBatch = 50

// hasUnstoredPrepared reports whether the open batch contains the first write of a prepared start.
func (s *Shard) hasUnstoredPrepared() bool {
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, t := range st.tasks {
					if t.prepared != nil && t.prepared.version > j.durableVersion {
						return true
					}
				}
			}
		}
	}
	return false
}

// cordon cordons an executor with prepared starts, so that the next writes supersede them.
func (s *storeOutages) cordon(w *world) {
	for _, id := range w.jobIDs() {
		j := w.owner.shard.jobs[id]
		if j == nil || len(j.occurrences) == 0 {
			continue
		}
		for _, st := range j.occurrences[0].steps {
			for _, t := range st.tasks {
				if t.prepared != nil && rapid.Bool().Draw(w.t, "cordoned for its prepared start") {
					w.owner.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{t.prepared.executor.ID: EvacuateGracefully}), w.now)
					return
				}
			}
		}
	}
}

// replace replaces an owner that is cut off. On some executors it goes on, and its successor does
// not reach them.
func (s *storeOutages) replace(w *world) {
	for i := 1; i <= w.executorsAdded; i++ {
		if e := w.executors[cluster.ExecutorID(fmt.Sprintf("i-%d", i))]; e != nil && e.alive {
			e.partitioned = rapid.Bool().Draw(w.t, "partitioned with the earlier owner")
		}
	}
	w.owner.pausedUntil = w.now.Add(w.randomTicks("frozen", 9000))
	w.zombies = append(w.zombies, w.owner)
	w.replaceOwner()
	if len(w.zombies) > 2 {
		w.zombies = w.zombies[1:]
	}
}

func newOutageWorld(t *rapid.T) *world {
	w := newWorld(t)
	w.outages = &storeOutages{}
	w.limits.MaxRunLease = rapid.SampledFrom([]time.Duration{6 * time.Second, 10 * time.Second}).Draw(t, "longest lease")
	if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
		w.restarts = newRestarts()
	}
	w.replaceOwner()
	return w
}

// Random outages of the store, with prepared starts, must not make a start violate a safety rule,
// whatever happens to owners and executors meanwhile, and every job must become final afterwards.
func TestSafetyRulesHoldWithPreparedStarts(t *testing.T) {
	t.Parallel()
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newOutageWorld(t)
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			w.injectFault()
			for range rapid.IntRange(1, 40).Draw(t, "pause") {
				w.step(40 * time.Millisecond)
			}
		}
		w.healAndFinish()
		used += w.outages.used
	})
	if !t.Failed() && used == 0 {
		t.Fatal("no prepared start was used")
	}
	t.Logf("%d prepared starts were used", used)
}

// Prepared starts must not keep a task from starting within the bound once all faults have ended.
func TestTasksStartWithinBoundWithPreparedStarts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.outages = &storeOutages{}
		w.livenessTakeOver()
		runSchedule(w, true)
	})
}

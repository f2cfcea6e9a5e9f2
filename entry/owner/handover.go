package owner

import "github.com/tarragonreach/tarragonreach/policy/handover"

// considerHandover ends the term if the owner has been overloaded for a while and an instance with more
// CPU capacity can take over the duty.
func (o *Owner) considerHandover(load handover.Load) {
	if !o.overload.Overloaded(load) || o.Successor == nil || o.ctx.Err() != nil {
		return
	}
	successor, found := o.Successor(o.term)
	if !found {
		return
	}
	o.Logger.Warn("duty handed over: the owner is short of CPU time", "successor", string(successor), "jobs", o.shard.Jobs(),
		"fitting_tasks", load.Schedulable, "processor_ms", load.CPUTime.Milliseconds(), "period_ms", load.Period.Milliseconds(), "cores", load.Cores)
	o.Scope.Counter("handovers").Inc(1)
	o.term.HandOver()
	o.stepDown()
}

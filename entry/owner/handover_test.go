package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/policy/handover"
)

// overloadedFor passes seconds of overload to an owner and reports whether it still leads.
func overloadedFor(seconds int, successor func(election.Term) (fleet.InstanceID, bool)) bool {
	o, _, _ := reportingOwner()
	o.ctx, o.stepDown = context.WithCancel(context.Background())
	defer o.stepDown()
	o.Successor = successor
	for i := range seconds {
		o.considerHandover(handover.Load{
			At: time.Unix(int64(i+1), 0), Period: time.Second, CPUTime: 160 * time.Millisecond, Cores: 0.192,
			Batches: 12, Full: 12, Schedulable: 900, SchedulableOldest: 2 * time.Second,
		})
	}
	return o.ctx.Err() == nil
}

// Guards against jobs that wait for an owner without CPU time while larger instances are idle.
func TestOverloadedOwnerLeadsBesideASuccessor(t *testing.T) {
	found := func(election.Term) (fleet.InstanceID, bool) { return "large", true }
	none := func(election.Term) (fleet.InstanceID, bool) { return "", false }
	assert.Assert(t, !overloadedFor(3, found))
	assert.Assert(t, overloadedFor(2, found), "not overloaded for long")
	assert.Assert(t, overloadedFor(60, none), "no successor")
	assert.Assert(t, overloadedFor(60, nil), "successors are not known")
}

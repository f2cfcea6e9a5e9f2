package fleetctl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// noDemand reports that nothing is in use, as a new holder of the duty sees it.
type noDemand struct{}

func (noDemand) Demand(string, fleet.AvailabilityZone) (float64, bool) { return 0, true }

// TestPoolKeepsItsInstancesDuringWarmUp was red before the warm-up: a
// pool with a demand of zero took no instance, and a new holder emptied the pools.
func TestPoolKeepsItsInstancesDuringWarmUp(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 4)...)
	options := r.options("palermo")
	options.Demand = noDemand{}
	r.controller = New(options)
	r.reconcile(3)
	assert.Equal(t, r.inState(fleet.StateServing), 4)

	r.controller = New(options)
	r.term = &fakeTerm{epoch: 2}
	r.reconcile(int(time.Hour / reconcileStep))
	assert.Equal(t, r.inState(fleet.StateServing), 4)
}

package fleetctl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// zeroDemand reports zero demand, as a new holder of the duty observes it.
type zeroDemand struct{}

func (zeroDemand) Demand(string, fleet.AvailabilityZone) (float64, bool) { return 0, true }

// TestPoolKeepsItsInstancesDuringWarmUp guards against a new holder that sizes pools
// by the zero demand it has observed so far: pools would then take no instance and
// lose those they have.
func TestPoolKeepsItsInstancesDuringWarmUp(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 4)...)
	options := r.options("palermo")
	options.Demand = zeroDemand{}
	r.controller = New(options)
	r.reconcile(3)
	assert.Equal(t, r.countInState(fleet.StateServing), 4)

	r.controller = New(options)
	r.term = &fakeTerm{epoch: 2}
	r.reconcile(int(time.Hour / reconcileStep))
	assert.Equal(t, r.countInState(fleet.StateServing), 4)
}

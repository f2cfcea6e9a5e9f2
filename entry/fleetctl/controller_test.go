package fleetctl

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
)

// rig is one zone's controller on a fake store and platform.
type rig struct {
	t          testing.TB
	now        time.Time
	store      *fakeStore
	platform   *fakePlatform
	view       *fleetview.View
	config     *object.Config
	recorder   *recorder
	term       *fakeTerm
	controller *Controller
	operations Operations
}

const reconcileStep = 10 * time.Second

func newRig(t testing.TB, config object.Document, instances ...fleet.Instance) *rig {
	r := &rig{
		t: t, now: time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC), store: newFakeStore(),
		platform: &fakePlatform{instances: instances}, view: fleetview.New(),
		recorder: &recorder{}, term: &fakeTerm{epoch: 1},
	}
	r.configure(config)
	r.controller = New(r.options("palermo"))
	r.operations = Operations{Store: r.store, View: r.view, Now: r.clock}
	return r
}

func (r *rig) clock() time.Time { return r.now }

func (r *rig) configure(document object.Document) {
	r.config = (&object.Config{}).Apply(object.Change{Put: document})
}

func (r *rig) options(zone fleet.AvailabilityZone) Options {
	return Options{
		Zone: zone, Store: r.store, View: r.view, List: r.platform, Instances: r.platform,
		Config: func() *object.Config { return r.config }, Work: idleWork{},
		Recorder: r.recorder, Now: r.clock,
	}
}

func (r *rig) reconcile(count int) {
	r.t.Helper()
	for range count {
		assert.NilError(r.t, r.controller.Reconcile(context.Background(), r.term))
		r.now = r.now.Add(reconcileStep)
	}
}

func (r *rig) record(id fleet.InstanceID) fleet.Record {
	record, _, _ := r.view.Snapshot().Find(id)
	return record
}

func (r *rig) countInState(state fleet.State) int {
	count := 0
	for _, located := range r.view.Snapshot().Records("") {
		if located.State == state {
			count++
		}
	}
	return count
}

// servers returns count backend servers of a service, two in a rack.
func servers(service string, count int) []fleet.Instance {
	var out []fleet.Instance
	for i := range count {
		out = append(out, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("%s-%d", service, i)), Kind: fleet.KindBackendServer,
			Zone: "palermo", Rack: fmt.Sprintf("r%d", i/2), Labels: label.Set{"service": service},
		})
	}
	return out
}

func amount(value int) *object.Amount { return &object.Amount{Value: value} }

func poolOf(service string, unavailable int) object.Pool {
	return object.Pool{
		Name: service, Selector: "service=" + service,
		Budget: object.Budget{MaxUnavailable: amount(unavailable)},
	}
}

func TestInstancesServeThePoolThatSelectsThem(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}},
		append(servers("terreni", 3), servers("spare", 1)...)...)
	r.reconcile(1)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateServing)
	assert.Equal(t, r.record("terreni-0").Pool, "terreni")
	assert.Equal(t, r.record("spare-0").State, fleet.StateReleased)
	assert.Equal(t, r.record("spare-0").Reason, string(explain.ReasonNoPoolMatches))
}

func TestRelabelMovesWithinTheBudget(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1), poolOf("irriguo", 1)}},
		append(servers("terreni", 3), servers("irriguo", 3)...)...)
	r.reconcile(1)
	for _, id := range []fleet.InstanceID{"terreni-0", "terreni-1"} {
		assert.NilError(t, r.operations.Relabel(context.Background(), id, label.Set{"service": "irriguo"}))
	}
	r.reconcile(1)
	assert.Equal(t, r.countInState(fleet.StateDraining), 1)
	assert.Equal(t, r.record("terreni-0").Target, "irriguo")
	assert.Equal(t, r.recorder.lastAbout("terreni-1").Reason, explain.ReasonBudgetSpent)
	r.reconcile(1)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateReleased)
	r.reconcile(1)
	assert.Equal(t, r.record("terreni-0").Pool, "irriguo")
	r.reconcile(4)
	assert.Equal(t, r.record("terreni-1").Pool, "irriguo")
	assert.Equal(t, r.countInState(fleet.StateServing), 6)
}

func TestOperatorDrainReleasesAndUndrainReturns(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 3)...)
	r.reconcile(1)
	assert.NilError(t, r.operations.Drain(context.Background(), "terreni-0", "noisy fan"))
	r.reconcile(3)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateReleased)
	assert.Equal(t, r.record("terreni-0").Reason, string(explain.ReasonOperatorDrain))
	assert.NilError(t, r.operations.Undrain(context.Background(), "terreni-0"))
	r.reconcile(1)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateServing)
	assert.ErrorIs(t, r.operations.Drain(context.Background(), "none", ""), ErrUnknownInstance)
}

func TestSurplusInstanceJoinsAPoolAndLeavesWhenIdlingCostsMoreThanAMove(t *testing.T) {
	pool := poolOf("terreni", 2)
	pool.MoveWeight, pool.BufferWeight = 1, 10
	r := newRig(t, object.Document{Pools: []object.Pool{pool}}, servers("terreni", 4)...)
	options := r.options("palermo")
	options.Demand = fakeDemand{poolZone{"terreni", "palermo"}: 0.9}
	r.controller = New(options)
	r.reconcile(2)
	assert.Equal(t, r.countInState(fleet.StateServing), 4)
	for range 4 { // with these weights a move costs as much as a tenth of a day idle
		r.now = r.now.Add(time.Hour)
		r.reconcile(3)
	}
	assert.Assert(t, r.countInState(fleet.StateReleased) > 0)
	assert.Equal(t, r.record("terreni-3").Reason, string(explain.ReasonSurplus))
	r.reconcile(10)
	released := r.countInState(fleet.StateReleased)
	r.reconcile(10)
	assert.Equal(t, r.countInState(fleet.StateReleased), released, "instances oscillate between pool and spare")
}

func TestNothingIsDecidedWithoutAConfiguration(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 3)...)
	r.reconcile(1)
	r.config = &object.Config{}
	r.reconcile(3)
	assert.Equal(t, r.countInState(fleet.StateServing), 3)
}

package fleetctl

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/platform"
)

func isPage(key string) bool { return strings.HasPrefix(key, fleet.PagePrefix) }

// beforeFirstPageWrite returns a fault that calls interrupt before the first write of
// a page.
func beforeFirstPageWrite(interrupt func() (bool, error)) func(string) (bool, error) {
	done := false
	return func(key string) (bool, error) {
		if done || !isPage(key) {
			return true, nil
		}
		done = true
		return interrupt()
	}
}

func TestPausedHolderDrainsNothingAfterItsTerm(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 3)...)
	r.reconcile(1)
	options := r.options("palermo")
	options.View = fleetview.New()
	next, nextTerm := New(options), &fakeTerm{epoch: 2}
	assert.NilError(t, r.operations.Drain(context.Background(), "terreni-0", "test"))

	r.store.fault = beforeFirstPageWrite(func() (bool, error) {
		r.now = r.now.Add(time.Hour)
		other := Operations{Store: r.store, View: options.View, Now: r.clock}
		assert.NilError(t, other.Undrain(context.Background(), "terreni-0"))
		for range 3 {
			assert.NilError(t, next.Reconcile(context.Background(), nextTerm))
		}
		return true, nil
	})
	err := r.controller.Reconcile(context.Background(), r.term)
	assert.ErrorIs(t, err, ErrSuperseded)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateServing)
	ledger, err := newLedgers(r.store).read(context.Background(), "terreni")
	assert.NilError(t, err)
	assert.Equal(t, ledger.ledger.OutageCount(""), 0)
	assert.ErrorIs(t, r.controller.Reconcile(context.Background(), r.term), ErrSuperseded)
}

func TestLateWriteCannotUseARevokedGrant(t *testing.T) {
	original := object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}
	r := newRig(t, original, servers("terreni", 3)...)
	r.reconcile(1)
	unmatched := poolOf("terreni", 1)
	unmatched.Selector = "service=none"
	r.configure(object.Document{Pools: []object.Pool{unmatched}})
	var key string
	var beforeWrite platform.Entry
	r.store.fault = func(k string) (bool, error) {
		if isPage(k) && key == "" {
			key, beforeWrite = k, r.store.entries[k]
			return false, nil
		}
		return true, nil
	}
	assert.ErrorIs(t, r.controller.Reconcile(context.Background(), r.term), errResponseLost)
	r.store.fault = nil

	r.configure(original)
	r.now = r.now.Add(time.Hour)
	r.reconcile(2)
	ledger, err := newLedgers(r.store).read(context.Background(), "terreni")
	assert.NilError(t, err)
	assert.Equal(t, ledger.ledger.OutageCount(""), 0)
	_, err = r.store.Swap(context.Background(), key, []byte("{}"), beforeWrite.Revision, 0)
	assert.ErrorIs(t, err, platform.ErrConflict)
}

func TestPagesAreReadBackAfterLostResponses(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 3)...)
	r.store.fault = beforeFirstPageWrite(func() (bool, error) { return true, errResponseLost })
	assert.ErrorIs(t, r.controller.Reconcile(context.Background(), r.term), errResponseLost)
	r.reconcile(2)
	assert.Equal(t, r.inState(fleet.StateServing), 3)

	r.store.fault = beforeFirstPageWrite(func() (bool, error) { return true, errResponseLost })
	assert.NilError(t, r.operations.Drain(context.Background(), "terreni-1", "test"))
	assert.Equal(t, r.record("terreni-1").DrainRequested.Reason, "test")
}

func TestStoreOutageDisruptsNothing(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 3)}}, servers("terreni", 3)...)
	r.reconcile(1)
	assert.NilError(t, r.operations.Drain(context.Background(), "terreni-0", "test"))
	r.store.down = true
	assert.ErrorIs(t, r.controller.Reconcile(context.Background(), r.term), errResponseLost)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateServing)
	r.store.down = false
	r.reconcile(1)
	assert.Equal(t, r.record("terreni-0").State, fleet.StateDraining)
}

func TestListMissingMostOfAZoneIsDistrustedForALimitedTime(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 3)}}, servers("terreni", 8)...)
	r.reconcile(1)
	r.platform.instances = r.platform.instances[:2]
	r.reconcile(6)
	assert.Equal(t, r.inState(fleet.StateServing), 8)
	r.now = r.now.Add(suspectListGrace)
	r.reconcile(1)
	assert.Equal(t, r.inState(fleet.StateFailed), 6)
}

func TestMaintenanceWaveKeepsTheBudgetWhileAnInstanceFails(t *testing.T) {
	plan := object.MaintenancePlan{Name: "patch", Period: object.Duration(time.Hour), Duration: object.Duration(20 * time.Second)}
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 2)}, MaintenancePlans: []object.MaintenancePlan{plan}},
		servers("terreni", 8)...)
	r.reconcile(3)
	r.platform.remove("terreni-7")
	maxUnavailable := 0
	for range 100 {
		r.reconcile(1)
		maxUnavailable = max(maxUnavailable, 8-r.inState(fleet.StateServing))
	}
	assert.Assert(t, maxUnavailable <= 2, "%d out", maxUnavailable)
	assert.Assert(t, len(r.platform.reboots) >= 7, "%d reboots", len(r.platform.reboots))
	assert.Equal(t, r.controller.Maintenance()[0].Done, 7)
}

func TestWorkerWithABatchNearItsDeadlineIsNotMaintained(t *testing.T) {
	plan := object.MaintenancePlan{Name: "patch", Period: object.Duration(time.Hour), Duration: object.Duration(20 * time.Second)}
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 2)}, MaintenancePlans: []object.MaintenancePlan{plan}},
		servers("terreni", 3)...)
	options := r.options("palermo")
	options.Work = idleWork{map[fleet.InstanceID]time.Time{"terreni-0": r.now.Add(40 * time.Minute)}}
	r.controller = New(options)
	r.reconcile(60)
	assert.Assert(t, r.record("terreni-0").LastMaintained.IsZero())
	assert.Equal(t, r.recorder.lastAbout("terreni-0").Reason, explain.ReasonBatchDeadline)
	assert.Assert(t, !r.record("terreni-1").LastMaintained.IsZero())
}

func TestInstanceLeavesItsPoolOnlyAfterTheLedgerCountsItUnavailable(t *testing.T) {
	r := newRig(t, object.Document{Pools: []object.Pool{poolOf("terreni", 1)}}, servers("terreni", 3)...)
	r.reconcile(1)
	racing := false
	r.store.fault = func(key string) (bool, error) {
		if strings.HasPrefix(key, fleet.LedgerPrefix) && !racing {
			racing = true
			entry := r.store.entries[key]
			_, err := r.store.Swap(context.Background(), key, entry.Value, entry.Revision, 0)
			assert.NilError(t, err)
			racing = false
		}
		return true, nil
	}
	relabelled := r.platform.instances[0]
	relabelled.Labels = label.Set{"service": "other"}
	r.platform.remove(relabelled.ID)
	r.reconcile(4)
	assert.Equal(t, r.record(relabelled.ID).State, fleet.StateFailed)
	r.platform.instances = append(r.platform.instances, relabelled)
	r.reconcile(2)
	assert.Equal(t, r.record(relabelled.ID).Pool, "terreni")
	r.store.fault = nil
	r.reconcile(2)
	assert.Equal(t, r.record(relabelled.ID).State, fleet.StateReleased)
}

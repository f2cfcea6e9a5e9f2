package fleetctl

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/platform"
)

// maxPassesToConverge bounds the reconciliations per zone after the last fault until
// nothing changes any more, for fleets of the size that the property test draws.
const maxPassesToConverge = 80

// quietPasses is the number of reconciliations without a write after which the fleet
// counts as converged. Together they take longer than the time to live of a grant and
// longer than any delay before the next step of a listed, idle instance.
const quietPasses = 12

const grantTTL = time.Minute

var fleetZones = []fleet.AvailabilityZone{"palermo", "catania"}

// holder is a controller with its own clock and term; a later term may have started.
type holder struct {
	*Controller
	term *fakeTerm
}

// fleetModel is the state machine of the property test: a random fleet with several
// concurrent controllers in each zone.
type fleetModel struct {
	*rig
	all           map[fleet.InstanceID]fleet.Instance
	ids           []fleet.InstanceID
	holders       []holder
	epoch         map[fleet.AvailabilityZone]int64
	demand        fakeDemand
	unhealthy     map[fleet.InstanceID]bool
	reconciling   *Controller
	inNestedCall  bool
	checker       *invariants
	faultsEnabled bool
	lastNumber    int
}

type fakeDemand map[poolZone]float64

func (d fakeDemand) Demand(pool string, zone fleet.AvailabilityZone) (float64, bool) {
	demand, known := d[poolZone{pool, zone}]
	return demand, known
}

// Healthy implements Health: the health of an instance is known only if it is unhealthy.
func (m *fleetModel) Healthy(id fleet.InstanceID) (bool, bool) { return false, m.unhealthy[id] }

func newFleetModel(t *rapid.T, outer testing.TB) *fleetModel {
	m := &fleetModel{
		all: make(map[fleet.InstanceID]fleet.Instance), epoch: make(map[fleet.AvailabilityZone]int64),
		demand: make(fakeDemand), unhealthy: make(map[fleet.InstanceID]bool),
	}
	m.rig = newRig(outer, drawConfig(t))
	m.checker = &invariants{store: m.store, pages: make(map[string]fleet.Page), config: func() *object.Config { return m.config }, fail: t.Fatalf}
	m.store.onWrite = m.checker.checkWrite
	for range rapid.IntRange(4, 14).Draw(t, "instances") {
		m.add(t)
	}
	for _, zone := range fleetZones {
		m.newTerm(t, zone)
	}
	return m
}

func drawConfig(t *rapid.T) object.Document {
	document := object.Document{Pools: []object.Pool{drawPool(t, "a"), drawPool(t, "b")}}
	if rapid.Bool().Draw(t, "maintained") {
		document.MaintenancePlans = []object.MaintenancePlan{{
			Name: "patch", Period: object.Duration(time.Hour), Duration: object.Duration(30 * time.Second),
		}}
	}
	return document
}

func drawPool(t *rapid.T, name string) object.Pool {
	return object.Pool{
		Name: name, Selector: fmt.Sprintf("p in (%s,ab)", name),
		Budget: drawBudget(t, name), ZoneBudget: drawBudget(t, name+" zone"),
		Min: rapid.IntRange(0, 3).Draw(t, "min"), Max: rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "max"),
		MoveWeight: float64(rapid.IntRange(0, 9).Draw(t, "move")), BufferWeight: float64(rapid.IntRange(0, 9).Draw(t, "buffer")),
	}
}

func drawBudget(t *rapid.T, name string) object.Budget {
	value := rapid.SampledFrom([]object.Amount{{Value: 1}, {Value: 2}, {Value: 50, Percent: true}, {Value: 34, Percent: true}}).Draw(t, name)
	switch rapid.IntRange(0, 2).Draw(t, name+" kind") {
	case 0:
		return object.Budget{MaxUnavailable: &value}
	case 1:
		return object.Budget{MinHealthy: &value}
	default:
		return object.Budget{}
	}
}

func (m *fleetModel) add(t *rapid.T) {
	m.lastNumber++
	instance := fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("i%03d", m.lastNumber)), Kind: fleet.KindWorker,
		Zone:   rapid.SampledFrom(fleetZones).Draw(t, "zone"),
		Rack:   rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"),
		Labels: label.Set{"p": rapid.SampledFrom([]string{"a", "b", "ab", "none"}).Draw(t, "label")},
	}
	m.all[instance.ID] = instance
	m.ids = append(m.ids, instance.ID)
	m.platform.instances = append(m.platform.instances, instance)
}

// newTerm starts a controller for a new term of a zone. Controllers of earlier terms
// keep running as if their terms were active.
func (m *fleetModel) newTerm(t *rapid.T, zone fleet.AvailabilityZone) {
	m.epoch[zone]++
	skew := time.Duration(rapid.IntRange(-30, 30).Draw(t, "skew")) * time.Minute
	options := m.options(zone)
	options.View, options.Demand, options.Health = fleetview.New(), m.demand, m
	options.Now = func() time.Time { return m.now.Add(skew) }
	options.GrantTTL = grantTTL
	m.holders = append(m.holders, holder{New(options), &fakeTerm{epoch: m.epoch[zone]}})
}

// reconcileOnce runs one reconciliation of a holder and ignores its error, since its
// writes may fail in any way.
func (m *fleetModel) reconcileOnce(h holder) {
	interrupted := m.reconciling
	m.reconciling = h.Controller
	_ = h.Reconcile(context.Background(), h.term)
	m.reconciling = interrupted
}

// reconcileConcurrently runs another holder in the middle of a reconciliation.
func (m *fleetModel) reconcileConcurrently(t *rapid.T) {
	other := rapid.SampledFrom(m.holders).Draw(t, "concurrent holder")
	if other.Controller == m.reconciling {
		return
	}
	m.inNestedCall = true
	m.reconcileOnce(other)
	m.inNestedCall = false
}

func (m *fleetModel) anyID(t *rapid.T) fleet.InstanceID {
	return rapid.SampledFrom(m.ids).Draw(t, "id")
}

// drawFault returns a fault that loses responses or writes, or runs another holder
// before the write.
func (m *fleetModel) drawFault(t *rapid.T) func(string) (bool, error) {
	return func(string) (bool, error) {
		if !m.faultsEnabled || m.inNestedCall {
			return true, nil
		}
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			return true, errNoResponse
		case 1:
			return false, nil
		case 2, 3:
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Second)
			m.reconcileConcurrently(t)
		}
		return true, nil
	}
}

func (m *fleetModel) actions(t *rapid.T) map[string]func(*rapid.T) {
	reconcileSome := func(t *rapid.T) {
		m.store.fault = m.drawFault(t)
		for range rapid.IntRange(1, 8).Draw(t, "passes") {
			m.reconcileOnce(rapid.SampledFrom(m.holders).Draw(t, "holder"))
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		}
	}
	return map[string]func(*rapid.T){
		// Three keys for one action, so that rapid draws it three times as often.
		"run reconciliations": reconcileSome, "another reconciliation": reconcileSome, "third reconciliation": reconcileSome,
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute)
		},
		"takeOver":  func(t *rapid.T) { m.newTerm(t, rapid.SampledFrom(fleetZones).Draw(t, "zone")) },
		"add":       func(t *rapid.T) { m.add(t) },
		"fail":      func(t *rapid.T) { m.platform.remove(m.anyID(t)) },
		"return":    func(t *rapid.T) { m.restore(m.anyID(t)) },
		"unhealthy": func(t *rapid.T) { id := m.anyID(t); m.unhealthy[id] = !m.unhealthy[id] },
		"leave":     func(t *rapid.T) { m.leave(m.anyID(t)) },
		"relabel":   func(t *rapid.T) { m.operate(t) },
		"repair":    func(t *rapid.T) { m.store.down = false },
		"outage":    func(t *rapid.T) { m.store.down = !m.store.down },
		"demand": func(t *rapid.T) {
			key := poolZone{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"), rapid.SampledFrom(fleetZones).Draw(t, "zone")}
			m.demand[key] = float64(rapid.IntRange(0, 5).Draw(t, "demand"))
		},
		"operate": func(t *rapid.T) { m.operate(t) },
	}
}

func (m *fleetModel) restore(id fleet.InstanceID) {
	m.platform.remove(id)
	m.platform.instances = append(m.platform.instances, m.all[id])
}

func (m *fleetModel) leave(id fleet.InstanceID) {
	m.platform.remove(id)
	instance := m.all[id]
	instance.Leaving = true
	m.platform.instances = append(m.platform.instances, instance)
}

func (m *fleetModel) operate(t *rapid.T) {
	m.inNestedCall = true
	defer func() { m.inNestedCall = false }()
	id, ctx := m.anyID(t), context.Background()
	switch rapid.IntRange(0, 2).Draw(t, "operation") {
	case 0:
		_ = m.operations.Drain(ctx, id, "test")
	case 1:
		_ = m.operations.Undrain(ctx, id)
	default:
		_ = m.operations.Relabel(ctx, id, label.Set{"p": rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "label")})
	}
}

// converge ends all faults, restores all instances, and runs a new controller of each
// zone until nothing is written any more.
func (m *fleetModel) converge(t *rapid.T) {
	m.store.down, m.faultsEnabled, m.store.fault = false, false, nil
	clear(m.unhealthy)
	for _, id := range m.ids {
		m.restore(id)
	}
	document := object.Document{}
	for _, pool := range m.config.Pools {
		document.Pools = append(document.Pools, pool.Spec)
	}
	m.configure(document)
	m.holders = nil
	for _, zone := range fleetZones {
		m.newTerm(t, zone)
	}
	lastWrite := ""
	m.store.onWrite = func(key string, before, after platform.Entry) {
		m.checker.checkWrite(key, before, after)
		lastWrite = fmt.Sprintf("%s changes from %s to %s", key, before.Value, after.Value)
	}
	quietCount, writes := 0, m.store.writes
	for pass := 0; quietCount < quietPasses; pass++ {
		if pass == maxPassesToConverge+quietPasses {
			t.Fatalf("%d reconciliations after the last fault: %s", pass, lastWrite)
		}
		m.reconcileLatest(1)
		quietCount++
		if m.store.writes != writes {
			quietCount, writes = 0, m.store.writes
		}
	}
}

func (m *fleetModel) reconcileLatest(passes int) {
	for range passes {
		for _, h := range m.holders {
			if _, err := h.View.Load(context.Background(), m.store); err != nil {
				panic(err)
			}
			m.reconcileOnce(h)
		}
		m.now = m.now.Add(reconcileStep)
	}
}

func TestRacingControllersNeverBreakABudget(t *testing.T) {
	drains := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newFleetModel(rt, t)
		m.faultsEnabled = true
		rt.Repeat(m.actions(rt))
		m.converge(rt)
		drains += m.checker.drains
	})
	if drains == 0 {
		t.Fatal("no instance was drained, so the budgets were not tested")
	}
	t.Logf("%d voluntary drains", drains)
}

package budget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

var now = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

func drawBudget(t *rapid.T, name string) object.Budget {
	amount := object.Amount{Value: rapid.IntRange(0, 12).Draw(t, name), Percent: rapid.Bool().Draw(t, name+" percent")}
	if amount.Percent {
		amount.Value *= 8
	}
	switch rapid.IntRange(0, 2).Draw(t, name+" kind") {
	case 0:
		return object.Budget{MaxUnavailable: &amount}
	case 1:
		return object.Budget{MinHealthy: &amount}
	default:
		return object.Budget{}
	}
}

// naiveAllows applies the definition of the budget directly, in exact arithmetic.
func naiveAllows(budget object.Budget, expected, outAfter int) bool {
	hundredths := func(a object.Amount) int { // in hundredths of an instance
		if a.Percent {
			return a.Value * expected
		}
		return a.Value * 100
	}
	switch {
	case budget.MaxUnavailable != nil:
		return 100*outAfter <= hundredths(*budget.MaxUnavailable)
	case budget.MinHealthy != nil:
		return 100*(expected-outAfter) >= hundredths(*budget.MinHealthy)
	default:
		return outAfter <= expected
	}
}

func TestGrantAgreesWithANaiveBudget(t *testing.T) {
	granted := 0
	rapid.Check(t, func(rt *rapid.T) {
		pool := object.Pool{Budget: drawBudget(rt, "pool"), ZoneBudget: drawBudget(rt, "zone"), Min: rapid.IntRange(0, 6).Draw(rt, "min")}
		var ledger fleet.Ledger
		members, out := map[fleet.AvailabilityZone]int{}, map[fleet.AvailabilityZone]int{}
		for _, zone := range []fleet.AvailabilityZone{"x", "y"} {
			members[zone] = rapid.IntRange(1, 9).Draw(rt, "members")
			out[zone] = rapid.IntRange(0, members[zone]-1).Draw(rt, "out")
			ledger = ledger.WithMembers(fleet.ZoneMembers{Zone: zone, Members: members[zone]})
			for i := range out[zone] {
				ledger = ledger.With(fleet.Outage{ID: fleet.InstanceID(fmt.Sprint(zone, i)), Zone: zone})
			}
		}
		total := members["x"] + members["y"]
		expected := max(total, pool.Min)
		outAfter := out["x"] + out["y"] + expected - total + 1
		want := naiveAllows(pool.Budget, expected, outAfter) && naiveAllows(pool.ZoneBudget, members["x"], out["x"]+1)
		if pool.Budget == (object.Budget{}) {
			want = naiveAllows(pool.ZoneBudget, members["x"], out["x"]+1) && outAfter <= max(expected/10, 1)
		}
		d := Grant(pool, ledger, Request{ID: "new", Zone: "x"})
		if d.Granted != want {
			rt.Fatalf("granted %v, the naive budget allows %v: %+v %+v", d.Granted, want, d.Pool, d.Zone)
		}
		if !d.Granted && d.Reason == explain.ReasonGranted {
			rt.Fatalf("refused without a reason")
		}
		if d.Granted {
			granted++
		}
	})
	assert.Assert(t, granted > 0)
}

func TestFailedInstanceIsGrantedAtNoCost(t *testing.T) {
	one := object.Amount{Value: 1}
	pool := object.Pool{Budget: object.Budget{MaxUnavailable: &one}}
	ledger := fleet.Ledger{}.WithMembers(fleet.ZoneMembers{Zone: "x", Members: 4}).With(fleet.Outage{ID: "failed", Zone: "x"})
	assert.Equal(t, Grant(pool, ledger, Request{ID: "other", Zone: "x"}).Reason, explain.ReasonBudgetSpent)
	assert.Equal(t, Grant(pool, ledger, Request{ID: "failed", Zone: "x"}).Granted, true)
}

func TestBudgetThatAllowsNothingHasItsOwnReason(t *testing.T) {
	all := object.Amount{Value: 100, Percent: true}
	pool := object.Pool{Budget: object.Budget{MinHealthy: &all}}
	ledger := fleet.Ledger{}.WithMembers(fleet.ZoneMembers{Zone: "x", Members: 4})
	assert.Equal(t, Grant(pool, ledger, Request{ID: "a", Zone: "x"}).Reason, explain.ReasonNoDisruptionAllowed)
}

func TestReconcile(t *testing.T) {
	holder := Holder{Zone: "x", Epoch: 5, Now: now}
	grant := fleet.Outage{ID: "a", Zone: "x", Voluntary: true, Epoch: 5, RecordEpoch: 7, Expires: now.Add(time.Minute)}
	with := func(change func(*fleet.Outage)) fleet.Outage {
		outage := grant
		change(&outage)
		return outage
	}
	serving := func(epoch int64) []Member { return []Member{{"a", "p", fleet.StateServing, epoch}} }
	for _, tc := range []struct {
		name           string
		entry          fleet.Outage
		records        []Member
		out            int
		stale, unknown int
	}{
		{"a pending grant stays", grant, serving(7), 1, 0, 0},
		{"an expired grant is stale", with(func(o *fleet.Outage) { o.Expires = now }), serving(7), 1, 1, 0},
		{"another holder's grant is stale", with(func(o *fleet.Outage) { o.Epoch = 4 }), serving(7), 1, 1, 0},
		{"a used grant is removed", grant, serving(9), 0, 0, 0},
		{"an older record removes no entry", grant, serving(6), 1, 0, 0},
		{"a released instance is removed", grant, []Member{{"a", "", fleet.StateReleased, 9}}, 0, 0, 0},
		{"an instance without a record is reported as unknown", grant, nil, 1, 0, 1},
		{"a failure is counted", fleet.Outage{ID: "z", Zone: "y"}, []Member{{"a", "p", fleet.StateFailed, 8}}, 2, 0, 0},
		{"another zone's entry stays", with(func(o *fleet.Outage) { o.Zone = "y"; o.Epoch = 1 }), nil, 1, 0, 0},
	} {
		got := Reconcile("p", fleet.Ledger{}.With(tc.entry), tc.records, holder)
		assert.Equal(t, got.Ledger.OutageCount(""), tc.out, tc.name)
		assert.Equal(t, len(got.Stale), tc.stale, tc.name)
		assert.Equal(t, len(got.Unknown), tc.unknown, tc.name)
	}
	later := fleet.Ledger{}.WithMembers(fleet.ZoneMembers{Zone: "x", Members: 1, Epoch: 6})
	assert.Equal(t, Reconcile("p", later, serving(7), holder).Superseded, true)
}

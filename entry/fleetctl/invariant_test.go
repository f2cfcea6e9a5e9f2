package fleetctl

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/budget"
)

// invariants checks every write that took effect in a store.
type invariants struct {
	store  *fakeStore
	config func() *object.Config
	fail   func(format string, args ...any)
	drains int                   // voluntary ones
	pages  map[string]fleet.Page // as last written
}

// checkWrite is called with the store's lock held.
func (v *invariants) checkWrite(key string, before, after platform.Entry) {
	if pool, isLedger := strings.CutPrefix(key, fleet.LedgerPrefix); isLedger {
		v.checkLedger(pool, parseLedger(before.Value), parseLedger(after.Value))
		return
	}
	old, next := v.pages[key], parsePage(after.Value)
	v.pages[key] = next
	if next.Epoch < old.Epoch {
		v.fail("%s: epoch fell from %d to %d", key, old.Epoch, next.Epoch)
	}
	for _, record := range next.Records {
		if previous, existed := old.Find(record.ID); existed {
			v.checkStep(previous, record)
		}
		v.checkRecord(record)
	}
	v.checkUnique()
}

func parseLedger(value []byte) (ledger fleet.Ledger) {
	if value != nil {
		must(json.Unmarshal(value, &ledger))
	}
	return ledger
}

func parsePage(value []byte) (page fleet.Page) {
	if value != nil {
		must(json.Unmarshal(value, &page))
	}
	return page
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (v *invariants) checkRecord(r fleet.Record) {
	if (r.Pool == "") != (r.State == fleet.StateReleased) {
		v.fail("%s is %s in pool %q", r.ID, r.State, r.Pool)
	}
	if r.State == fleet.StateReleased && r.Reason == "" {
		v.fail("%s is released without a reason", r.ID)
	}
}

// checkStep checks one change of a record.
func (v *invariants) checkStep(old, next fleet.Record) {
	if next.Epoch < old.Epoch {
		v.fail("%s: epoch fell from %d to %d", old.ID, old.Epoch, next.Epoch)
	}
	throughReleased := old.State == fleet.StateReleased || next.State == fleet.StateReleased
	if old.Pool != next.Pool && !throughReleased {
		v.fail("%s moved from pool %q to %q without a release", old.ID, old.Pool, next.Pool)
	}
	if old.State != fleet.StateServing || next.State == fleet.StateServing || next.State == fleet.StateFailed {
		return
	}
	if next.State != fleet.StateDraining {
		v.fail("%s went from serving to %s", old.ID, next.State)
	}
	if next.Reason == string(explain.ReasonLeaving) {
		return
	}
	v.drains++
	grant, held := parseLedger(v.store.entries[fleet.LedgerKey(old.Pool)].Value).Outage(old.ID)
	if !held || !grant.Voluntary || grant.RecordEpoch != old.Epoch {
		v.fail("%s was drained for %s without a grant: %+v", old.ID, next.Reason, grant)
	}
}

// checkLedger checks new grants against the budget, counted by the ledger and by the
// fleet record.
func (v *invariants) checkLedger(pool string, old, next fleet.Ledger) {
	for _, outage := range next.Outages {
		if _, counted := old.Outage(outage.ID); counted || !outage.Voluntary {
			continue
		}
		spec := object.Pool{Name: pool}
		if configured, found := v.config().Pools[pool]; found {
			spec = configured.Spec
		}
		poolStatus, zoneStatus := budget.PoolStatus(spec, next), budget.ZoneStatus(spec, next, outage.Zone)
		if poolStatus.Unavailable > poolStatus.Limit || zoneStatus.Unavailable > zoneStatus.Limit {
			v.fail("grant of %s exceeds the budget: pool %+v, zone %+v", outage.ID, poolStatus, zoneStatus)
		}
		poolStatus = budget.PoolStatus(spec, v.actualLedger(pool, next))
		if poolStatus.Unavailable > poolStatus.Limit {
			v.fail("grant of %s exceeds the budget counted by the fleet record: %+v, %+v", outage.ID, poolStatus, next)
		}
	}
}

// actualLedger returns the ledger computed from the fleet record, with the grants of
// next. A failure that next does not count is left out: the controller had not observed
// it when it wrote next.
func (v *invariants) actualLedger(pool string, next fleet.Ledger) fleet.Ledger {
	var actual fleet.Ledger
	for key, page := range v.pages {
		zone := fleet.AvailabilityZone(strings.Split(key, "/")[1])
		for _, r := range page.Records {
			if r.Pool != pool {
				continue
			}
			actual = actual.WithMembers(fleet.ZoneMembers{Zone: zone, Members: actual.MemberCount(zone) + 1})
			outage, counted := next.Outage(r.ID)
			voluntary := r.State == fleet.StateDraining || r.State == fleet.StateMaintenance
			unavailable := r.State != fleet.StateServing && (counted || voluntary && r.Reason != string(explain.ReasonLeaving))
			if unavailable || counted && outage.Voluntary {
				actual = actual.With(fleet.Outage{ID: r.ID, Zone: zone})
			}
		}
	}
	return actual
}

// checkUnique checks that no instance is recorded in two pages.
func (v *invariants) checkUnique() {
	seen := make(map[fleet.InstanceID]string)
	for key, page := range v.pages {
		for _, r := range page.Records {
			if other, duplicate := seen[r.ID]; duplicate {
				v.fail("%s", fmt.Sprintf("%s is recorded in %s and %s", r.ID, key, other))
			}
			seen[r.ID] = key
		}
	}
}

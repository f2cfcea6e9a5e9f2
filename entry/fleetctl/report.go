package fleetctl

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/policy/budget"
)

// PoolReport is the status of a pool according to the fleet record.
type PoolReport struct {
	Name        string          `json:"name"`
	Size        int             `json:"size"`
	Serving     int             `json:"serving"`
	Draining    int             `json:"draining"`
	Maintenance int             `json:"maintenance"`
	Failed      int             `json:"failed"`
	Budget      budget.Status   `json:"budget"`
	Zones       []budget.Status `json:"zones"`
}

// ReportPools returns the status of each pool, ordered by name. It reads only the
// fleet record and so works while the store is unavailable; unused grants are not
// counted.
func ReportPools(snapshot *fleetview.Snapshot, config *object.Config) []PoolReport {
	reports := make(map[string]*PoolReport)
	ledgers := make(map[string]fleet.Ledger)
	for name := range config.Pools {
		reports[name] = &PoolReport{Name: name}
	}
	for _, located := range snapshot.Records("") {
		if located.Pool == "" {
			continue
		}
		if reports[located.Pool] == nil {
			reports[located.Pool] = &PoolReport{Name: located.Pool}
		}
		reports[located.Pool].add(located.State)
		ledgers[located.Pool] = countMember(ledgers[located.Pool], located)
	}
	var out []PoolReport
	for name, report := range reports {
		pool, ledger := config.Pools[name].Spec, ledgers[name]
		report.Budget = budget.PoolStatus(pool, ledger)
		for _, zone := range ledger.Zones {
			report.Zones = append(report.Zones, budget.ZoneStatus(pool, ledger, zone.Zone))
		}
		out = append(out, *report)
	}
	slices.SortFunc(out, func(a, b PoolReport) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (p *PoolReport) add(state fleet.State) {
	p.Size++
	switch state {
	case fleet.StateServing:
		p.Serving++
	case fleet.StateDraining:
		p.Draining++
	case fleet.StateMaintenance:
		p.Maintenance++
	case fleet.StateFailed:
		p.Failed++
	}
}

// countMember adds an instance to a ledger that is computed from the fleet record.
func countMember(ledger fleet.Ledger, located fleetview.LocatedRecord) fleet.Ledger {
	next := ledger.WithMembers(fleet.ZoneMembers{
		Zone: located.Zone, Members: ledger.MemberCount(located.Zone) + 1,
	})
	if located.State != fleet.StateServing {
		next = next.With(fleet.Outage{ID: located.ID, Zone: located.Zone})
	}
	return next
}

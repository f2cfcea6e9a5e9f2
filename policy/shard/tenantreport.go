package shard

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// TenantReport describes one configured tenant with jobs in this term.
type TenantReport struct {
	Tenant cluster.TenantName
	Weight float64
	// WithinRate and BeyondRate count the jobs since the last report.
	WithinRate, BeyondRate int64
	Share                  float64 // dominant share of the confirmed executors that its runs use
}

// tenantReports reports on the configured tenants, by name.
func (s *Shard) tenantReports() []TenantReport {
	capacity, _ := s.confirmedCapacity()
	var list []TenantReport
	for _, t := range s.shareList {
		if !t.configured {
			continue
		}
		list = append(list, TenantReport{t.name, t.weight, t.withinRate, t.beyondRate, dominantShare(t.used, capacity)})
		t.withinRate, t.beyondRate = 0, 0
	}
	slices.SortFunc(list, func(x, y TenantReport) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return list
}

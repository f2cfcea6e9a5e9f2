package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// tenantMetric returns the value of a gauge or counter of a tenant, by its name and the tag of its rate,
// or -1 if there is none.
func tenantMetric(scope tally.TestScope, tenant, name, rate string) float64 {
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name && g.Tags()["tenant"] == tenant {
			return g.Value()
		}
	}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["tenant"] == tenant && c.Tags()["rate"] == rate {
			return float64(c.Value())
		}
	}
	return -1
}

// The report counts the jobs of each tenant within and beyond its rate, once each. Its gauges end with the
// tenant, and with the field tenants of the configuration ends the excess.
func TestReportByTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, scope := reportingOwner()
		config := &cluster.Config{Version: 1, Tenancy: true}
		config.AddTenant(cluster.Tenant{Name: "a", Weight: 2}, nil)
		o.Config = func() *cluster.Config { return config }
		o.applyConfig()
		add := func(ids ...job.ID) {
			o.shard.NoteContact(time.Now(), time.Now())
			for _, id := range ids {
				record := shard.Record{ID: id, Tenant: "a", Accepted: time.Now(), Definition: job.Definition{Steps: []job.Step{{Count: 1}}}}
				o.shard.AddJob(record, nil, time.Now())
			}
			time.Sleep(reportInterval)
			o.report(time.Now())
		}
		add("aa", "ab", "ac")
		assert.Equal(t, tenantMetric(scope, "a", "tenant_jobs", "within"), 2.0)
		assert.Equal(t, tenantMetric(scope, "a", "tenant_jobs", "beyond"), 1.0)
		assert.Equal(t, tenantMetric(scope, "a", "tenant_weight", ""), 2.0)
		assert.Equal(t, tenantMetric(scope, "a", "tenant_share", ""), 0.0)
		add()
		assert.Equal(t, tenantMetric(scope, "a", "tenant_jobs", "within"), 2.0)

		config = &cluster.Config{Version: 2}
		o.applyConfig()
		add("ba", "bb", "bc", "bd")
		assert.Equal(t, tenantMetric(scope, "a", "tenant_weight", ""), 0.0)
		assert.Equal(t, o.shard.Waiting(time.Now(), false).ByReason[shard.ReasonBeyondRate].Jobs, 0)
	})
}

package maintenance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// BenchmarkFleetMaintenance prints how long a round takes, the longest time between
// two maintenances of one instance, and how often a start broke a budget.
func BenchmarkFleetMaintenance(b *testing.B) {
	policies := []struct {
		name   string
		decide func(*simulation, map[string]int) []fleet.InstanceID
	}{{"waves", decideWaves}, {"one-at-a-time", oneAtATime}}
	for _, shape := range []fleetShape{agrisportello, magnolia, target} {
		for _, policy := range policies {
			b.Run(shape.name+"/"+policy.name, func(b *testing.B) {
				r := newSimulation(shape)
				r.play(policy.decide)
				round := -1.0 // not finished
				if !r.firstRound.IsZero() {
					round = r.firstRound.Sub(now).Hours() / 24
				}
				b.ReportMetric(round, "days/first-round")
				b.ReportMetric(r.longestGap.Hours()/24, "days/longest-gap")
				b.ReportMetric(float64(r.breaches), "breaches")
				b.ReportMetric(float64(r.starts), "starts")
				b.ReportMetric(float64(r.outages), "failures")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestEveryInstanceIsMaintainedOncePerPeriod plays both deployments and a part of
// the target with daily failures and lost racks and zones.
func TestEveryInstanceIsMaintainedOncePerPeriod(t *testing.T) {
	part := target
	part.instances, part.zones, part.pools = part.instances/32, 4, part.pools/4
	for _, shape := range []fleetShape{agrisportello, magnolia, part} {
		r := newSimulation(shape)
		r.play(decideWaves)
		assert.Assert(t, r.longestGap <= time.Duration(plan.Period), "%s: %v between two maintenances", shape.name, r.longestGap)
		assert.Equal(t, r.breaches, 0, shape.name)
	}
}

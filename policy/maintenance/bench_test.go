package maintenance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// BenchmarkFleetMaintenance reports how long it takes until each instance was maintained
// once, the longest time between two maintenances of one instance, and how many starts
// exceeded a budget.
func BenchmarkFleetMaintenance(b *testing.B) {
	policies := []struct {
		name   string
		decide func(*simulation, map[string]int) []fleet.InstanceID
	}{{"waves", decideWaves}, {"one-at-a-time", oneAtATime}}
	for _, shape := range []fleetShape{agrisportello, magnolia, target} {
		for _, policy := range policies {
			b.Run(shape.name+"/"+policy.name, func(b *testing.B) {
				s := newSimulation(shape)
				s.play(policy.decide)
				round := -1.0 // not finished
				if !s.allMaintainedAt.IsZero() {
					round = s.allMaintainedAt.Sub(now).Hours() / 24
				}
				b.ReportMetric(round, "days/first-round")
				b.ReportMetric(s.longestGap.Hours()/24, "days/longest-gap")
				b.ReportMetric(float64(s.breaches), "breaches")
				b.ReportMetric(float64(s.starts), "starts")
				b.ReportMetric(float64(s.outages), "failures")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestEveryInstanceIsMaintainedOncePerPeriod simulates both deployments and a part of
// the target scale, with daily failures and losses of racks and of a zone.
func TestEveryInstanceIsMaintainedOncePerPeriod(t *testing.T) {
	part := target
	part.instances, part.zones, part.pools = part.instances/32, 4, part.pools/4
	for _, shape := range []fleetShape{agrisportello, magnolia, part} {
		s := newSimulation(shape)
		s.play(decideWaves)
		assert.Assert(t, s.longestGap <= time.Duration(plan.Period), "%s: up to %v between two maintenances", shape.name, s.longestGap)
		assert.Equal(t, s.breaches, 0, shape.name)
	}
}

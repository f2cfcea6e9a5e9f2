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

// TestEveryInstanceIsMaintainedOncePerPeriod simulates both deployments and a part of
// the target scale, with daily failures and losses of racks and of a zone.
func TestEveryInstanceIsMaintainedOncePerPeriod(t *testing.T) {
	part := target
	part.instances, part.zones, part.pools = part.instances/32, 4, part.pools/4
	for _, shape := range []fleetShape{agrisportello, magnolia, part} {
		r := newSimulation(shape)
		r.play(decideWaves)
		assert.Assert(t, r.longestGap <= time.Duration(plan.Period), "%s: up to %v between two maintenances", shape.name, r.longestGap)
		assert.Equal(t, r.breaches, 0, shape.name)
	}
}

package gateway

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/health"
)

// ExecutorHealth says whether an executor takes its share of the requests here.
type ExecutorHealth struct {
	ID      fleet.InstanceID
	Healthy bool
}

// Executors returns the health of every executor; one that serves several services
// appears once for each.
func (g *Gateway) Executors() []ExecutorHealth {
	var out []ExecutorHealth
	for _, entry := range g.table.Load().services {
		for _, e := range entry.live.Executors() {
			out = append(out, ExecutorHealth{ID: e.ID, Healthy: e.State() == health.Healthy})
		}
	}
	return out
}

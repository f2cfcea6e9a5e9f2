package gateway

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/health"
)

// ExecutorHealth is the health of an executor as seen by this entry instance. A healthy
// executor gets its share of the requests.
type ExecutorHealth struct {
	ID      fleet.InstanceID
	Healthy bool
}

// Executors returns the health of every executor in routing. An executor of several
// services appears once for each of them.
func (g *Gateway) Executors() []ExecutorHealth {
	var out []ExecutorHealth
	for _, entry := range g.table.Load().services {
		for _, e := range entry.live.Executors() {
			out = append(out, ExecutorHealth{ID: e.ID, Healthy: e.State() == health.Healthy})
		}
	}
	return out
}

package fleetplan

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// demand is what is known of a service's load over time.
type demand struct{}

// planMoves begins moves between pools.
func (p *Planner) planMoves(*view) []Action { return nil }

var _ = time.Second
var _ cluster.Service

package gateway

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/dispatch"
)

// decayInterval is the time after which the weight of older outcomes is halved.
const decayInterval = 10 * time.Second

// maintain ticks every service and the prober until ctx ends.
func (g *Gateway) maintain(ctx context.Context) error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	lastDecay := time.Now()
	probes := newProber(g)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			decay := now.Sub(lastDecay) >= decayInterval
			if decay {
				lastDecay = now
			}
			g.tick(now, decay)
			probes.tick(ctx, now)
		}
	}
}

func (g *Gateway) tick(now time.Time, decay bool) {
	for _, entry := range g.table.Load().services {
		entry.live.Tick(now)
		g.metrics.recordQueue(entry.live)
		if decay {
			entry.live.DecayWindows()
		}
	}
}

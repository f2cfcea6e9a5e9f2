package gateway

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/dispatch"
)

// windowInterval is the time after which old outcomes count half.
const windowInterval = 10 * time.Second

// maintain ticks every service until ctx ends.
func (g *Gateway) maintain(ctx context.Context) error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	windowStart := time.Now()
	probes := newProber(g)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			halve := now.Sub(windowStart) >= windowInterval
			if halve {
				windowStart = now
			}
			g.tick(now, halve)
			probes.tick(ctx, now)
		}
	}
}

func (g *Gateway) tick(now time.Time, halve bool) {
	for _, entry := range g.table.Load().services {
		entry.live.Tick(now)
		g.metrics.queue(entry.live)
		if halve {
			entry.live.DecayWindows()
		}
	}
}

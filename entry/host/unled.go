package host

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
)

const (
	// unledInterval is the time between two checks whether a duty is carried out.
	unledInterval = 1 * time.Second
	// unledAfter is how long nobody carries out a duty that is logged: longer than an election takes.
	unledAfter = 5 * time.Second
	// unledLogInterval is the time between two log lines about a duty that nobody carries out.
	unledLogInterval = 10 * time.Second
)

// watchDuty measures and logs that no instance carries out a duty for which this one campaigns, until ctx ends.
func (h *Host) watchDuty(ctx context.Context, duty layout.Duty) {
	scope := h.metrics.Scope.Tagged(map[string]string{"duty": duty.String(), "kind": string(duty.Kind)})
	ticker := time.NewTicker(unledInterval)
	defer ticker.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		unled, found := h.election.Unled(duty)
		age := time.Duration(0)
		if found {
			age = time.Since(unled.Since)
		}
		scope.Gauge("duty_unled_seconds").Update(age.Seconds())
		if age < unledAfter || time.Since(loggedAt) < unledLogInterval {
			continue
		}
		loggedAt = time.Now()
		h.logger.Warn("no instance carries out a duty", "duty", duty.String(), "kind", string(duty.Kind),
			"unled_ms", age.Milliseconds(), "held_for", string(unled.HeldFor), "holder", string(unled.Holder))
	}
}

package host

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
)

const (
	// leaderlessInterval is the time between two checks whether a duty is carried out.
	leaderlessInterval = 1 * time.Second
	// leaderlessAfter is how long nobody carries out a duty that is logged: longer than an election takes.
	leaderlessAfter = 5 * time.Second
	// leaderlessLogInterval is the time between two log lines about a duty that nobody carries out.
	leaderlessLogInterval = 10 * time.Second
)

// watchDuty measures and logs that no instance carries out a duty for which this one campaigns, until ctx ends.
func (h *Host) watchDuty(ctx context.Context, duty layout.Duty) {
	gauge := h.metrics.Scope.Tagged(map[string]string{"duty": duty.String(), "kind": string(duty.Kind)}).Gauge("duty_leaderless_seconds")
	ticker := time.NewTicker(leaderlessInterval)
	defer ticker.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		leaderless, found := h.election.Leaderless(duty)
		age := time.Duration(0)
		if found {
			age = time.Since(leaderless.Since)
		}
		gauge.Update(age.Seconds())
		if age < leaderlessAfter || time.Since(loggedAt) < leaderlessLogInterval {
			continue
		}
		loggedAt = time.Now()
		h.logger.Warn("no instance carries out a duty", "duty", duty.String(), "kind", string(duty.Kind),
			"leaderless_ms", age.Milliseconds(), "held_for", string(leaderless.HeldFor), "holder", string(leaderless.Holder))
	}
}

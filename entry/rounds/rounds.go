// Package rounds runs the reconcile loop of a controller while it holds a duty.
package rounds

import (
	"context"
	"time"
)

// Term is one term of a duty.
type Term interface {
	// Epoch grows with each term of the duty; workers refuse epochs lower than the highest
	// they have seen.
	Epoch() int64
	// Active reports whether the holder may still act by its own clock.
	Active() bool
}

// Loop is a reconcile loop. All fields must be set.
type Loop struct {
	// Interval is the time between the starts of two reconciliations.
	Interval time.Duration
	// Reconcile makes the decisions of one reconciliation and applies them.
	Reconcile func(ctx context.Context, term Term) error
	// Changed is called with the error when reconciliations start to fail, and with nil when
	// they succeed again.
	Changed func(err error)
}

// Run reconciles while the term is active. It returns nil after the term, or the context's
// error if ctx ends first.
func (l Loop) Run(ctx context.Context, term Term) error {
	ticker := time.NewTicker(l.Interval)
	defer ticker.Stop()
	failing := false
	for term.Active() {
		err := l.Reconcile(ctx, term)
		if (err != nil) != failing {
			failing = err != nil
			l.Changed(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

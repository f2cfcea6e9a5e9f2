package duty

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// serve runs act for one term and renews its lease meanwhile.
func (l *Lessee) serve(ctx context.Context, held lease, act func(context.Context, Term)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.setHeld(held.term)
	l.logger.Info("duty held", "duty", held.term.Name, "epoch", held.term.Epoch)
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		act(ctx, held.term)
	}()
	l.renewUntil(ctx, held, acted)
	held.term.window.end()
	cancel()
	<-acted
	l.dropHeld(held.term.Name)
	l.revoke(ctx, held.id)
	l.logger.Info("duty given up", "duty", held.term.Name, "epoch", held.term.Epoch)
}

// renewUntil renews the lease until act has returned (acted is closed), ctx ends, the lease
// is lost or the window is over.
func (l *Lessee) renewUntil(ctx context.Context, held lease, acted <-chan struct{}) {
	random := backoff.NewRandom()
	failures := 0
	for {
		wait := renewInterval
		if failures > 0 {
			wait = backoff.Default.Delay(failures, random)
		}
		if !l.waitToRenew(ctx, held, acted, wait) {
			return
		}
		err := l.renew(ctx, held)
		if errors.Is(err, platform.ErrLeaseLost) {
			return
		}
		failures++
		if err == nil {
			failures = 0
		}
	}
}

// waitToRenew waits until the next renewal is due; it reports false if the term is over.
func (l *Lessee) waitToRenew(ctx context.Context, held lease, acted <-chan struct{}, wait time.Duration) bool {
	wait = min(wait, held.term.window.remaining(time.Now()))
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-acted:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return held.term.Valid(time.Now())
	}
}

// renew renews the lease and restarts the window at the time when the renewal was sent. A
// term that is over stays over, even if its lease could still be renewed.
func (l *Lessee) renew(ctx context.Context, held lease) error {
	began := time.Now()
	limit := min(callTimeout, held.term.window.remaining(began))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := l.store.KeepAlive(ctx, held.id); err != nil {
		return err
	}
	if held.term.Valid(time.Now()) {
		held.term.window.renew(began)
	}
	return nil
}

package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
)

// loopGroup runs loops until they are stopped, and reports a loop that ends earlier.
type loopGroup struct {
	logger    *slog.Logger
	onFailure func()
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

func newLoopGroup(logger *slog.Logger, onFailure func()) *loopGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &loopGroup{logger: logger, onFailure: onFailure, ctx: ctx, cancel: cancel}
}

// start runs a loop in a goroutine. The loop should return only when its context
// ends; an earlier return is logged and calls onFailure, unless its error is
// context.Canceled.
func (t *loopGroup) start(name string, run func(context.Context) error) {
	t.running.Go(func() {
		err := run(t.ctx)
		if t.ctx.Err() != nil || errors.Is(err, context.Canceled) {
			return
		}
		t.logger.Error("a background loop ended unexpectedly", "task", name, "error", err)
		t.onFailure()
	})
}

// stop cancels the loops and waits until they have returned or ctx has ended.
func (t *loopGroup) stop(ctx context.Context) error {
	t.cancel()
	done := make(chan struct{})
	go func() {
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

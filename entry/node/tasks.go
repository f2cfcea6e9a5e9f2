package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
)

// tasks runs loops until they are stopped, and reports one that ends by itself.
type tasks struct {
	logger    *slog.Logger
	onFailure func()
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

func newTasks(logger *slog.Logger, onFailure func()) *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{logger: logger, onFailure: onFailure, ctx: ctx, cancel: cancel}
}

// start runs a loop that ends with its context.
func (t *tasks) start(name string, run func(context.Context) error) {
	t.running.Go(func() {
		err := run(t.ctx)
		if t.ctx.Err() != nil || errors.Is(err, context.Canceled) {
			return
		}
		t.logger.Error("a task ended by itself", "task", name, "error", err)
		t.onFailure()
	})
}

// stop ends the loops and waits for them until ctx ends.
func (t *tasks) stop(ctx context.Context) error {
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

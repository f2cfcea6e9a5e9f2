package config

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// Timing of the reads from the store.
const (
	// watchTimeout ends each watch, so that one that no longer delivers events is noticed.
	watchTimeout = 3 * time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 5 * time.Second
	// pollInterval is the mean time between two reads by a follower that does not watch.
	pollInterval = 30 * time.Second
	// minReadInterval is the minimum time between a read of the log that starts a watch
	// and the next read, in case the watch ends at once.
	minReadInterval = 500 * time.Millisecond
	// roleCheckInterval is how often a follower that does not watch checks whether it should.
	roleCheckInterval = time.Second
)

// Run follows the store until ctx ends. It retries with backoff while the store is
// unavailable; meanwhile newer revisions may arrive from peers.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := f.readAndWatch(ctx); err == nil {
			failures = 0
			continue
		}
		failures++
		_ = backoff.Sleep(ctx, f.retryPolicy().Delay(failures, f.options.Random))
	}
	return ctx.Err()
}

// retryPolicy raises the longest delay to pollInterval for a follower that has a
// configuration and does not watch, so that it retries as rarely as it polls.
func (f *Follower) retryPolicy() backoff.Policy {
	if f.isWatcher() || f.Ready() != nil {
		return backoff.Default
	}
	return backoff.Policy{Base: backoff.Default.Base, Cap: pollInterval}
}

// readAndWatch reads the log, and then watches it or waits for the next poll.
func (f *Follower) readAndWatch(ctx context.Context) error {
	storeRevision, err := f.refreshWithTimeout(ctx, readTimeout)
	if err != nil {
		return err
	}
	if !f.isWatcher() {
		f.waitForPoll(ctx)
		return nil
	}
	start := time.Now()
	err = f.watch(ctx, storeRevision)
	_ = backoff.Sleep(ctx, minReadInterval-time.Since(start))
	return err
}

func (f *Follower) refreshWithTimeout(ctx context.Context, timeout time.Duration) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.refresh(ctx)
}

// waitForPoll returns when the next poll is due or this instance has to watch.
func (f *Follower) waitForPoll(ctx context.Context) {
	minDelay := pollInterval / 2
	due := time.Now().Add(minDelay + time.Duration(f.options.Random.Int64N(int64(pollInterval))))
	for time.Now().Before(due) && ctx.Err() == nil && !f.isWatcher() {
		_ = backoff.Sleep(ctx, roleCheckInterval)
	}
}

// watch applies events until one is missing, a response has no events, or the watch
// times out or fails. It returns an error only for a failure; otherwise the log is
// read next.
func (f *Follower) watch(ctx context.Context, storeRevision platform.Revision) error {
	for {
		events, err := f.watchOnce(ctx, storeRevision)
		switch {
		case errors.Is(err, platform.ErrCompacted), errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			return nil
		case err != nil:
			if ctx.Err() == nil {
				f.recordStoreRead(err)
			}
			return err
		}
		f.recordStoreRead(nil)
		if len(events.Events) == 0 || events.Revision <= storeRevision || !f.applyEvents(events) {
			return nil
		}
		storeRevision = events.Revision
	}
}

func (f *Follower) watchOnce(ctx context.Context, storeRevision platform.Revision) (platform.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	f.counter.watches.Add(1)
	return f.store.Watch(ctx, logPrefix, storeRevision)
}

// applyEvents reports false if the log must be read again.
func (f *Follower) applyEvents(events platform.Events) bool {
	for _, event := range events.Events {
		if event.Deleted {
			continue
		}
		revision, err := revisionOfKey(event.Entry.Key)
		if err != nil {
			return false
		}
		record, err := decodeRecord(event.Entry.Value, revision)
		if err != nil || !f.append(record, event.Entry.Value) {
			return false
		}
	}
	return true
}

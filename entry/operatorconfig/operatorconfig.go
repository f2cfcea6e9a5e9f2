// Package operatorconfig keeps the operator's configuration in force on one instance, and knows
// how old that knowledge is.
//
// A watch brings changes at once. Beside it, reads of the same key bound how old the instance's
// knowledge can get: one is sent regularly, and the next one on a connection of its own as soon as
// the last one is overdue. What was in flight when a disruption of the store began or ended
// therefore delays nothing.
package operatorconfig

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
)

// Store is the part of the store that a follower reads.
type Store interface {
	Range(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error)
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error)
	// CloseIdle closes the connections that no call uses; they may have gone silent.
	CloseIdle()
}

// Shares of the time within which a configuration must be in force. Together the first two stay
// below one half, so that one lost response is made up for within half of that time.
const (
	readIntervalShare = 0.3
	overdueShare      = 0.15
	readTimeoutShare  = 1.5
	// recentShare bounds the age of a configuration that counts as recent.
	recentShare = 0.75
)

// minSpacing bounds the rate of reads, whatever the operators ask for.
const minSpacing = 20 * time.Millisecond

const (
	// watchWait bounds one watch.
	watchWait = 3 * time.Second
	// watchSlack is how long after its wait time a watch may still respond.
	watchSlack = 400 * time.Millisecond
)

// watchRetry spaces watches that fail.
var watchRetry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 400 * time.Millisecond}

// Follower follows the operator's configuration. Its methods may be called concurrently.
type Follower struct {
	store   Store
	changed func(*cluster.Config)
	logger  *slog.Logger
	metrics followerMetrics

	readInterval time.Duration // between two reads that are answered
	overdue      time.Duration // after which a read without a response is followed by another
	readTimeout  time.Duration
	recentAge    time.Duration // up to which a configuration counts as recent

	config atomic.Pointer[cluster.Config]

	mu sync.Mutex // serialises changes
	// revision is the newest revision of the store up to which changes were applied.
	revision kv.Revision
	// decoded is the revision of the newest value that was decoded, be it readable or not.
	decoded   kv.Revision
	confirmed atomic.Pointer[confirmation]
}

// confirmation is the newest answered read.
type confirmation struct {
	sent time.Time     // when it was sent; zero before the first
	next chan struct{} // closed by the next one
}

type followerMetrics struct {
	version tally.Gauge
	overdue tally.Counter // reads without a response in time
	age     tally.Histogram
}

// New returns a follower that has each configuration in force within half of applyWithin after
// its acknowledgement, while the store responds. It calls changed with each configuration that it
// puts in force, never concurrently.
func New(store Store, applyWithin time.Duration, changed func(*cluster.Config), logger *slog.Logger, scope tally.Scope) *Follower {
	share := func(x float64) time.Duration { return max(minSpacing, time.Duration(x*float64(applyWithin))) }
	f := &Follower{
		store: store, changed: changed, logger: logger,
		readInterval: share(readIntervalShare), overdue: share(overdueShare), readTimeout: share(readTimeoutShare),
		recentAge: share(recentShare),
		metrics: followerMetrics{
			version: scope.Gauge("version"), overdue: scope.Counter("overdue_reads"),
			age: scope.Histogram("age_seconds", tally.DefaultBuckets),
		},
	}
	f.confirmed.Store(&confirmation{next: make(chan struct{})})
	return f
}

// Current returns the configuration in force, or nil if there is none yet.
func (f *Follower) Current() *cluster.Config { return f.config.Load() }

// Age returns for how long the configuration in force may have been outdated: the time since
// the newest answered read of it was sent. It is zero before the first one.
func (f *Follower) Age() time.Duration { return f.confirmed.Load().age() }

func (c *confirmation) age() time.Duration {
	if c.sent.IsZero() {
		return 0
	}
	return time.Since(c.sent)
}

// Recent reports whether the configuration in force certainly contains each change that was
// acknowledged longer ago than a configuration may take to be in force.
func (f *Follower) Recent() bool { return f.recent(f.confirmed.Load()) }

func (f *Follower) recent(c *confirmation) bool { return !c.sent.IsZero() && c.age() <= f.recentAge }

// AwaitRecent waits until the configuration in force is recent or ctx ends, and reports whether
// it is recent.
func (f *Follower) AwaitRecent(ctx context.Context) bool {
	for {
		c := f.confirmed.Load()
		if f.recent(c) {
			return true
		}
		select {
		case <-c.next:
		case <-ctx.Done():
			return false
		}
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.watchAll(ctx) })
	f.readAll(ctx, &running)
	running.Wait()
	f.store.CloseIdle()
}

// readAll reads the configuration regularly until ctx ends.
func (f *Follower) readAll(ctx context.Context, running *sync.WaitGroup) {
	for ctx.Err() == nil {
		sent := time.Now()
		answered := make(chan struct{})
		running.Go(func() {
			if f.read(ctx, sent) {
				close(answered)
			}
		})
		if f.awaitAnswer(ctx, answered) {
			_ = backoff.Sleep(ctx, f.readInterval-time.Since(sent)) // the loop checks ctx
		}
	}
}

// awaitAnswer waits until a read is answered, and reports whether that happened before it was
// overdue. Connections that no call uses are closed otherwise, so that the next read opens one.
func (f *Follower) awaitAnswer(ctx context.Context, answered <-chan struct{}) bool {
	timer := time.NewTimer(f.overdue)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		f.metrics.overdue.Inc(1)
		f.store.CloseIdle()
		return false
	}
}

// read reads the configuration once and applies it, and reports whether the read was answered.
func (f *Follower) read(ctx context.Context, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, f.readTimeout)
	defer cancel()
	page, err := f.store.Range(ctx, registry.ConfigKey, "", kv.Linearizable)
	if err != nil {
		return false // the next read follows soon, and requests are logged with Age
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range page.Items {
		f.applyItem(item)
	}
	f.revision = max(f.revision, page.AsOf)
	f.confirm(sent)
	return true
}

// confirm records that a read that was sent at the given time was answered. The caller holds
// f.mu.
func (f *Follower) confirm(sent time.Time) {
	last := f.confirmed.Load()
	if !sent.After(last.sent) {
		return
	}
	f.confirmed.Store(&confirmation{sent: sent, next: make(chan struct{})})
	close(last.next)
	f.metrics.age.RecordDuration(time.Since(sent))
}

// watchAll applies changes as they come until ctx ends.
func (f *Follower) watchAll(ctx context.Context) {
	if c := f.confirmed.Load(); c.sent.IsZero() {
		select {
		case <-c.next: // the first answered read
		case <-ctx.Done():
		}
	}
	failures := 0
	for ctx.Err() == nil {
		if err := f.watch(ctx); err != nil {
			failures++
			_ = backoff.Sleep(ctx, watchRetry.Delay(failures, backoff.NewRandom())) // the loop checks ctx
			continue
		}
		failures = 0
	}
}

// watch waits once for changes after the newest known revision and applies them. If the history
// was compacted, the reads bring a newer revision.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	events, err := f.store.Watch(ctx, registry.ConfigKey, after, watchWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range events.Events {
		if !event.Removed {
			f.applyItem(event.Item)
		}
	}
	f.revision = max(f.revision, events.AsOf)
	return nil
}

// applyItem puts a configuration in force if its version is above that of the one in force. The
// caller holds f.mu.
func (f *Follower) applyItem(item kv.Item) {
	if item.Key != registry.ConfigKey {
		return // another key with the same beginning
	}
	if item.Revision <= f.decoded {
		return // most reads find the value unchanged
	}
	f.decoded = item.Revision
	config, err := registry.Config(item.Value)
	if err != nil {
		f.logger.Error("configuration skipped: not readable", "revision", int64(item.Revision), "error", err)
		return
	}
	current := f.config.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	f.config.Store(config)
	f.metrics.version.Update(float64(config.Version))
	f.logger.Info("configuration in force", "version", config.Version, "revision", int64(item.Revision),
		"queues", len(config.Queues), "previous_age_ms", f.Age().Milliseconds())
	if len(config.Skipped) > 0 {
		f.logger.Error("configuration in force without entries that are not readable", "version", config.Version, "skipped", config.Skipped)
	}
	f.changed(config)
}

// Package operatorconfig keeps the operator's configuration in force on one instance, and knows
// how old that knowledge is.
//
// A watch brings changes at once. Beside it, reads of the same key bound how old the instance's
// knowledge can get: one is sent regularly, the next one shortly after one that the store refuses, and
// on a connection of its own as soon as the last one is overdue. What was in flight when a disruption of
// the store began or ended therefore delays nothing. Where the configuration is long for the instance's link, a
// transaction without changes, under the condition that the key has its known revision, takes the place of
// a read: the store returns the value only if it has changed.
//
// Requests that need an API key are decided only by a configuration that was confirmed recently
// (Knowledge). The age of a confirmation counts time in which the machine was suspended.
package operatorconfig

import (
	"context"
	"encoding/base64"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/bootclock"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
)

// Store is the part of the store that a follower reads.
type Store interface {
	Range(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error)
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error)
	Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	// CloseIdle closes the connections that no call uses; they may have gone silent.
	CloseIdle()
}

// Shares of the time within which a configuration must be in force. Together the first two stay
// below one half, so that one lost response is made up for within half of that time.
const (
	readIntervalShare = 0.3
	overdueShare      = 0.15
	readTimeoutShare  = 1.5
	// refusedBaseShare and refusedCapShare bound the pauses after reads that the store refuses. The last
	// read before a second of refusals and the first one after it are less than recentShare apart, and
	// many instances whose reads are refused add little to what exceeds the store's rate.
	refusedBaseShare = 0.02
	refusedCapShare  = 0.08
	// recentShare bounds the age of a configuration that counts as recent.
	recentShare = 0.75
)

// strictShare is the part of the time within which a key must be revoked that the age of a
// configuration may reach. The rest covers clocks that run at different rates.
const strictShare = 0.8

// minSpacing bounds the rate of reads, whatever the operators ask for.
const minSpacing = 20 * time.Millisecond

const (
	// watchWait bounds one watch.
	watchWait = 3 * time.Second
	// watchSlack is how long after its wait time a watch may still respond.
	watchSlack = 400 * time.Millisecond
)

// readShare is the share of the link's rate that reads may take. Where they would take more, transactions
// take their place.
const readShare = 0.1

// watchRetry spaces watches that fail.
var watchRetry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 400 * time.Millisecond}

// Options are the settings of a follower.
type Options struct {
	// ApplyWithin is the time within which a configuration must be in force.
	ApplyWithin time.Duration
	// RevokeWithin is the time after which a removed API key must not be accepted by any instance,
	// whatever happened to it; zero where revocation is not strict. It has an effect only while a
	// configuration with tenants is in force.
	RevokeWithin time.Duration
	// Link is the rate of the instance's network link.
	Link linkshare.Rate
	// BootClock counts time in which the machine is suspended; nil for that of the machine.
	BootClock func() time.Duration
}

// timing is how often a configuration is read, and how old a recent one may be.
type timing struct {
	readInterval time.Duration // between two reads that are answered
	overdue      time.Duration // after which a read without a response is followed by another
	readTimeout  time.Duration
	refused      backoff.Policy // between a read that is refused and the next one
	recentAge    time.Duration  // up to which a configuration counts as recent
}

func newTiming(applyWithin time.Duration) timing {
	share := func(x float64) time.Duration { return max(minSpacing, time.Duration(x*float64(applyWithin))) }
	return timing{
		readInterval: share(readIntervalShare), overdue: share(overdueShare), readTimeout: share(readTimeoutShare),
		refused:   backoff.Policy{Base: share(refusedBaseShare), Cap: share(refusedCapShare)},
		recentAge: share(recentShare),
	}
}

// newTenancyTiming returns the timing while a configuration with tenants is in force.
func newTenancyTiming(applyWithin, revokeWithin time.Duration) timing {
	if revokeWithin <= 0 {
		return newTiming(applyWithin)
	}
	t := newTiming(min(applyWithin, revokeWithin))
	t.recentAge = min(newTiming(applyWithin).recentAge, time.Duration(strictShare*float64(revokeWithin)))
	return t
}

// Follower follows the operator's configuration. Its methods may be called concurrently.
type Follower struct {
	store     Store
	changed   func(*cluster.Config)
	logger    *slog.Logger
	metrics   followerMetrics
	bootClock func() time.Duration
	link      linkshare.Rate

	withoutTenancy timing
	withTenancy    timing

	config atomic.Pointer[cluster.Config]

	mu sync.Mutex // serialises changes
	// revision is the newest revision of the store up to which changes were applied.
	revision kv.Revision
	// decoded is the revision of the newest value that was decoded, be it readable or not.
	decoded   kv.Revision
	bytes     int // length of that value in a response
	confirmed atomic.Pointer[confirmation]
}

// instant is a point in time on the clocks of an instance.
type instant struct {
	monotonic time.Time
	boot      time.Duration
}

// confirmation is the newest answered read.
type confirmation struct {
	sent instant       // when it was sent; zero before the first
	next chan struct{} // closed by the next one
}

func (c *confirmation) exists() bool { return !c.sent.monotonic.IsZero() }

type followerMetrics struct {
	version tally.Gauge
	overdue tally.Counter // reads without a response in time
	refused tally.Counter // reads that the store refused
	age     tally.Histogram
}

// New returns a follower that has each configuration in force within half of o.ApplyWithin after
// its acknowledgement, while the store responds. It calls changed with each configuration that it
// puts in force, never concurrently.
func New(store Store, o Options, changed func(*cluster.Config), logger *slog.Logger, scope tally.Scope) *Follower {
	f := &Follower{
		store: store, changed: changed, logger: logger, bootClock: o.BootClock, link: o.Link,
		withoutTenancy: newTiming(o.ApplyWithin),
		withTenancy:    newTenancyTiming(o.ApplyWithin, o.RevokeWithin),
		metrics: followerMetrics{
			version: scope.Gauge("version"), overdue: scope.Counter("overdue_reads"),
			refused: scope.Counter("refused_reads"),
			age:     scope.Histogram("age_seconds", tally.DefaultBuckets),
		},
	}
	if f.bootClock == nil {
		f.bootClock = bootclock.Now
	}
	f.confirmed.Store(&confirmation{next: make(chan struct{})})
	return f
}

// timing returns the timing that a configuration needs, which may be nil.
func (f *Follower) timing(config *cluster.Config) timing {
	if config != nil && config.Tenancy {
		return f.withTenancy
	}
	return f.withoutTenancy
}

// Current returns the configuration in force, or nil if there is none yet.
func (f *Follower) Current() *cluster.Config { return f.config.Load() }

// Knowledge is what an instance knows of the operator's configuration at one moment.
type Knowledge struct {
	Config *cluster.Config // in force; nil before the first
	// Age is for how long Config may have been outdated: the time since the newest answered read
	// of it was sent. It is zero before the first one.
	Age time.Duration
	// Recent is set if Config certainly contains each change that was acknowledged longer ago than
	// a configuration may take to be in force and, where it has tenants and revocation is strict,
	// longer ago than the revocation of a key may take.
	Recent bool
}

// Knowledge returns the present knowledge. The clocks are read last: a request that was received
// before the call may be decided by the result, however long the caller is interrupted.
func (f *Follower) Knowledge() Knowledge {
	c := f.confirmed.Load()
	config := f.config.Load() // loaded later, so it contains what the confirming read found
	age := f.ageOf(c)
	return Knowledge{Config: config, Age: age, Recent: c.exists() && age <= f.timing(config).recentAge}
}

// Age returns the age of the present knowledge.
func (f *Follower) Age() time.Duration { return f.ageOf(f.confirmed.Load()) }

func (f *Follower) now() instant { return instant{monotonic: time.Now(), boot: f.bootClock()} }

// ageOf returns the time since a confirming read was sent, by the clock that advanced further: the
// monotonic clock stands still while the machine is suspended.
func (f *Follower) ageOf(c *confirmation) time.Duration {
	if !c.exists() {
		return 0
	}
	return max(time.Since(c.sent.monotonic), f.bootClock()-c.sent.boot)
}

// AwaitRecent waits until the configuration in force is recent or ctx ends, and returns the
// knowledge then.
func (f *Follower) AwaitRecent(ctx context.Context) Knowledge {
	for {
		next := f.confirmed.Load().next
		k := f.Knowledge()
		if k.Recent {
			return k
		}
		select {
		case <-next:
		case <-ctx.Done():
			return f.Knowledge()
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

// readResult is what became of a read.
type readResult uint8

const (
	readLost     readResult = iota // it got no response, or not in time
	readRefused                    // the store did nothing
	readAnswered                   // it confirmed the configuration
)

// readAll reads the configuration regularly until ctx ends.
func (f *Follower) readAll(ctx context.Context, running *sync.WaitGroup) {
	refusals := 0 // in a row
	random := backoff.NewRandom()
	for ctx.Err() == nil {
		sent := f.now()
		timing := f.timing(f.Current())
		done := make(chan readResult, 1)
		running.Go(func() { done <- f.read(ctx, sent, timing.readTimeout) })
		result := f.awaitResult(ctx, done, timing.overdue)
		pause := time.Duration(0)
		switch result {
		case readAnswered:
			// The read may have brought the first configuration with tenants.
			pause = f.timing(f.Current()).readInterval - time.Since(sent.monotonic)
		case readRefused:
			refusals++
			f.metrics.refused.Inc(1)
			pause = timing.refused.Delay(refusals, random)
		}
		if result != readRefused {
			refusals = 0
		}
		_ = backoff.Sleep(ctx, pause) // the loop checks ctx
	}
}

// awaitResult waits until a read is answered or refused, or until it is overdue. In the last case,
// connections that no call uses are closed, so that the next read opens one.
func (f *Follower) awaitResult(ctx context.Context, done <-chan readResult, overdue time.Duration) readResult {
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case result := <-done:
			if result != readLost {
				return result
			}
			done = nil // the next read is sent once this one is overdue
		case <-ctx.Done():
			return readLost
		case <-timer.C:
			f.metrics.overdue.Inc(1)
			f.store.CloseIdle()
			return readLost
		}
	}
}

// read reads the configuration once and applies it.
func (f *Follower) read(ctx context.Context, sent instant, timeout time.Duration) readResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	items, asOf, err := f.current(ctx)
	switch { // the next read follows soon, and requests are logged with Age
	case err == nil:
	case kv.NotRun(err):
		return readRefused
	default:
		return readLost
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range items {
		f.applyItem(item)
	}
	f.revision = max(f.revision, asOf)
	f.confirm(sent)
	return readAnswered
}

// current returns the item of the configuration, without it if that is long for the link and has the revision
// that is known, and a revision up to which no other changes of it are missing.
func (f *Follower) current(ctx context.Context) ([]kv.Item, kv.Revision, error) {
	f.mu.Lock()
	known, long := f.decoded, f.isLong()
	f.mu.Unlock()
	if !long {
		page, err := f.store.Range(ctx, registry.ConfigKey, "", kv.Linearizable)
		return page.Items, page.AsOf, err
	}
	result, err := f.store.Txn(ctx, kv.Txn{Conditions: []kv.Condition{{Key: registry.ConfigKey, Revision: known}}})
	if err != nil || result.Applied {
		return nil, known, err
	}
	return result.Current, known, nil
}

// isLong reports whether regular reads of the value that was decoded last would take more than readShare of the
// link. The caller holds f.mu.
func (f *Follower) isLong() bool {
	return f.decoded > 0 && f.link.Interval(f.bytes, readShare) > f.timing(f.Current()).readInterval
}

// confirm records that a read that was sent at the given time was answered. The caller holds
// f.mu.
func (f *Follower) confirm(sent instant) {
	last := f.confirmed.Load()
	if !sent.monotonic.After(last.sent.monotonic) {
		return
	}
	f.confirmed.Store(&confirmation{sent: sent, next: make(chan struct{})})
	close(last.next)
	f.metrics.age.RecordDuration(time.Since(sent.monotonic))
}

// watchAll applies changes as they come until ctx ends.
func (f *Follower) watchAll(ctx context.Context) {
	if c := f.confirmed.Load(); !c.exists() {
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
	f.decoded, f.bytes = item.Revision, base64.StdEncoding.EncodedLen(len(item.Value))
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

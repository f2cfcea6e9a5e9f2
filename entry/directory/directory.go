package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
)

// Defaults of Options.
const (
	DefaultInterval  = time.Second
	DefaultNoticeTTL = 10 * time.Minute
)

// Options are the collaborators and settings of a Directory.
type Options struct {
	// List is the platform's instance list.
	List platform.InstanceList
	// Interval is the time between two polls of the list; zero means DefaultInterval.
	Interval time.Duration
	// NoticeTTL is how long an executor's own notice is valid unless the executor
	// restarts; zero means DefaultNoticeTTL.
	NoticeTTL time.Duration
	// Logger receives changes of state; nil means slog.Default.
	Logger *slog.Logger
}

// Directory publishes snapshots. Readers never block; writers take a lock.
type Directory struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]

	mu              sync.Mutex
	inputs          inputs
	subscribers     []func(*Snapshot)
	listUnavailable bool
}

// New returns a Directory with an empty snapshot.
func New(options Options) *Directory {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.NoticeTTL <= 0 {
		options.NoticeTTL = DefaultNoticeTTL
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	d := &Directory{options: options}
	d.inputs.records = map[fleet.InstanceID]fleet.Record{}
	d.inputs.notices = map[fleet.InstanceID]notice{}
	d.snapshot.Store(build(d.inputs, time.Time{}))
	return d
}

// Snapshot returns the newest snapshot that all subscribers have been called with; it is
// never nil.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Subscribe calls fn with the current snapshot and with each later one, one call at a
// time. fn must not call methods of the Directory.
func (d *Directory) Subscribe(fn func(*Snapshot)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, fn)
	fn(d.snapshot.Load())
}

// Run polls the platform's list until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// poll reads the list once. If the call fails or an empty list follows a non-empty one,
// the last list stays, so that an outage of the platform never removes all endpoints.
func (d *Directory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*d.options.Interval)
	defer cancel()
	instances, err := d.options.List.Instances(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	failed := err != nil || (len(instances) == 0 && len(d.inputs.instances) > 0)
	if failed != d.listUnavailable {
		d.listUnavailable = failed
		d.options.Logger.Info("availability of the instance list changed", "down", failed, "error", err)
	}
	if d.unchanged(instances, failed) {
		return
	}
	if !failed {
		d.inputs.instances = instances
	}
	d.publish()
}

// unchanged reports whether a poll needs no new snapshot: the call failed or returned the
// same slice as the last one, and there is no notice that may have expired.
func (d *Directory) unchanged(instances []fleet.Instance, failed bool) bool {
	current := d.inputs.instances
	same := len(instances) > 0 && len(instances) == len(current) && &instances[0] == &current[0]
	return (failed || same) && len(d.inputs.notices) == 0
}

// SetConfig replaces the configuration and publishes a snapshot.
func (d *Directory) SetConfig(config *object.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inputs.config = config
	d.publish()
}

// SetRecords replaces all fleet records and publishes a snapshot.
func (d *Directory) SetRecords(records []fleet.Record) {
	byID := make(map[fleet.InstanceID]fleet.Record, len(records))
	for _, record := range records {
		byID[record.ID] = record
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inputs.records = byID
	d.publish()
}

// publish builds a snapshot, and calls the subscribers and then stores it if it differs
// from the last one; the lock is held.
func (d *Directory) publish() {
	now := time.Now()
	d.dropExpiredNotices(now)
	snapshot := build(d.inputs, now)
	if equal(snapshot, d.snapshot.Load()) {
		return
	}
	for _, fn := range d.subscribers {
		fn(snapshot)
	}
	d.snapshot.Store(snapshot)
}

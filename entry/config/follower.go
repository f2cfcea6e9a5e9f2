package config

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// Options configure a Follower. With the zero value it always watches the store, as
// the only entry instance.
type Options struct {
	// Self is this entry instance.
	Self Member
	// Members returns the entry instances that are known to be live, with or without
	// Self; nil means that there are no others.
	Members func() []Member
	// Random adds jitter to retries and polls; nil creates a new source. Only Run uses it.
	Random *rand.Rand
	// Logger receives state changes; nil discards them.
	Logger *slog.Logger
}

// Member is one entry instance.
type Member struct {
	ID   fleet.InstanceID
	Zone fleet.AvailabilityZone
}

// Follower holds the newest accepted configuration that this entry instance has
// received. It is safe for concurrent use.
type Follower struct {
	store       platform.Store
	options     Options
	logger      *slog.Logger
	current     atomic.Pointer[state]
	storeStatus atomic.Pointer[storeStatus]
	encoded     atomic.Pointer[encodedSnapshot]
	counter     counters

	mu           sync.Mutex // guards writes to current and the fields below
	ready        bool       // whether the store or a peer has responded
	tail         tail
	inForceSince map[object.Revision]time.Time
	subscribers  []func(*object.Config)
}

// NewFollower returns a follower that holds no configuration yet.
func NewFollower(store platform.Store, options Options) *Follower {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Random == nil {
		options.Random = backoff.NewRandom()
	}
	f := &Follower{store: store, options: options, logger: options.Logger, inForceSince: map[object.Revision]time.Time{}}
	f.current.Store(emptyState())
	f.storeStatus.Store(&storeStatus{})
	return f
}

// Current returns the configuration in force on this entry instance. It is never nil;
// until Ready returns nil it is empty and has revision zero.
func (f *Follower) Current() *object.Config { return f.current.Load().config }

// Subscribe calls callback with the configuration in force and then with each later
// one, in order of revision. Calls are made one at a time and delay the next
// revision, so callback must return at once and must not call Subscribe.
func (f *Follower) Subscribe(callback func(*object.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, callback)
	callback(f.Current())
}

// errNoSource is the reason why a new follower is not ready.
var errNoSource = errors.New("no configuration yet: neither the store nor a peer has responded")

// Ready returns nil once the follower has a configuration, else the reason why not.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready {
		return nil
	}
	return errNoSource
}

// markReady records that a source has responded, even if with an empty configuration.
func (f *Follower) markReady(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready {
		return
	}
	f.ready = true
	f.logger.Info("first configuration received", "source", source, "revision", f.Current().Revision)
}

// install replaces the state if next is newer; otherwise it ignores next.
func (f *Follower) install(next *state) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.revision() <= f.current.Load().revision() {
		f.counter.ignored.Add(1)
		return
	}
	f.tail = tail{}
	clear(f.inForceSince)
	f.publish(next)
}

// append applies the record if it is the next revision. It ignores a record that is
// already applied and reports true; after a gap it reports false.
func (f *Follower) append(record Record, body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if record.Revision <= current.revision() {
		f.counter.ignored.Add(1)
		return true
	}
	if record.Revision != current.revision()+1 {
		f.counter.gaps.Add(1)
		return false
	}
	f.tail.add(record.Revision, body)
	f.publish(current.apply(record))
	return true
}

// publish puts the state in force and notifies the subscribers. The caller holds the lock.
func (f *Follower) publish(next *state) {
	f.ready = true
	f.current.Store(next)
	f.recordInForce(next.revision())
	f.counter.applied.Add(1)
	for _, callback := range f.subscribers {
		callback(next.config)
	}
}

// recordInForce records that the revision came into force now. The caller holds the lock.
func (f *Follower) recordInForce(revision object.Revision) {
	f.inForceSince[revision] = time.Now()
	delete(f.inForceSince, revision-maxRecent)
}

// InForceSince returns when the revision came into force on this entry instance. It
// reports false if that time is unknown; times are kept for the last maxRecent revisions.
func (f *Follower) InForceSince(revision object.Revision) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.inForceSince[revision]
	return since, ok
}

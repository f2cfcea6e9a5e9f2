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

// Options configure a Follower. The zero value watches the store alone.
type Options struct {
	// Self is this entry instance.
	Self Member
	// Members returns the entry instances that are known to live, Self included or
	// not; nil means that there are no others.
	Members func() []Member
	// Random spreads retries and polls; nil takes a source of its own. Only Run uses it.
	Random *rand.Rand
	// Logger gets changes of state; nil discards them.
	Logger *slog.Logger
}

// Member is one entry instance.
type Member struct {
	ID   fleet.InstanceID
	Zone fleet.AvailabilityZone
}

// Follower holds the newest accepted configuration that this entry instance
// knows. It is safe for concurrent use.
type Follower struct {
	store       platform.Store
	options     Options
	logger      *slog.Logger
	current     atomic.Pointer[state]
	storeStatus atomic.Pointer[storeStatus]
	encoded     atomic.Pointer[encodedSnapshot]
	counter     counters

	mu           sync.Mutex // guards the writes of current and all below
	ready        bool       // whether any source has answered
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

// Current returns the configuration in force here. It is never nil; before Ready
// it is empty and has revision zero.
func (f *Follower) Current() *object.Config { return f.current.Load().config }

// Subscribe calls do with the configuration in force and then with each later
// one, in order of revision. Calls are made one at a time and hold up the next
// revision, so do must return at once and must not call Subscribe.
func (f *Follower) Subscribe(callback func(*object.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, callback)
	callback(f.Current())
}

// errNoSource says why a new follower is not ready.
var errNoSource = errors.New("no configuration yet: neither the store nor a peer has answered")

// Ready returns nil once a configuration is held, else the reason why not.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready {
		return nil
	}
	return errNoSource
}

// setKnown notes that a source has answered, be it with an empty configuration.
func (f *Follower) markReady(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready {
		return
	}
	f.ready = true
	f.logger.Info("configuration held", "source", source, "revision", f.Current().Revision)
}

// install replaces the state by a newer one; it ignores an older one.
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

// append applies the next revision. It reports false where the record is not the
// next one; a record that is held already is ignored and gives true.
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

// publish puts the state in force. The caller holds the lock.
func (f *Follower) publish(next *state) {
	f.ready = true
	f.current.Store(next)
	f.recordInForce(next.revision())
	f.counter.applied.Add(1)
	for _, callback := range f.subscribers {
		callback(next.config)
	}
}

// noteInForce records when a revision came into force here. The caller holds the lock.
func (f *Follower) recordInForce(revision object.Revision) {
	f.inForceSince[revision] = time.Now()
	delete(f.inForceSince, revision-maxRecent)
}

// InForceSince returns when the revision came into force here. It reports false
// where that is unknown or long ago.
func (f *Follower) InForceSince(revision object.Revision) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.inForceSince[revision]
	return since, ok
}

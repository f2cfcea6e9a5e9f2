package config

import (
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// counters count what the follower and the log did.
type counters struct {
	applied    atomic.Int64
	ignored    atomic.Int64
	gaps       atomic.Int64
	unreadable atomic.Int64
	lists      atomic.Int64
	watches    atomic.Int64
	snapshots  atomic.Int64
	errors     atomic.Int64
}

// Counters are what the follower and its log have done since the start.
type Counters struct {
	// Applied counts revisions put in force, Ignored those that were held already.
	Applied int64 `json:"applied"`
	Ignored int64 `json:"ignored"`
	// Gaps counts the times that a revision was missing and the log was read anew.
	Gaps int64 `json:"gaps"`
	// Unreadable counts documents of peers or of the store that could not be read.
	Unreadable int64 `json:"unreadable"`
	// Lists, Watches and Snapshots count reads of the store, Errors those that failed.
	Lists     int64 `json:"lists"`
	Watches   int64 `json:"watches"`
	Snapshots int64 `json:"snapshots"`
	Errors    int64 `json:"errors"`
}

// Counters returns the counts since the start.
func (f *Follower) Counters() Counters {
	c := &f.counter
	return Counters{
		Applied: c.applied.Load(), Ignored: c.ignored.Load(), Gaps: c.gaps.Load(),
		Unreadable: c.unreadable.Load(), Lists: c.lists.Load(), Watches: c.watches.Load(),
		Snapshots: c.snapshots.Load(), Errors: c.errors.Load(),
	}
}

// sourceStatus is what the last reads of the store said.
type storeStatus struct {
	reachable   bool
	lastSuccess time.Time // the last read that succeeded
	lastError   error     // the last failure; nil while the store is reachable
}

// Status says what is held here and how old it is.
type Status struct {
	Revision   object.Revision `json:"revision"`
	ChangeID   string          `json:"changeID,omitempty"`
	AcceptedAt time.Time       `json:"acceptedAt,omitzero"`
	// Age is the time since the configuration was last known to be the newest one.
	Age time.Duration `json:"age"`
	// Verified is the last time that the store confirmed the revision; zero if never.
	Verified       time.Time `json:"verified,omitzero"`
	StoreReachable bool      `json:"storeReachable"`
	StoreError     string    `json:"storeError,omitempty"`
	Watching       bool      `json:"watching"`
	Ready          bool      `json:"ready"`
	NotReady       string    `json:"notReady,omitempty"`
	// Unread counts objects written by a newer version of the program that this
	// one keeps but does not understand.
	Unread int `json:"unread,omitempty"`
}

// Status returns the status at now.
func (f *Follower) Status(now time.Time) Status {
	current, store := f.current.Load(), f.storeStatus.Load()
	status := Status{
		Revision: current.revision(), ChangeID: current.config.ChangeID, AcceptedAt: current.config.AcceptedAt,
		Verified: store.lastSuccess, StoreReachable: store.reachable, Unread: current.unread,
		Watching: f.isWatcher(), Ready: true,
	}
	if !store.lastSuccess.IsZero() {
		status.Age = now.Sub(store.lastSuccess)
	}
	if store.lastError != nil {
		status.StoreError = store.lastError.Error()
	}
	if err := f.Ready(); err != nil {
		status.Ready, status.NotReady = false, err.Error()
	}
	return status
}

// noteStore records the outcome of a read of the store and logs changes.
func (f *Follower) recordStoreRead(err error) {
	old := f.storeStatus.Load()
	next := &storeStatus{reachable: err == nil, lastSuccess: old.lastSuccess, lastError: err}
	if err == nil {
		next.lastSuccess = time.Now()
	} else {
		f.counter.errors.Add(1)
	}
	f.storeStatus.Store(next)
	firstRead := old.lastSuccess.IsZero() && old.lastError == nil
	switch {
	case err == nil && (firstRead || !old.reachable):
		f.logger.Info("store reachable", "revision", f.Current().Revision)
	case err != nil && (firstRead || old.reachable):
		f.logger.Warn("store unreachable, configuration goes on at the revision held",
			"revision", f.Current().Revision, "error", err)
	}
}

func (f *Follower) isWatcher() bool {
	if f.options.Members == nil {
		return true
	}
	return IsWatcher(f.options.Self, f.options.Members())
}

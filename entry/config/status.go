package config

import (
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
)

// counters are the counts behind Counters.
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

// Counters counts operations of the follower since the process started.
type Counters struct {
	// Applied counts log entries and snapshots put in force, Ignored those that were not
	// newer than the current revision.
	Applied int64 `json:"applied"`
	Ignored int64 `json:"ignored"`
	// Gaps counts log entries that were not applied because an earlier revision was missing.
	Gaps int64 `json:"gaps"`
	// Unreadable counts documents from peers that could not be decoded.
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

// storeStatus is the outcome of the last reads of the store.
type storeStatus struct {
	reachable   bool
	lastSuccess time.Time // the last read that succeeded
	lastError   error     // the last failure; nil while the store is reachable
}

// Status describes the configuration of this entry instance and how recent it is.
type Status struct {
	Revision   object.Revision `json:"revision"`
	ChangeID   string          `json:"changeID,omitempty"`
	AcceptedAt time.Time       `json:"acceptedAt,omitzero"`
	// Age is the time since the configuration was last confirmed as the newest one, in
	// nanoseconds as JSON; zero if never.
	Age time.Duration `json:"age"`
	// Verified is the last time that the store confirmed the revision; zero if never.
	Verified       time.Time `json:"verified,omitzero"`
	StoreReachable bool      `json:"storeReachable"`
	StoreError     string    `json:"storeError,omitempty"`
	Watching       bool      `json:"watching"`
	Ready          bool      `json:"ready"`
	NotReady       string    `json:"notReady,omitempty"`
	// Unreadable counts the objects that this version of the program keeps but cannot
	// decode, because a newer version wrote them.
	Unreadable int `json:"unread,omitempty"`
}

// Status returns the status at the time now.
func (f *Follower) Status(now time.Time) Status {
	current, store := f.current.Load(), f.storeStatus.Load()
	status := Status{
		Revision: current.revision(), ChangeID: current.config.ChangeID, AcceptedAt: current.config.AcceptedAt,
		Verified: store.lastSuccess, StoreReachable: store.reachable, Unreadable: current.unread,
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

// recordStoreRead records the outcome of a read of the store and logs when the store
// becomes reachable or unreachable.
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
		f.logger.Warn("store unreachable, configuration stays at the current revision",
			"revision", f.Current().Revision, "error", err)
	}
}

func (f *Follower) isWatcher() bool {
	if f.options.Members == nil {
		return true
	}
	return IsWatcher(f.options.Self, f.options.Members())
}

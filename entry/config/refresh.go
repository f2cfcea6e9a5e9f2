package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
)

// listLimit is the number of log entries in one page.
const listLimit = 100

// maxRefreshes bounds how often one read of the log is restarted because the log was
// compacted meanwhile.
const maxRefreshes = 4

// Errors of a read whose result contradicts the current revision.
var (
	ErrStoreDiverged = errors.New("the store has a different change at this entry instance's revision")
	ErrStoreBehind   = errors.New("the store has an older revision than this entry instance")
	errLogCompacted  = errors.New("the log was compacted while it was read")
)

// refresh reads all newer revisions from the store and returns the store's revision
// at the time of the read, from which a watch may start.
func (f *Follower) refresh(ctx context.Context) (platform.Revision, error) {
	for range maxRefreshes {
		storeRevision, err := f.readLog(ctx)
		if !errors.Is(err, errLogCompacted) {
			f.recordStoreRead(err)
			return storeRevision, err
		}
		if err := f.readSnapshot(ctx); err != nil {
			f.recordStoreRead(err)
			return 0, err
		}
	}
	f.recordStoreRead(errLogCompacted)
	return 0, errLogCompacted
}

// readLog reads the log from the current revision on. All pages are read before any
// entry is applied, because an entry that a paused process created after its revision
// was compacted is recognised only by the gap after it.
func (f *Follower) readLog(ctx context.Context) (platform.Revision, error) {
	current := f.current.Load()
	entries, storeRevision, err := f.listLog(ctx, current.revision())
	if err != nil {
		return 0, err
	}
	if len(entries) == 0 {
		return f.checkEmptyLog(ctx, current, storeRevision)
	}
	records, err := decodeEntries(entries, current)
	if err != nil {
		return 0, err
	}
	for i, record := range records {
		if !f.append(record, entries[i].Value) {
			return 0, errLogCompacted
		}
	}
	f.markReady("store")
	return storeRevision, nil
}

// listLog lists the log from the entry of the given revision on. It returns the store
// revision of the first page.
func (f *Follower) listLog(ctx context.Context, from object.Revision) ([]platform.Entry, platform.Revision, error) {
	var entries []platform.Entry
	var storeRevision platform.Revision
	after := logKey(max(from-1, 0))
	for {
		f.counter.lists.Add(1)
		page, err := f.store.List(ctx, logPrefix, after, listLimit)
		if err != nil {
			return nil, 0, fmt.Errorf("list the configuration log: %w", err)
		}
		if storeRevision == 0 {
			storeRevision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if page.Next == "" {
			return entries, storeRevision, nil
		}
		after = page.Next
	}
}

// decodeEntries decodes entries that must follow the current state without a gap. It
// returns errLogCompacted if there is one.
func decodeEntries(entries []platform.Entry, current *state) ([]Record, error) {
	records := make([]Record, 0, len(entries))
	for i, entry := range entries {
		revision, err := revisionOfKey(entry.Key)
		if err != nil {
			return nil, err
		}
		if !continues(current.revision(), records, revision) {
			return nil, errLogCompacted
		}
		record, err := decodeRecord(entry.Value, revision)
		if err != nil {
			return nil, err
		}
		if i == 0 && revision == current.revision() && record.ID != current.config.ChangeID {
			return nil, fmt.Errorf("revision %d: %w", revision, ErrStoreDiverged)
		}
		records = append(records, record)
	}
	return records, nil
}

// continues reports whether revision follows the records read so far. The first one
// may be the current revision or the next one.
func continues(current object.Revision, records []Record, revision object.Revision) bool {
	if len(records) > 0 {
		return revision == records[len(records)-1].Revision+1
	}
	return revision == current || revision == current+1
}

// checkEmptyLog handles a log without entries from the current revision on: the store
// is new, or it has lost writes.
func (f *Follower) checkEmptyLog(ctx context.Context, current *state, storeRevision platform.Revision) (platform.Revision, error) {
	if current.revision() > 0 {
		return 0, fmt.Errorf("revision %d: %w", current.revision(), ErrStoreBehind)
	}
	if err := f.readSnapshot(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	f.markReady("store")
	return storeRevision, nil
}

// readSnapshot installs the store's snapshot if it is newer than the current state.
func (f *Follower) readSnapshot(ctx context.Context) error {
	f.counter.snapshots.Add(1)
	entry, err := f.store.Get(ctx, snapshotKey)
	if err != nil {
		return fmt.Errorf("read the configuration snapshot: %w", err)
	}
	next, err := decodeSnapshot(entry.Value)
	if err != nil {
		return err
	}
	f.install(next)
	return nil
}

package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
)

// Bounds of the compaction of the log.
const (
	// retainedRevisions is how many entries stay in the log after a compaction.
	retainedRevisions = 512
	// compactEvery is the number of revisions between two compactions.
	compactEvery = 256
	// compactTimeout bounds one compaction.
	compactTimeout = 30 * time.Second
	// maxStoredSnapshotBytes bounds the compressed snapshot, below the store's limit.
	maxStoredSnapshotBytes = 900 << 10
)

// compactIfDue compacts after every compactEvery-th revision. A failed compaction is
// not retried, because the next one also covers its revisions.
func (l *Log) compactIfDue(ctx context.Context, revision object.Revision) {
	if revision%l.compactEvery != 0 || revision < l.retainedRevisions+l.compactEvery {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), compactTimeout)
	defer cancel()
	if err := l.Compact(ctx); err != nil {
		l.logger.Warn("configuration log not compacted", "revision", revision, "error", err)
	}
}

// Compact moves the store's snapshot forward to retainedRevisions before the newest
// revision and deletes the log entries up to it. Any number of processes may
// compact at once: the snapshot only moves forward, by compare-and-swap.
func (l *Log) Compact(ctx context.Context) error {
	stored, err := l.loadSnapshot(ctx)
	if err != nil {
		return err
	}
	target := l.follower.Current().Revision - l.retainedRevisions
	if target <= stored.state.revision() {
		return l.deleteEntries(ctx, stored.state.revision())
	}
	next, err := l.replay(ctx, stored.state, target)
	if err != nil {
		return err
	}
	body, err := encodeSnapshot(next)
	if err != nil {
		return err
	}
	if len(body) > maxStoredSnapshotBytes {
		return fmt.Errorf("configuration snapshot of %d bytes, the limit is %d: %w", len(body), maxStoredSnapshotBytes, platform.ErrTooLarge)
	}
	if err := l.writeSnapshot(ctx, body, stored.revision); err != nil {
		return err
	}
	return l.deleteEntries(ctx, target)
}

// storedSnapshot is the decoded snapshot with the store revision of its key; without
// a snapshot in the store, the state is empty and the revision zero.
type storedSnapshot struct {
	state    *state
	revision platform.Revision
}

func (l *Log) loadSnapshot(ctx context.Context) (storedSnapshot, error) {
	entry, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, platform.ErrNotFound) {
		return storedSnapshot{state: emptyState()}, nil
	}
	if err != nil {
		return storedSnapshot{}, fmt.Errorf("read the configuration snapshot: %w", err)
	}
	loaded, err := decodeSnapshot(entry.Value)
	if err != nil {
		return storedSnapshot{}, err
	}
	return storedSnapshot{state: loaded, revision: entry.Revision}, nil
}

// replay applies the log entries after the state up to the target revision.
func (l *Log) replay(ctx context.Context, from *state, target object.Revision) (*state, error) {
	after := logKey(from.revision())
	for current := from; ; {
		page, err := l.store.List(ctx, logPrefix, after, listLimit)
		if err != nil {
			return nil, fmt.Errorf("list the configuration log: %w", err)
		}
		current, err = applyEntries(current, page.Entries, target)
		if err != nil || current.revision() == target {
			return current, err
		}
		if page.Next == "" {
			return nil, fmt.Errorf("revision %d is not in the log", target)
		}
		after = page.Next
	}
}

func applyEntries(current *state, entries []platform.Entry, target object.Revision) (*state, error) {
	for _, entry := range entries {
		if current.revision() == target {
			return current, nil
		}
		revision, err := revisionOfKey(entry.Key)
		if err != nil {
			return nil, err
		}
		if revision != current.revision()+1 {
			return nil, errLogCompacted
		}
		record, err := decodeRecord(entry.Value, revision)
		if err != nil {
			return nil, err
		}
		current = current.apply(record)
	}
	return current, nil
}

// writeSnapshot creates the snapshot, or replaces the one at store revision prev. If
// another process wrote a snapshot first, it fails and that snapshot stays, which is
// just as valid.
func (l *Log) writeSnapshot(ctx context.Context, body []byte, prev platform.Revision) error {
	var err error
	if prev == 0 {
		_, err = l.store.Create(ctx, snapshotKey, body, 0)
	} else {
		_, err = l.store.Swap(ctx, snapshotKey, body, prev, 0)
	}
	if err != nil {
		return fmt.Errorf("write the configuration snapshot: %w", err)
	}
	return nil
}

// deleteEntries deletes log entries up to the revision, oldest first, so that the log
// has no gaps wherever the deletion is interrupted.
func (l *Log) deleteEntries(ctx context.Context, upTo object.Revision) error {
	after := logPrefix
	for {
		page, err := l.store.List(ctx, logPrefix, after, listLimit)
		if err != nil {
			return fmt.Errorf("list the configuration log: %w", err)
		}
		for _, entry := range page.Entries {
			if entry.Key > logKey(upTo) {
				return nil
			}
			if err := l.store.Delete(ctx, entry.Key, entry.Revision); err != nil && !errors.Is(err, platform.ErrNotFound) {
				return fmt.Errorf("delete %s: %w", entry.Key, err)
			}
		}
		if page.Next == "" {
			return nil
		}
		after = page.Next
	}
}

package fleetduty

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	// cleanupInterval is the time between two removals of old final jobs.
	cleanupInterval = 30 * time.Second
	// retainFactor is how long a final state or a withdrawal is stored, as a multiple of RetainFinal:
	// duplicates of a submission may arrive late.
	retainFactor = 3
	// minRetention is the shortest time for which they are stored. A write that is carried out late, or a request that
	// was read late by an instance that was paused, must still find them.
	minRetention = 1 * time.Minute
	// cleanupTimeout bounds one removal.
	cleanupTimeout = 10 * time.Second
)

// seenRevision is a revision of the store, and when this holder has seen it.
type seenRevision struct {
	revision kv.Revision
	at       time.Time // compared by the monotonic clock
}

// settledRevision returns the latest revision that was seen at least the given time ago, or zero if none was,
// and forgets earlier ones.
func (h *Holder) settledRevision(now time.Time, age time.Duration) kv.Revision {
	settled := kv.Revision(0)
	for len(h.revisions) > 0 && now.Sub(h.revisions[0].at) >= age {
		settled = h.revisions[0].revision
		if len(h.revisions) == 1 || now.Sub(h.revisions[1].at) < age {
			break
		}
		h.revisions = h.revisions[1:]
	}
	return settled
}

// cleanUp removes the states of old final jobs and old withdrawals in the background. Each is removed under the
// condition that it has not changed since it was read.
//
// The time of day may step on this instance, and on the one that wrote a state. So only states are removed that
// have not changed since a revision that this holder has seen long ago by its own monotonic clock. A new
// holder removes none at first.
func (h *Holder) cleanUp(ctx context.Context) {
	h.cleanedUpAt = time.Now()
	retention := max(retainFactor*h.RetainFinal, minRetention)
	settled := h.settledRevision(time.Now(), retention)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		before := time.Now().Add(-retention)
		asOf := h.removeOld(ctx, "jobs", layout.JobsPrefix, settled, func(item kv.Item) (bool, error) {
			state, err := layout.Decode[layout.State](item.Key, item.Value)
			return state.State.Final() && !state.FinalAt.IsZero() && state.FinalAt.Before(before), err
		})
		h.removeOld(ctx, "withdrawals", layout.WithdrawalsPrefix, settled, func(item kv.Item) (bool, error) {
			withdrawal, err := layout.Decode[layout.Withdrawal](item.Key, item.Value)
			return withdrawal.At.Before(before), err
		})
		seen := seenRevision{asOf, time.Now()}
		h.send(func() {
			if seen.revision > 0 {
				h.revisions = append(h.revisions, seen)
			}
		})
	}()
}

// removeOld removes the items under a prefix that have not changed since the settled revision and are old, and logs
// how many. It returns the revision of the store as of the first page, or zero.
func (h *Holder) removeOld(ctx context.Context, kind, prefix string, settled kv.Revision, isOld func(kv.Item) (bool, error)) (asOf kv.Revision) {
	removed := 0
	after := ""
	for {
		page, err := h.Store.Range(ctx, prefix, after, kv.Stale)
		if err == nil {
			asOf = cmp.Or(asOf, page.AsOf)
			var n int
			n, err = h.removeItems(ctx, h.oldItems(page.Items, settled, isOld))
			removed += n
		}
		if err != nil {
			h.Logger.Warn("old "+kind+" not removed", "removed", removed, "error", err)
			return asOf
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	if removed > 0 {
		h.Logger.Info("old "+kind+" removed", "removed", removed)
	}
	return asOf
}

// oldItems returns the items that have not changed since the settled revision and are old. Those that can't be read
// are kept.
func (h *Holder) oldItems(items []kv.Item, settled kv.Revision, isOld func(kv.Item) (bool, error)) []kv.Item {
	var old []kv.Item
	for _, item := range items {
		is, err := isOld(item)
		if err != nil {
			h.Logger.Error("stored entry not readable", "error", err)
			continue
		}
		if is && item.Revision <= settled {
			old = append(old, item)
		}
	}
	return old
}

// removeItems removes items, each on condition that it has not changed, and returns their number. The number is too
// high if another holder removed some of them first.
func (h *Holder) removeItems(ctx context.Context, items []kv.Item) (removed int, err error) {
	const itemEntries = 2 // a condition and a removal
	for chunk := range slices.Chunk(items, (kv.MaxTxnEntries-1)/itemEntries) {
		var t kv.Txn
		for _, item := range chunk {
			t.Conditions = append(t.Conditions, kv.Condition{Key: item.Key, Revision: item.Revision})
			t.Deletes = append(t.Deletes, item.Key)
		}
		if _, err := h.attempt(ctx, t, txnAttempts); err != nil {
			return removed, err
		}
		removed += len(chunk)
	}
	return removed, nil
}

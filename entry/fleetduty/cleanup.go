package fleetduty

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	// cleanupInterval is the time between two removals of old final jobs.
	cleanupInterval = 30 * time.Second
	// retainFactor is how long a final state is stored, as a multiple of RetainFinal:
	// duplicates of a submission may arrive late.
	retainFactor = 3
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

// cleanUp removes the states of old final jobs in the background. Each is removed under the
// condition that it has not changed since it was read.
//
// The time of day may step on this instance, and on the one that wrote a state. So only states are removed that
// have not changed since a revision that this holder has seen long ago by its own monotonic clock. A new
// holder removes none at first.
func (h *Holder) cleanUp(ctx context.Context) {
	h.cleanedUpAt = time.Now()
	retention := retainFactor * h.RetainFinal
	settled := h.settledRevision(time.Now(), retention)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		removed, asOf, err := h.removeOldJobs(ctx, settled, time.Now().Add(-retention))
		if err != nil {
			h.Logger.Warn("old jobs not removed", "removed", removed, "error", err)
		} else if removed > 0 {
			h.Logger.Info("old jobs removed", "removed", removed)
		}
		seen := seenRevision{asOf, time.Now()}
		h.send(func() {
			if seen.revision > 0 {
				h.revisions = append(h.revisions, seen)
			}
		})
	}()
}

// removeOldJobs removes final states that have not changed since the settled revision and are older than before. It
// returns their number and the revision of the store as of the first page, or zero.
func (h *Holder) removeOldJobs(ctx context.Context, settled kv.Revision, before time.Time) (removed int, asOf kv.Revision, err error) {
	after := ""
	for {
		page, err := h.Store.Range(ctx, layout.JobsPrefix, after, kv.Stale)
		if err != nil {
			return removed, asOf, err
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		n, err := h.removeOldItems(ctx, page.Items, settled, before)
		removed += n
		if err != nil || !page.More || len(page.Items) == 0 {
			return removed, asOf, err
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (h *Holder) removeOldItems(ctx context.Context, items []kv.Item, settled kv.Revision, before time.Time) (int, error) {
	removed := 0
	var t kv.Txn
	for i, item := range items {
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if err != nil {
			h.Logger.Error("state of a job not readable", "error", err)
		}
		if err == nil && item.Revision <= settled && state.State.Final() && !state.FinalAt.IsZero() && state.FinalAt.Before(before) {
			t.Conditions = append(t.Conditions, kv.Condition{Key: item.Key, Revision: item.Revision})
			t.Deletes = append(t.Deletes, item.Key)
		}
		full := t.Entries() >= kv.MaxTxnEntries-1
		last := i == len(items)-1
		if len(t.Deletes) == 0 || !full && !last {
			continue
		}
		if _, err := h.attempt(ctx, t, txnAttempts); err != nil {
			return removed, err
		}
		removed += len(t.Deletes) // too high if another holder removed some of them first
		t = kv.Txn{}
	}
	return removed, nil
}

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

// cleanUp removes the states of old final jobs in the background. Each is removed under the
// condition that it has not changed since it was read.
func (h *Holder) cleanUp(ctx context.Context) {
	h.cleanedUpAt = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		removed, err := h.removeOldJobs(ctx, time.Now().Add(-retainFactor*h.RetainFinal))
		if err != nil {
			h.Logger.Warn("old jobs not removed", "removed", removed, "error", err)
		} else if removed > 0 {
			h.Logger.Info("old jobs removed", "removed", removed)
		}
	}()
}

func (h *Holder) removeOldJobs(ctx context.Context, before time.Time) (int, error) {
	removed, after := 0, ""
	for {
		page, err := h.Store.Range(ctx, layout.JobsPrefix, after, kv.Stale)
		if err != nil {
			return removed, err
		}
		n, err := h.removeOldItems(ctx, page.Items, before)
		removed += n
		if err != nil || !page.More || len(page.Items) == 0 {
			return removed, err
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (h *Holder) removeOldItems(ctx context.Context, items []kv.Item, before time.Time) (int, error) {
	removed := 0
	var t kv.Txn
	for i, item := range items {
		state, err := layout.Decode[layout.State](item.Key, item.Value)
		if err != nil {
			h.Logger.Error("state of a job not readable", "error", err)
		}
		if err == nil && state.State.Final() && !state.FinalAt.IsZero() && state.FinalAt.Before(before) {
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

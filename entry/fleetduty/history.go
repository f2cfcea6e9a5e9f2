package fleetduty

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

// historyInterval is the maximum time between two writes of the demand history.
const historyInterval = 2 * time.Second

// loadDemandHistory loads the demand history of the previous holder's planner. If it is not
// readable, the planner starts with none.
func (h *Holder) loadDemandHistory(ctx context.Context) error {
	history, revision, err := read[fleetplan.DemandHistory](ctx, h.Store, layout.DemandHistoryKey)
	if err != nil && revision != 0 {
		h.Logger.Error("demand history skipped: not readable", "error", err)
		return nil
	}
	if err != nil || revision == 0 {
		return err
	}
	h.planner.RestoreDemandHistory(history)
	h.Logger.Info("evidence taken over", "turns", len(history.PeakStarts), "services", history.Services, "revision", int64(revision))
	return nil
}

// storeDemandHistory writes the planner's demand history in the background. An older write
// that takes effect late does no harm.
func (h *Holder) storeDemandHistory(ctx context.Context) {
	history := h.planner.DemandHistory()
	if changes := h.planner.PeakChanges(); changes != h.storedPeakChanges {
		h.Logger.Info("peak of demand began or ended", "turns", history.PeakStarts, "services", history.Services)
	}
	h.historyStoredAt, h.storedPeakChanges = time.Now(), h.planner.PeakChanges()
	value, err := layout.Encode(history)
	if err != nil {
		h.Logger.Error("demand history not stored", "error", err)
		return
	}
	go func() {
		t := kv.Txn{Conditions: []kv.Condition{h.term.Condition()}, Puts: []kv.Put{{Key: layout.DemandHistoryKey, Value: value}}}
		result, err := h.attempt(ctx, t, 1)
		if err != nil {
			h.Logger.Info("demand history not stored; retrying with the next write", "error", err)
		} else if !result.Applied {
			h.stepDown()
		}
	}()
}

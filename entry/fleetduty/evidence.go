package fleetduty

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

// evidenceEvery is the longest time between two writes of what the planner has learned.
const evidenceEvery = 2 * time.Second

// loadEvidence takes in what the last holder's planner learned. Without it the
// planner learns anew.
func (h *Holder) loadEvidence(ctx context.Context) error {
	evidence, revision, err := read[fleetplan.DemandHistory](ctx, h.Store, layout.DemandHistoryKey)
	if err != nil && revision != 0 {
		h.Logger.Error("evidence left out", "error", err)
		return nil
	}
	if err != nil || revision == 0 {
		return err
	}
	h.planner.RestoreDemandHistory(evidence)
	h.Logger.Info("evidence taken over", "turns", len(evidence.PeakStarts), "services", evidence.Services, "revision", int64(revision))
	return nil
}

// storeEvidence writes what the planner has learned, in the background: an older
// state that takes effect late does no harm.
func (h *Holder) storeEvidence(ctx context.Context) {
	evidence := h.planner.DemandHistory()
	if news := h.planner.PeakChanges(); news != h.evidenceNews {
		h.Logger.Info("peak of demand began or ended", "turns", evidence.PeakStarts, "services", evidence.Services)
	}
	h.evidenceAt, h.evidenceNews = time.Now(), h.planner.PeakChanges()
	value, err := layout.Encode(evidence)
	if err != nil {
		h.Logger.Error("evidence not stored", "error", err)
		return
	}
	go func() {
		t := kv.Txn{Conditions: []kv.Condition{h.term.Condition()}, Puts: []kv.Put{{Key: layout.DemandHistoryKey, Value: value}}}
		result, err := h.attempt(ctx, t, 1)
		if err != nil {
			h.Logger.Info("evidence not stored; the next write does it", "error", err)
		} else if !result.Applied {
			h.lose()
		}
	}()
}

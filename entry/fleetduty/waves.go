package fleetduty

import (
	"context"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

// maxWavesPerWrite bounds the waves in one write: each takes two entries at most.
const maxWavesPerWrite = (kv.MaxTxnEntries - 1) / 2

// waveWrites are the changes of waves that are not stored yet.
type waveWrites struct {
	changed map[int64]bool             // waves whose progress has changed
	reports map[int64]fleetplan.Action // reports to the operator
	writing bool
}

func newWaveWrites() waveWrites {
	return waveWrites{changed: map[int64]bool{}, reports: map[int64]fleetplan.Action{}}
}

// reportWaves queues the reports of a plan and starts to store them.
func (h *Holder) reportWaves(ctx context.Context, actions []fleetplan.Action) {
	reported := false
	for _, a := range actions {
		if a.Kind == fleetplan.Report {
			h.waveWrites.changed[a.Wave] = true
			h.waveWrites.reports[a.Wave] = a
			reported = true
		}
	}
	if reported {
		h.storeWaves(ctx)
	}
}

// storeWaves starts to store the progress of the waves that have changed, with the reports to
// the operator, unless such a write is in progress. A successor that loads an older progress
// repeats commands, which then have no effect.
func (h *Holder) storeWaves(ctx context.Context) {
	w := &h.waveWrites
	if w.writing || len(w.changed) == 0 {
		return
	}
	numbers := slices.Sorted(maps.Keys(w.changed))
	numbers = numbers[:min(len(numbers), maxWavesPerWrite)]
	var t kv.Txn
	var reports []fleetplan.Action
	for _, number := range numbers {
		delete(w.changed, number)
		report, reported := w.reports[number]
		delete(w.reports, number)
		if err := h.addWave(&t, number, report.State); err != nil {
			h.Logger.Error("wave not encoded", "wave", number, "error", err)
			continue
		}
		if reported {
			reports = append(reports, report)
		}
	}
	w.writing = true
	go func() {
		err := h.txn(ctx, t)
		h.send(func() { h.finishWaves(numbers, reports, err) })
	}()
}

// addWave adds a wave's progress to the write and, if report is set, its state for the
// operator.
func (h *Holder) addWave(t *kv.Txn, number int64, report cluster.WaveState) error {
	progress, err := layout.Encode(layout.WaveProgress{
		MaintenanceStarted: h.planner.WaveMachinesStarted(number),
		Reported:           h.planner.WaveReported(number),
		StartedAt:          h.planner.WaveStartedAt(number),
	})
	if err != nil {
		return err
	}
	t.Puts = append(t.Puts, kv.Put{Key: layout.WaveKey(number), Value: progress})
	if report == "" {
		return nil
	}
	status, err := registry.EncodeWaveStatus(report)
	if err != nil {
		return err
	}
	t.Puts = append(t.Puts, kv.Put{Key: registry.WaveStatusKey(number), Value: status})
	return nil
}

func (h *Holder) finishWaves(numbers []int64, reports []fleetplan.Action, err error) {
	h.waveWrites.writing = false
	for _, report := range reports {
		h.logAction(report, "", err)
	}
	if err == nil {
		return
	}
	h.Logger.Warn("waves not stored", "waves", numbers, "error", err)
	for _, number := range numbers {
		h.waveWrites.changed[number] = true
	}
	for _, report := range reports {
		h.planner.WaveReportFailed(report.Wave) // planned again
	}
}

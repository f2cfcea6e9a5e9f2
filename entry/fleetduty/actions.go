package fleetduty

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

func (h *Holder) execute(ctx context.Context, a fleetplan.Action) {
	switch a.Kind {
	case fleetplan.Report:
		h.logAction(a, "", h.reportWave(ctx, a))
	case fleetplan.Maintain, fleetplan.Move:
		go h.callMachineService(ctx, a)
	default: // setCordons has handled cordons
	}
}

func (h *Holder) logAction(a fleetplan.Action, outcome string, err error) {
	h.Logger.Info("fleet action", "kind", a.Kind.String(), "machine", string(a.Machine), "executor", string(a.Executor),
		"service", string(a.Service), "wave", a.Wave, "state", string(a.State), "reason", a.Reason, "outcome", outcome, "error", err)
}

// setCordons sets and revokes the cordons of a plan in one write.
func (h *Holder) setCordons(ctx context.Context, actions []fleetplan.Action) {
	var t kv.Txn
	var set, revoked []cluster.ExecutorID
	for _, a := range actions {
		if t.Entries() == kv.MaxTxnEntries-1 {
			break // the next plan covers the rest
		}
		key := layout.CordonKey(a.Service, a.Executor)
		switch a.Kind {
		case fleetplan.Cordon:
			h.cordonsSet++
			id := fmt.Sprintf("%d-%d", h.term.Token, h.cordonsSet)
			value, err := layout.Encode(layout.Cordon{ID: id, Preempt: a.Preempt})
			if err != nil {
				h.Logger.Error("cordon not set", "executor", string(a.Executor), "error", err)
				continue
			}
			t.Puts = append(t.Puts, kv.Put{Key: key, Value: value})
			h.cordons[a.Executor] = fleetplan.ActiveCordon{Service: a.Service, ID: id}
			set = append(set, a.Executor)
		case fleetplan.Uncordon:
			t.Deletes = append(t.Deletes, key)
			revoked = append(revoked, a.Executor)
		default:
			continue
		}
		h.logAction(a, "", nil)
	}
	if t.Entries() == 0 {
		return
	}
	h.cordonWrites++
	err := h.txn(ctx, t)
	for _, id := range revoked {
		delete(h.cordons, id) // if the write failed, the cordon may still be stored: syncCordons finds it
	}
	if err == nil {
		return
	}
	h.Logger.Warn("cordons not stored", "entries", t.Entries(), "error", err)
	for _, id := range set {
		delete(h.cordons, id) // planned again; if the write takes effect late, syncCordons finds it
	}
}

// txn makes a write within the term. It retries, since a response may be lost; applying the
// same write twice does no harm.
func (h *Holder) txn(ctx context.Context, t kv.Txn) error {
	t.Conditions = append(t.Conditions, h.term.Condition())
	var err error
	for attempt := 1; attempt <= txnAttempts; attempt++ {
		var result kv.TxnResult
		result, err = h.attempt(ctx, t, attempt)
		if err == nil && !result.Applied {
			h.stepDown()
			return errTermOver
		}
		if err == nil {
			return nil
		}
	}
	return err
}

func (h *Holder) attempt(ctx context.Context, t kv.Txn, number int) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Store.Timeout(number))
	defer cancel()
	return h.Store.Txn(ctx, t)
}

// reportWave publishes the state of a wave to the operator and stores it with the wave's
// progress.
func (h *Holder) reportWave(ctx context.Context, a fleetplan.Action) error {
	status, err := registry.EncodeWaveStatus(a.State)
	if err != nil {
		return err
	}
	progress, err := h.encodeWave(a.Wave, a.State)
	if err != nil {
		return err
	}
	err = h.txn(ctx, kv.Txn{Puts: []kv.Put{
		{Key: registry.WaveStatusKey(a.Wave), Value: status},
		{Key: layout.WaveKey(a.Wave), Value: progress},
	}})
	if err != nil {
		h.planner.WaveReportFailed(a.Wave)
	}
	return err
}

// callMachineService sends a command to the machine service and passes its outcome to the
// planner.
func (h *Holder) callMachineService(ctx context.Context, a fleetplan.Action) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder := machines.Holder{Name: h.Instance, Token: h.term.Token}
	var refusal machines.Refusal
	var err error
	if a.Kind == fleetplan.Maintain {
		refusal, err = h.Machines.Maintain(callCtx, holder, a.Machine, a.Wave)
	} else {
		refusal, err = h.Machines.Move(callCtx, holder, a.Machine, a.Service)
	}
	h.send(func() {
		h.logAction(a, string(refusal), err)
		if refusal == machines.RefusedFenced {
			h.fencedRefusals++
		}
		outcome := outcomeOf(refusal, err)
		h.planner.HandleResult(a, outcome, time.Now())
		if outcome == fleetplan.Accepted && a.Kind == fleetplan.Maintain {
			h.storeWave(ctx, a.Wave)
		}
	})
}

func outcomeOf(refusal machines.Refusal, err error) fleetplan.Outcome {
	switch {
	case err != nil && !kv.NotRun(err):
		return fleetplan.Unknown
	case err != nil || refusal != machines.NotRefused:
		return fleetplan.Refused
	default:
		return fleetplan.Accepted
	}
}

func (h *Holder) encodeWave(number int64, state cluster.WaveState) ([]byte, error) {
	return layout.Encode(layout.WaveProgress{MaintenanceStarted: h.planner.WaveMachinesStarted(number), Reported: state, StartedAt: h.planner.WaveStartedAt(number)})
}

// storeWave stores for which machines of a wave the maintenance has started. A successor
// that loads an older state repeats the command, which then has no effect.
func (h *Holder) storeWave(ctx context.Context, number int64) {
	progress, err := h.encodeWave(number, cluster.WaveRunning)
	if err == nil {
		err = h.txn(ctx, kv.Txn{Puts: []kv.Put{{Key: layout.WaveKey(number), Value: progress}}})
	}
	if err != nil {
		h.Logger.Warn("state of a wave not stored", "wave", number, "error", err)
	}
}

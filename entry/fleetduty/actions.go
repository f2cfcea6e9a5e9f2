package fleetduty

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/machines"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

func (h *Holder) logAction(a fleetplan.Action, outcome string, err error) {
	h.Logger.Info("fleet action", "kind", a.Kind.String(), "machine", string(a.Machine), "executor", string(a.Executor),
		"service", string(a.Service), "wave", a.Wave, "state", string(a.State), "reason", a.Reason, "outcome", outcome, "error", err)
}

// cordonChanges are the changes of cordons in one write.
type cordonChanges struct {
	txn          kv.Txn
	set, revoked []cluster.ExecutorID
}

// setCordons starts to set and revoke the cordons of a plan in one write, unless another one
// is in progress: the planner repeats them. New cordons count as in force at once, revoked
// ones until the write is over.
func (h *Holder) setCordons(ctx context.Context, actions []fleetplan.Action) {
	if h.writingCordons {
		return
	}
	changes := h.collectCordons(actions)
	if changes.txn.Entries() == 0 {
		return
	}
	h.writingCordons = true
	h.cordonWrites++
	go func() {
		err := h.txn(ctx, changes.txn)
		h.send(func() { h.finishCordons(changes, err) })
	}()
}

func (h *Holder) collectCordons(actions []fleetplan.Action) cordonChanges {
	var c cordonChanges
	for _, a := range actions {
		if c.txn.Entries() == kv.MaxTxnEntries-1 {
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
			c.txn.Puts = append(c.txn.Puts, kv.Put{Key: key, Value: value})
			h.cordons[a.Executor] = fleetplan.ActiveCordon{Service: a.Service, ID: id}
			c.set = append(c.set, a.Executor)
		case fleetplan.Uncordon:
			c.txn.Deletes = append(c.txn.Deletes, key)
			c.revoked = append(c.revoked, a.Executor)
		default:
			continue
		}
		h.logAction(a, "", nil)
	}
	return c
}

func (h *Holder) finishCordons(c cordonChanges, err error) {
	h.writingCordons = false
	h.cordonWrites++
	for _, id := range c.revoked {
		delete(h.cordons, id) // if the write failed, the cordon may still be stored: syncCordons finds it
	}
	if err == nil {
		return
	}
	h.Logger.Warn("cordons not stored", "entries", c.txn.Entries(), "error", err)
	for _, id := range c.set {
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

// callMachineService sends a command to the machine service and passes its outcome to the
// planner. The instance may have been suspended since the command was announced, so that the
// term is checked once more.
func (h *Holder) callMachineService(ctx context.Context, a fleetplan.Action) {
	if !h.leaseValid() {
		h.send(func() {
			h.logAction(a, "term-over", nil)
			h.planner.HandleResult(a, fleetplan.Refused, time.Now())
		})
		return
	}
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
			h.waveWrites.changed[a.Wave] = true
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

package fleetduty

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// exhaustedInterval is the time between two writes while services have too few machines.
const exhaustedInterval = shard.MaxExhaustedAge / 3

// maxExhausted bounds how many services one write names; with those that it removes, it stays within
// the entries of a transaction.
const maxExhausted = 15

// exhaustedServices is what was last published about the services for which there are no more
// machines.
type exhaustedServices struct {
	services []cluster.Service
	storedAt time.Time
	storing  bool
}

// publishExhausted states to the owners of services that there are no more machines for them, where
// the operator has configured tenants and late jobs are rejected. If a write fails, the last statement
// expires.
func (h *Holder) publishExhausted(ctx context.Context) {
	config := h.Config()
	if config == nil || !config.Tenancy || !h.RejectLate || h.exhausted.storing {
		return
	}
	services := h.planner.Exhausted()
	services = services[:min(len(services), maxExhausted)]
	changed := !slices.Equal(services, h.exhausted.services)
	age := time.Since(h.exhausted.storedAt)
	if !changed && (len(services) == 0 || age < exhaustedInterval) || changed && age < exhaustedInterval/2 {
		return
	}
	t, err := exhaustedTxn(services, h.exhausted.services)
	if err != nil {
		h.Logger.Error("exhausted services not published", "error", err)
		return
	}
	if changed {
		h.Logger.Info("services for which there are no more machines", "services", services)
	}
	h.exhausted = exhaustedServices{services: services, storedAt: time.Now(), storing: true}
	go func() {
		t.Conditions = []kv.Condition{h.term.Condition()}
		result, err := h.attempt(ctx, t, 1)
		h.send(func() {
			h.exhausted.storing = false
			if err == nil && !result.Applied {
				h.stepDown()
			}
		})
	}()
}

// exhaustedTxn returns the write that states which services are exhausted, and removes the statements
// about those that were before.
func exhaustedTxn(services, before []cluster.Service) (kv.Txn, error) {
	value, err := layout.Encode(layout.Exhausted{AtMs: time.Now().UnixMilli()})
	if err != nil {
		return kv.Txn{}, err
	}
	var t kv.Txn
	for _, service := range services {
		t.Puts = append(t.Puts, kv.Put{Key: layout.ExhaustedKey(service), Value: value})
	}
	for _, service := range before {
		if !slices.Contains(services, service) {
			t.Deletes = append(t.Deletes, layout.ExhaustedKey(service))
		}
	}
	return t, nil
}

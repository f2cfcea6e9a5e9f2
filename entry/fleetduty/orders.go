package fleetduty

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
)

// errTermOver says that another instance may have the duty.
var errTermOver = errors.New("the term is over")

// orderBook is the stored list of machines with orders of the last moments. A
// successor leaves them alone for as long as two holders' orders must be apart. It goes
// by the age of an order when the list was written, since clocks may differ.
type orderBook struct {
	given    map[cluster.MachineID]time.Time // when an order was last given
	revision kv.Revision                     // of the stored list, as far as known
	keep     time.Duration                   // how long an order is listed
	stored   time.Time                       // when the list was written last
}

// bookEvery is the time between two writes of the list while it holds orders.
const bookEvery = 500 * time.Millisecond

// due reports whether the ages in the stored list should be brought up to date.
func (b *orderBook) due(now time.Time) bool {
	return len(b.given) > 0 && now.Sub(b.stored) >= bookEvery
}

// entry returns the list as it is stored, without orders that are old.
func (b *orderBook) entry(now time.Time) layout.RecentCommands {
	maps.DeleteFunc(b.given, func(_ cluster.MachineID, at time.Time) bool { return now.Sub(at) > b.keep })
	orders := layout.RecentCommands{AgesMs: map[cluster.MachineID]int64{}}
	for machine, at := range b.given {
		orders.AgesMs[machine] = now.Sub(at).Milliseconds()
	}
	return orders
}

// announce stores for which machines orders follow. It reports whether they may be
// sent.
func (h *Holder) announce(ctx context.Context, actions []fleetplan.Action) bool {
	now := time.Now()
	ordering := false
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.book.given[a.Machine] = now
			ordering = true
		}
	}
	if !ordering {
		return true
	}
	err := h.storeOrders(ctx, txnAttempts)
	if err == nil {
		return true
	}
	h.Logger.Warn("orders not announced, and so not given", "error", err)
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.planner.HandleResult(a, fleetplan.Refused, now)
		}
	}
	return false
}

// updateOrders brings the ages in the stored list up to date, so that a successor need
// not wait because of old orders.
func (h *Holder) updateOrders(ctx context.Context) {
	if !h.book.due(time.Now()) {
		return
	}
	if err := h.storeOrders(ctx, 1); err != nil {
		h.Logger.Info("list of orders not updated; the next write does it", "error", err)
	}
}

// storeOrders writes the list. It depends on the revision that it replaces: an
// earlier write without an answer can't undo a later one.
func (h *Holder) storeOrders(ctx context.Context, attempts int) error {
	h.book.stored = time.Now()
	value, err := layout.Encode(h.book.entry(h.book.stored))
	if err != nil {
		return err
	}
	for attempt := 1; attempt <= attempts; attempt++ {
		var result kv.TxnResult
		result, err = h.attempt(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: layout.RecentCommandsKey, Revision: h.book.revision}, h.term.Condition()},
			Puts:       []kv.Put{{Key: layout.RecentCommandsKey, Value: value}},
		}, attempt)
		if err != nil {
			continue
		}
		if result.Applied {
			h.book.revision = result.Revision
			return nil
		}
		var stored bool
		if stored, err = h.ordersStand(result.Current, value); stored {
			return nil
		}
		if errors.Is(err, errTermOver) {
			h.lose()
			return err
		}
	}
	return err
}

// ordersStand reads the answer of a write whose conditions did not hold: it reports
// whether the value is stored already, by an attempt whose answer was lost.
func (h *Holder) ordersStand(current []kv.Item, value []byte) (bool, error) {
	stands := kv.Item{}
	ours := false
	for _, item := range current {
		switch item.Key {
		case layout.RecentCommandsKey:
			stands = item
		case h.term.Condition().Key:
			ours = item.Revision == h.term.Condition().Revision
		}
	}
	if !ours {
		return false, errTermOver
	}
	h.book.revision = stands.Revision
	if bytes.Equal(stands.Value, value) {
		return true, nil
	}
	return false, fmt.Errorf("list of orders was at another revision, %d", stands.Revision)
}

// loadOrders keeps the machines alone for which the last holder may have ordered
// something just now.
func (h *Holder) loadOrders(ctx context.Context) error {
	orders, revision, err := read[layout.RecentCommands](ctx, h.Store, layout.RecentCommandsKey)
	if err != nil {
		return err
	}
	h.book.revision = revision
	now := time.Now()
	for machine, age := range orders.AgesMs {
		ordered := now.Add(-time.Duration(age) * time.Millisecond)
		h.book.given[machine] = ordered // for a successor that comes soon
		h.planner.Reserve(machine, ordered.Add(h.HolderGap+holderMargin))
	}
	return nil
}

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
type recentCommands struct {
	sentAt    map[cluster.MachineID]time.Time // when an order was last given
	revision  kv.Revision                     // of the stored list, as far as known
	retention time.Duration                   // how long an order is listed
	storedAt  time.Time                       // when the list was written last
}

// bookEvery is the time between two writes of the list while it holds orders.
const recentCommandsInterval = 500 * time.Millisecond

// due reports whether the ages in the stored list should be brought up to date.
func (b *recentCommands) due(now time.Time) bool {
	return len(b.sentAt) > 0 && now.Sub(b.storedAt) >= recentCommandsInterval
}

// entry returns the list as it is stored, without orders that are old.
func (b *recentCommands) entry(now time.Time) layout.RecentCommands {
	maps.DeleteFunc(b.sentAt, func(_ cluster.MachineID, at time.Time) bool { return now.Sub(at) > b.retention })
	commands := layout.RecentCommands{AgesMs: map[cluster.MachineID]int64{}}
	for machine, at := range b.sentAt {
		commands.AgesMs[machine] = now.Sub(at).Milliseconds()
	}
	return commands
}

// announce stores for which machines orders follow. It reports whether they may be
// sent.
func (h *Holder) announceCommands(ctx context.Context, actions []fleetplan.Action) bool {
	now := time.Now()
	sending := false
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.recent.sentAt[a.Machine] = now
			sending = true
		}
	}
	if !sending {
		return true
	}
	err := h.storeRecentCommands(ctx, txnAttempts)
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
func (h *Holder) refreshRecentCommands(ctx context.Context) {
	if !h.recent.due(time.Now()) {
		return
	}
	if err := h.storeRecentCommands(ctx, 1); err != nil {
		h.Logger.Info("list of orders not updated; the next write does it", "error", err)
	}
}

// storeOrders writes the list. It depends on the revision that it replaces: an
// earlier write without an answer can't undo a later one.
func (h *Holder) storeRecentCommands(ctx context.Context, attempts int) error {
	h.recent.storedAt = time.Now()
	value, err := layout.Encode(h.recent.entry(h.recent.storedAt))
	if err != nil {
		return err
	}
	for attempt := 1; attempt <= attempts; attempt++ {
		var result kv.TxnResult
		result, err = h.attempt(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: layout.RecentCommandsKey, Revision: h.recent.revision}, h.term.Condition()},
			Puts:       []kv.Put{{Key: layout.RecentCommandsKey, Value: value}},
		}, attempt)
		if err != nil {
			continue
		}
		if result.Applied {
			h.recent.revision = result.Revision
			return nil
		}
		var stored bool
		if stored, err = h.alreadyStored(result.Current, value); stored {
			return nil
		}
		if errors.Is(err, errTermOver) {
			h.stepDown()
			return err
		}
	}
	return err
}

// ordersStand reads the answer of a write whose conditions did not hold: it reports
// whether the value is stored already, by an attempt whose answer was lost.
func (h *Holder) alreadyStored(current []kv.Item, value []byte) (bool, error) {
	found := kv.Item{}
	termHeld := false
	for _, item := range current {
		switch item.Key {
		case layout.RecentCommandsKey:
			found = item
		case h.term.Condition().Key:
			termHeld = item.Revision == h.term.Condition().Revision
		}
	}
	if !termHeld {
		return false, errTermOver
	}
	h.recent.revision = found.Revision
	if bytes.Equal(found.Value, value) {
		return true, nil
	}
	return false, fmt.Errorf("list of orders was at another revision, %d", found.Revision)
}

// loadOrders keeps the machines alone for which the last holder may have ordered
// something just now.
func (h *Holder) loadRecentCommands(ctx context.Context) error {
	commands, revision, err := read[layout.RecentCommands](ctx, h.Store, layout.RecentCommandsKey)
	if err != nil {
		return err
	}
	h.recent.revision = revision
	now := time.Now()
	for machine, age := range commands.AgesMs {
		sentAt := now.Add(-time.Duration(age) * time.Millisecond)
		h.recent.sentAt[machine] = sentAt // for a successor that comes soon
		h.planner.Reserve(machine, sentAt.Add(h.HolderGap+holderMargin))
	}
	return nil
}

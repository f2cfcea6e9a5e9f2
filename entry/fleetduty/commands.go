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

// errTermOver is returned when another instance may have the duty.
var errTermOver = errors.New("the term is over")

// recentCommands is the stored list of machines that got a command in the last seconds. A
// successor sends no command to a listed machine before HolderGap, the minimum time between
// the commands of two holders, is over. The list holds the age of each command at the time
// of the write, since the clocks of instances may differ.
type recentCommands struct {
	sentAt    map[cluster.MachineID]time.Time // time of the last command to each machine
	revision  kv.Revision                     // last known revision of the stored list
	retention time.Duration                   // how long a command is listed
	storedAt  time.Time                       // when the list was last written
}

// recentCommandsInterval is the time between two writes of the list while it has entries.
const recentCommandsInterval = 500 * time.Millisecond

// due reports whether the ages in the stored list should be updated.
func (r *recentCommands) due(now time.Time) bool {
	return len(r.sentAt) > 0 && now.Sub(r.storedAt) >= recentCommandsInterval
}

// entry drops commands older than the retention and returns the list as it is stored.
func (r *recentCommands) entry(now time.Time) layout.RecentCommands {
	maps.DeleteFunc(r.sentAt, func(_ cluster.MachineID, at time.Time) bool { return now.Sub(at) > r.retention })
	commands := layout.RecentCommands{AgesMs: map[cluster.MachineID]int64{}}
	for machine, at := range r.sentAt {
		commands.AgesMs[machine] = now.Sub(at).Milliseconds()
	}
	return commands
}

// queueCommands queues the commands of a plan.
func (h *Holder) queueCommands(actions []fleetplan.Action) {
	for _, a := range actions {
		if a.Kind == fleetplan.Move || a.Kind == fleetplan.Maintain {
			h.queued = append(h.queued, a)
		}
	}
}

// announceQueued starts to store which machines are about to get the queued commands, unless
// a write of the list is in progress. The commands are sent when the list is stored.
func (h *Holder) announceQueued(ctx context.Context) {
	if h.announcing || len(h.queued) == 0 {
		return
	}
	commands := h.queued
	h.queued = nil
	now := time.Now()
	for _, a := range commands {
		h.recent.sentAt[a.Machine] = now
	}
	h.storeRecentCommands(ctx, txnAttempts, func(err error) { h.sendAnnounced(ctx, commands, err) })
}

// sendAnnounced sends commands whose announcement has ended with err.
func (h *Holder) sendAnnounced(ctx context.Context, commands []fleetplan.Action, err error) {
	if err == nil {
		for _, a := range commands {
			go h.callMachineService(ctx, a)
		}
		return
	}
	h.Logger.Warn("commands not announced, so not sent", "commands", len(commands), "error", err)
	for _, a := range commands {
		h.planner.HandleResult(a, fleetplan.Refused, time.Now())
	}
}

// refreshRecentCommands updates the ages in the stored list, so that a successor does not
// wait because of old commands.
func (h *Holder) refreshRecentCommands(ctx context.Context) {
	if h.announcing || !h.recent.due(time.Now()) {
		return
	}
	h.storeRecentCommands(ctx, 1, func(err error) {
		if err != nil {
			h.Logger.Info("recent commands not stored; retrying with the next write", "error", err)
		}
	})
}

// storeRecentCommands starts a write of the list and calls done with its outcome. The write
// has the condition that the list still has the last known revision, so that an earlier
// write whose outcome is unknown can't revert a later one.
func (h *Holder) storeRecentCommands(ctx context.Context, attempts int, done func(error)) {
	h.recent.storedAt = time.Now()
	value, err := layout.Encode(h.recent.entry(h.recent.storedAt))
	if err != nil {
		done(err)
		return
	}
	h.announcing = true
	write := listWrite{value: value, revision: h.recent.revision}
	go func() {
		err := h.writeList(ctx, &write, attempts)
		h.send(func() {
			h.announcing = false
			h.recent.revision = write.revision
			if errors.Is(err, errTermOver) {
				h.stepDown()
			}
			done(err)
		})
	}()
}

// listWrite is one write of the list of recent commands.
type listWrite struct {
	value    []byte
	revision kv.Revision // last known revision of the stored list
}

// writeList attempts the write until its outcome is known, and updates its revision.
func (h *Holder) writeList(ctx context.Context, w *listWrite, attempts int) error {
	var err error
	for attempt := 1; attempt <= attempts; attempt++ {
		var result kv.TxnResult
		result, err = h.attempt(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: layout.RecentCommandsKey, Revision: w.revision}, h.term.Condition()},
			Puts:       []kv.Put{{Key: layout.RecentCommandsKey, Value: w.value}},
		}, attempt)
		if err != nil {
			continue
		}
		if result.Applied {
			w.revision = result.Revision
			return nil
		}
		var stored bool
		stored, err = h.alreadyStored(result.Current, w)
		if stored || errors.Is(err, errTermOver) {
			return err
		}
	}
	return err
}

// alreadyStored examines the current items of a write whose conditions failed. It reports
// whether the value is stored already, by an attempt whose response was lost, and updates
// the last known revision of the list.
func (h *Holder) alreadyStored(current []kv.Item, w *listWrite) (bool, error) {
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
	w.revision = found.Revision
	if bytes.Equal(found.Value, w.value) {
		return true, nil
	}
	return false, fmt.Errorf("stored list of recent commands has another revision, %d", found.Revision)
}

// loadRecentCommands reserves the machines to which the previous holder may have sent a
// command recently.
func (h *Holder) loadRecentCommands(ctx context.Context) error {
	commands, revision, err := read[layout.RecentCommands](ctx, h.Store, layout.RecentCommandsKey)
	if err != nil && revision == 0 {
		return err
	}
	h.recent.revision = revision
	now := time.Now()
	if err != nil {
		h.Logger.Error("recent commands not readable: no machine gets a command for a while", "error", err)
		h.planner.ReserveAll(now.Add(h.HolderGap + holderMargin))
		return nil
	}
	for machine, age := range commands.AgesMs {
		sentAt := now.Add(-time.Duration(age) * time.Millisecond)
		h.recent.sentAt[machine] = sentAt // stays listed in case of another takeover soon
		h.planner.Reserve(machine, sentAt.Add(h.HolderGap+holderMargin))
	}
	return nil
}

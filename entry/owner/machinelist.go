package owner

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// machineListInterval is the minimum time between two requests for the machine list.
	machineListInterval = 500 * time.Millisecond
	// machineListShare is the share of the link that these requests may take. Where the link is slow, they are
	// further apart.
	machineListShare = 0.1
	// machineListTimeout bounds one request for the machine list, of all its pages.
	machineListTimeout = 1500 * time.Millisecond
)

// machineListRequests is the state of an owner's requests for the machine list.
type machineListRequests struct {
	inFlight    bool
	requestedAt time.Time       // when the last one was sent
	bytes       int             // length of the last list
	incomplete  *follow.Skipped // why the last list is incomplete, for the log
}

// requestMachineList requests the machine list in the background if it could show that
// unresponsive executors have ended. There is one request at a time.
func (o *Owner) requestMachineList(now time.Time) {
	if o.Machines == nil || o.machineList.inFlight {
		return
	}
	interval := max(machineListInterval, o.Link.Interval(o.machineList.bytes, machineListShare))
	due := now.Sub(o.machineList.requestedAt) >= interval
	if !due || !o.shard.NeedsMachineList(now) {
		return
	}
	o.machineList.inFlight, o.machineList.requestedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, machineListTimeout)
		defer cancel()
		machines, err := o.Machines.List(ctx)
		o.send(func(now time.Time) { o.handleMachineList(machines, err, now) })
	}()
}

// handleMachineList applies a machine list. Without a complete one, the runs on executors that have
// ended are discarded when their leases have expired.
func (o *Owner) handleMachineList(machines cluster.MachineList, err error, now time.Time) {
	o.machineList.inFlight = false
	if err != nil {
		o.Logger.Warn("machines not listed; leases of unresponsive executors have to expire", "error", err)
		return
	}
	o.machineList.bytes = machines.Bytes
	o.logIncomplete(machines.Incomplete)
	list := shard.NewMachineList(machines.Machines, o.machineList.requestedAt)
	list.Incomplete = machines.Incomplete != nil
	for _, id := range o.shard.ApplyMachineList(list) {
		o.Logger.Info("executor has ended: no machine has it", "executor", string(id), "list_age_ms", now.Sub(list.RequestedAt).Milliseconds())
	}
}

// logIncomplete logs why a machine list is incomplete, once while the lists stay so.
func (o *Owner) logIncomplete(reason error) {
	if o.machineList.incomplete == nil {
		o.machineList.incomplete = follow.NewSkipped(o.Logger, "the machine list is incomplete; leases of unresponsive executors have to expire")
	}
	reasons := map[string]error{}
	if reason != nil {
		reasons[""] = reason
	}
	o.machineList.incomplete.Replace(reasons)
	o.machineList.incomplete.Log()
}

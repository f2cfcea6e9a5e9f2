package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// hangingMachines is a machine service that never responds.
type hangingMachines struct{ calls atomic.Int64 }

func (m *hangingMachines) List(ctx context.Context) (cluster.MachineList, error) {
	m.calls.Add(1)
	<-ctx.Done()
	return cluster.MachineList{}, ctx.Err()
}

// A machine service that hangs delays neither the loop nor the fallback on leases, and has one
// request at a time.
func TestHangingMachineServiceDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &hangingMachines{}
		took, started := runOwner(newOwnerWithLostExecutor(t.Context(), m), 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, took > 10*time.Second && took < 12*time.Second, "started again after %s", took)
		assert.Assert(t, m.calls.Load() <= int64(took/machineListTimeout)+1, "%d requests in %s", m.calls.Load(), took)
		time.Sleep(machineListTimeout) // the last request ends
	})
}

// A list that is requested before it can count for an unresponsive executor is a reading of the
// limited rate that is spent for nothing.
func TestNoMachineListIsRequestedBeforeItCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{machines: []cluster.Machine{{ID: "m-1", Executor: "i-1"}, {ID: "m-2", Executor: "i-2"}}}
		_, started := runOwner(newOwnerWithLostExecutor(t.Context(), m), 900*time.Millisecond)
		assert.Assert(t, !started)
		assert.Equal(t, m.calls, 0)
	})
}

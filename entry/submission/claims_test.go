package submission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	standin "github.com/tarragonreach/tarragonreach/platform/memory"
)

// TestSubmissionBurstStaysWithinStoreBudget offers far more submissions than the
// budget has calls.
func TestSubmissionBurstStaysWithinStoreBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		const seconds, perSecond = 5, 500
		var granted, refused atomic.Int64
		var group sync.WaitGroup
		for i := range seconds * perSecond {
			group.Go(func() {
				permit, err := f.local.Begin(t.Context(), tenantKey(fmt.Sprint(i)), 1)
				if err == nil {
					permit.Finish(ran)
					granted.Add(1)
					return
				}
				assert.Check(t, verdict.CodeOf(err) == verdict.CodeClaimCapacity, "%v", err)
				assert.Check(t, verdict.Of(err) == verdict.NotRun)
				refused.Add(1)
			})
			time.Sleep(time.Second / perSecond)
		}
		calls := f.platform.Calls()
		group.Wait()
		assert.Assert(t, calls.Reads+calls.Writes <= DefaultCallBurst+seconds*DefaultCallsPerSecond)
		assert.Assert(t, refused.Load() > 0)
		assert.Assert(t, granted.Load() >= seconds*DefaultCallsPerSecond, "%d granted", granted.Load())
	})
}

func TestClaimLastsItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(o *Options) { o.MemoryRetention = time.Second })
		key := tenantKey("order-1")
		time.Sleep(DefaultRetention / leaseRotations * 9 / 10) // the worst case is a lease near the end of its rotation
		mustBegin(t, f.local, tenantKey("order-0")).Finish(ran)
		time.Sleep(DefaultRetention / leaseRotations * 9 / 10)
		mustBegin(t, f.local, key).Finish(ran)
		time.Sleep(DefaultRetention - time.Second)
		_, err := f.remote.Begin(t.Context(), key, 2)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeDuplicate)
		time.Sleep(DefaultRetention / leaseRotations * 3)
		mustBegin(t, f.remote, key)
	})
}

func TestExpiredLeaseIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		mustBegin(t, f.local, tenantKey("order-1")).Finish(ran)
		f.platform.ExpireLeases()
		mustBegin(t, f.local, tenantKey("order-2")).Finish(ran)
	})
}

func TestClaimIsRefusedAfterPauseDuringAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		f := newFixture(t, func(o *Options) {
			o.Now = func() time.Time { return now }
		})
		lease, err := f.local.claims.lease(t.Context())
		assert.NilError(t, err)
		now = now.Add(DefaultRetention) // the instance was paused after it chose the lease
		a := &acquirer{claims: f.local.claims, key: tenantKey("order-1")}
		_, err = a.confirmHeld(1, lease)
		assert.ErrorIs(t, err, errTooSlow)
	})
}

func TestUnavailableStoreRefusesWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.platform.SetFaults(standin.Faults{Latency: time.Hour})
		for i := range breakerFailures + 1 {
			_, err := f.local.Begin(t.Context(), tenantKey(fmt.Sprint(i)), 1)
			assert.Equal(t, verdict.CodeOf(err), verdict.CodeClaimUnavailable)
		}
		before := time.Now()
		_, err := f.local.Begin(t.Context(), tenantKey("quick"), 1)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeClaimUnavailable)
		assert.Equal(t, time.Since(before), time.Duration(0))
		f.platform.SetFaults(standin.Faults{})
		time.Sleep(breakerPause)
		mustBegin(t, f.local, tenantKey("back"))
	})
}

func TestCloseRemovesClaimsOfSubmissionsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		key := tenantKey("order-1")
		permit := mustBegin(t, f.local, key)
		f.local.background.cancel() // nothing is cleaned up before Close
		synctest.Wait()
		permit.Finish(outcomeNotRun)
		f.local.Close(context.Background())
		f.network.remove("entry-local")
		mustBegin(t, f.remote, key)
	})
}

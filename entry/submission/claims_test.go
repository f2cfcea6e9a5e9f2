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

// TestWaveOfSubmissionsLeavesTheStoreFree offers far more submissions than the
// budget has calls.
func TestWaveOfSubmissionsLeavesTheStoreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		const seconds, perSecond = 5, 500
		var passed, refused atomic.Int64
		var group sync.WaitGroup
		for i := range seconds * perSecond {
			group.Go(func() {
				pass, err := b.here.Begin(t.Context(), tenantKey(fmt.Sprint(i)), 1)
				if err == nil {
					pass.Finish(ran)
					passed.Add(1)
					return
				}
				assert.Check(t, verdict.CodeOf(err) == verdict.CodeClaimCapacity, "%v", err)
				assert.Check(t, verdict.Of(err) == verdict.NotRun)
				refused.Add(1)
			})
			time.Sleep(time.Second / perSecond)
		}
		calls := b.platform.Calls()
		group.Wait()
		assert.Assert(t, calls.Reads+calls.Writes <= DefaultCallBurst+seconds*DefaultCallsPerSecond)
		assert.Assert(t, refused.Load() > 0)
		assert.Assert(t, passed.Load() >= seconds*DefaultCallsPerSecond, "%d passed", passed.Load())
	})
}

func TestClaimLastsItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *Options) { o.MemoryRetention = time.Second })
		key := tenantKey("order-1")
		time.Sleep(DefaultRetention / leaseRotations * 9 / 10) // a lease that is nearly used up is worst
		mustBegin(t, b.here, tenantKey("order-0")).Finish(ran)
		time.Sleep(DefaultRetention / leaseRotations * 9 / 10)
		mustBegin(t, b.here, key).Finish(ran)
		time.Sleep(DefaultRetention - time.Second)
		_, err := b.there.Begin(t.Context(), key, 2)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeDuplicate)
		time.Sleep(DefaultRetention / leaseRotations * 3)
		mustBegin(t, b.there, key)
	})
}

func TestLeaseThatLapsedIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		mustBegin(t, b.here, tenantKey("order-1")).Finish(ran)
		b.platform.ExpireLeases()
		mustBegin(t, b.here, tenantKey("order-2")).Finish(ran)
	})
}

func TestPauseDuringAClaimRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		b := newBench(t, func(o *Options) {
			o.Now = func() time.Time { return now }
		})
		lease, err := b.here.claims.lease(t.Context())
		assert.NilError(t, err)
		now = now.Add(DefaultRetention) // the instance stood still after it chose the lease
		a := &attempt{claims: b.here.claims, key: tenantKey("order-1")}
		_, err = a.own(1, lease)
		assert.ErrorIs(t, err, errTooSlow)
	})
}

func TestStoreThatIsOutIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		b.platform.SetFaults(standin.Faults{Latency: time.Hour})
		for i := range breakerFailures + 1 {
			_, err := b.here.Begin(t.Context(), tenantKey(fmt.Sprint(i)), 1)
			assert.Equal(t, verdict.CodeOf(err), verdict.CodeClaimUnavailable)
		}
		before := time.Now()
		_, err := b.here.Begin(t.Context(), tenantKey("quick"), 1)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeClaimUnavailable)
		assert.Equal(t, time.Since(before), time.Duration(0))
		b.platform.SetFaults(standin.Faults{})
		time.Sleep(breakerPause)
		mustBegin(t, b.here, tenantKey("back"))
	})
}

func TestCloseReleasesWhatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		key := tenantKey("order-1")
		pass := mustBegin(t, b.here, key)
		b.here.background.cancel() // nothing is cleaned up before Close
		synctest.Wait()
		pass.Finish(notRun)
		b.here.Close(context.Background())
		b.network.remove("entry-here")
		mustBegin(t, b.there, key)
	})
}

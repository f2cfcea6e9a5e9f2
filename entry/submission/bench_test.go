package submission

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
	standin "github.com/tarragonreach/tarragonreach/platform/memory"
)

// naiveTickets is the baseline: random tickets in one map under one lock, which
// remembers every ticket from its minting on.
type naiveTickets struct {
	mu   sync.Mutex
	used map[string]bool
}

func (n *naiveTickets) mint() string {
	ticket := rand.Text()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.used[ticket] = false
	return ticket
}

func (n *naiveTickets) redeem(ticket string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	used, known := n.used[ticket]
	n.used[ticket] = true
	return known && !used
}

// BenchmarkSubmissionTicket mints tickets of which one in eight is used.
func BenchmarkSubmissionTicket(b *testing.B) {
	const usedOneIn = 8
	b.Run("deduplicator", func(b *testing.B) {
		d, err := New(Options{Self: "entry-1", MaxRecords: 1 << 30})
		assert.NilError(b, err)
		defer d.Close(b.Context())
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for n := 0; pb.Next(); n++ {
				ticket := d.NextTicket("magnolia")
				if n%usedOneIn != 0 {
					continue
				}
				permit, err := d.Begin(b.Context(), Key{"magnolia", ticket}, 1)
				if err != nil {
					b.Error(err)
					return
				}
				permit.Finish(ran)
			}
		})
		b.ReportMetric(float64(d.Records())/float64(b.N), "records/ticket")
	})
	b.Run("naive-map", func(b *testing.B) {
		n := &naiveTickets{used: map[string]bool{}}
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				ticket := n.mint()
				if i%usedOneIn == 0 && !n.redeem(ticket) {
					b.Error("refused")
					return
				}
			}
		})
		b.ReportMetric(float64(len(n.used))/float64(b.N), "records/ticket")
	})
}

// BenchmarkSubmissionRecord measures the memory taken by one remembered submission
// without its response.
func BenchmarkSubmissionRecord(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		m := newMemory(2*records, 0)
		now := time.Now()
		before := heapBytes()
		for i := range records {
			key, grant := Key{"magnolia", fmt.Sprintf("order-2026-%d", i)}, newGrant()
			m.begin(beginParams{key: key, grant: grant, expires: now.Add(time.Hour)}, now)
			m.end(key, grant, ran, now)
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(m.size()), "B/record")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const (
	claimInstances = 8
	claimSeconds   = 3
	// offeredPerSecond is the number of submissions offered to each entry instance.
	offeredPerSecond = 200
	// otherWritesPerSecond is the number of store writes for other purposes, such as
	// lease renewals.
	otherWritesPerSecond = 50
)

// BenchmarkSubmissionClaims offers eight entry instances far more submissions than
// the store accepts writes, while other writes reach the store as well.
func BenchmarkSubmissionClaims(b *testing.B) {
	b.Run("budget", func(b *testing.B) {
		for b.Loop() {
			measureClaims(b, Options{})
		}
	})
	b.Run("naive-no-budget", func(b *testing.B) {
		for b.Loop() {
			measureClaims(b, Options{CallsPerSecond: 1e6, CallBurst: 1e6})
		}
	})
}

func measureClaims(b *testing.B, options Options) {
	store := standin.New(time.Now)
	store.SetFaults(standin.Faults{RateLimited: true})
	options.Store = store
	var claimed, otherWrites, refusedOtherWrites atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), claimSeconds*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i := range claimInstances {
		options.Self = fleet.InstanceID(fmt.Sprintf("entry-%d", i))
		d, err := New(options)
		assert.NilError(b, err)
		defer d.Close(ctx)
		group.Go(func() { offerSubmissions(ctx, d, &group, &claimed) })
	}
	group.Go(func() {
		every(ctx, time.Second/otherWritesPerSecond, func(n int) {
			otherWrites.Add(1)
			if _, err := store.Create(ctx, fmt.Sprintf("other/%d", n), nil, 0); errors.Is(err, platform.ErrRateLimited) {
				refusedOtherWrites.Add(1)
			}
		})
	})
	group.Wait()
	b.ReportMetric(float64(claimed.Load())/claimSeconds, "claims/s")
	b.ReportMetric(float64(store.Calls().Writes)/claimSeconds, "store-writes/s")
	b.ReportMetric(100*float64(refusedOtherWrites.Load())/float64(otherWrites.Load()), "%-of-other-writes-refused")
}

func offerSubmissions(ctx context.Context, d *Deduplicator, group *sync.WaitGroup, claimed *atomic.Int64) {
	every(ctx, time.Second/offeredPerSecond, func(n int) {
		group.Go(func() {
			key := Key{"magnolia", fmt.Sprintf("%s-%d", d.mint.self, n)}
			if permit, err := d.Begin(ctx, key, 1); err == nil {
				claimed.Add(1)
				permit.Finish(ran)
			}
		})
	})
}

// every calls do once per interval until ctx ends; n counts the calls from zero.
func every(ctx context.Context, interval time.Duration, do func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			do(n)
		case <-ctx.Done():
			return
		}
	}
}

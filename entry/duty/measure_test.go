package duty

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// Bounds on calls to the store per second: a tenth of its rate limits.
const (
	readsBound  = memory.ReadsPerSecond / 10
	writesBound = memory.WritesPerSecond / 10
)

// dutyFleet is a number of entry instances that share the duties of their zones.
type dutyFleet struct {
	zones, perZone, duties int
	// candidates is how many instances of each zone try to acquire duties; zero means all.
	candidates int
}

// dutyRates holds calls to the store per second.
type dutyRates struct{ reads, writes float64 }

// rates measures the fleet for ten minutes of virtual time.
func (f dutyFleet) rates(t *testing.T) dutyRates {
	var out dutyRates
	synctest.Test(t, func(t *testing.T) {
		const warmUp, window = time.Minute, 10 * time.Minute
		ctx, cancel := context.WithCancel(t.Context())
		p := memory.New(time.Now)
		f.start(ctx, p)
		time.Sleep(warmUp)
		before := p.Calls()
		time.Sleep(window)
		after := p.Calls()
		out.reads = float64(after.Reads-before.Reads) / window.Seconds()
		out.writes = float64(after.Writes-before.Writes) / window.Seconds()
		cancel()
		synctest.Wait()
	})
	return out
}

func (f dutyFleet) start(ctx context.Context, p *memory.Platform) {
	for zone := range f.zones {
		for i := range f.perZone {
			l := New(p, Options{
				Self:      fleet.InstanceID(fmt.Sprintf("%d-%d", zone, i)),
				Zone:      fleet.AvailabilityZone(fmt.Sprint(zone)),
				Candidate: func() bool { return f.candidates == 0 || i < f.candidates },
			})
			for duty := range f.duties {
				go l.Run(ctx, fmt.Sprint(duty), func(ctx context.Context, _ Term) { <-ctx.Done() })
			}
		}
	}
}

// targetFleet has the 13 availability zones of the target size.
var targetFleet = dutyFleet{zones: 13, perZone: 5, duties: 3, candidates: 2}

func TestDutiesKeepWithinTheStoresRates(t *testing.T) {
	got := targetFleet.rates(t)
	assert.Assert(t, got.reads <= readsBound, "%.1f reads per second, bound %d", got.reads, readsBound)
	assert.Assert(t, got.writes <= writesBound, "%.1f writes per second, bound %d", got.writes, writesBound)
}

// BenchmarkConfigurationDuties reports the store calls per second for the duties of all
// availability zones, in virtual time. In the baseline every entry instance is a candidate.
func BenchmarkConfigurationDuties(b *testing.B) {
	currentFleet := dutyFleet{zones: 4, perZone: 2, duties: 3, candidates: 2}
	for _, f := range []dutyFleet{currentFleet, targetFleet} {
		name := fmt.Sprintf("nodes=%d", f.zones*f.perZone)
		baseline := f
		baseline.candidates = 0
		b.Run(name, func(b *testing.B) { f.report(b) })
		b.Run(name+"-baseline", func(b *testing.B) { baseline.report(b) })
	}
}

func (f dutyFleet) report(b *testing.B) {
	var got dutyRates
	run := []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { got = f.rates(t) }}}
	all := func(string, string) (bool, error) { return true, nil }
	for range b.N {
		if !testing.RunTests(all, run) {
			b.Fatal("the run failed")
		}
	}
	b.ReportMetric(got.reads, "reads/s")
	b.ReportMetric(got.writes, "writes/s")
	b.ReportMetric(0, "ns/op")
}

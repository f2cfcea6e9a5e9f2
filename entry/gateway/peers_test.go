package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/policy/routing"
	"gotest.tools/v3/assert"
)

func entryInstance(id string, zone fleet.AvailabilityZone) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(id), Kind: fleet.KindEntry, Zone: zone, Address: id}
}

func TestSlotsAreAllocatedBySummaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{instances: []fleet.Instance{executorInstance("a", "z1"), executorInstance("b", "z1"),
			entryInstance("e1", "z1"), entryInstance("e2", "z1"), entryInstance("far", "z2")}}
		d := directory.New(directory.Options{List: list})
		d.SetConfig(testConfig())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = d.Run(ctx) // Polls once.
		g := New(Options{Self: "e1", Zone: "z1", Directory: d, Transport: sendFunc(respondOK)})
		live := g.table.Load().services["sportello"].live
		assert.Assert(t, live.Capacity() < 16, "equal shares without summaries, %d", live.Capacity())

		setPeerDemand := func(demand int) {
			g.SetPeerLoads([]routing.PeerLoad{{Peer: "e2", Services: []routing.ServiceLoad{{Service: "sportello", Demand: demand}}}, {Peer: "far"}})
			time.Sleep(time.Second)
			g.tick(time.Now(), false)
		}
		setPeerDemand(100)
		busy := live.Capacity()
		setPeerDemand(0)
		assert.Assert(t, live.Capacity() > busy, "%d with a busy peer, %d with an idle one", busy, live.Capacity())
	})
}

func TestSummaryIsKeptUntilDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGateway(respondOK, nil)
		first := g.LoadSummary()
		assert.Equal(t, len(first.Services), 0)
		for range 200 {
			call(g, "GET", "/s/sportello/x", "")
			time.Sleep(5 * time.Millisecond)
			g.tick(time.Now(), false)
		}
		assert.Equal(t, len(g.LoadSummary().Services), 0, "peers have only just received the first")
		time.Sleep(routing.SummaryInterval)
		assert.Equal(t, g.LoadSummary().Services[0].Service, "sportello")
	})
}

// TestLargeLoadChangeIsPublishedAtOnce guards against keeping each summary for two
// seconds whatever the load: slots would stay with an entry instance that has lost its
// callers.
func TestLargeLoadChangeIsPublishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGateway(respondOK, nil)
		g.LoadSummary()
		time.Sleep(routing.PropagationDelay)
		for range 100 {
			for range 20 {
				call(g, "GET", "/s/sportello/x", "")
			}
			time.Sleep(10 * time.Millisecond)
			g.tick(time.Now(), false)
		}
		published := g.LoadSummary()
		assert.Equal(t, len(published.Services), 1)
		ownDemand := func() int { return g.demands(g.table.Load().snapshot, "sportello")[0].Slots }
		assert.Equal(t, ownDemand(), 0, "counted before the peers have received it")
		time.Sleep(routing.PropagationDelay)
		assert.Equal(t, ownDemand(), published.Services[0].Demand)
	})
}

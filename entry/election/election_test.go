package election

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// A process is killed while it holds a duty, and restarted at once: the lease of the killed
// process does not delay the next term. Keys of other instances are not removed.
func TestRestartedInstanceReleasesItsEarlierDuties(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	holder, err := layout.Encode(layout.Holder{Instance: "n-1", Term: "earlier"})
	assert.NilError(t, err)
	client := kv.New(strings.TrimPrefix(server.URL, "http://"))
	lease, err := client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	stale, err := client.Txn(t.Context(), kv.Txn{Puts: []kv.Put{{Key: layout.OwnerKey(layout.FleetDuty), Value: holder, Lease: lease.ID}}})
	assert.NilError(t, err)
	otherHolder, err := layout.Encode(layout.Holder{Instance: "n-3", Term: "present"})
	assert.NilError(t, err)
	kept, err := client.Txn(t.Context(), kv.Txn{Puts: []kv.Put{{Key: layout.OwnerKey(layout.ServiceDuty("a")), Value: otherHolder, Lease: lease.ID}}}) // listed before the key of "fleet"
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	terms := make(chan Term, 2)
	startInstance := func(instance fleet.InstanceID) {
		e := New(kv.New(strings.TrimPrefix(server.URL, "http://")), instance, "a", 1, slog.New(slog.DiscardHandler))
		go e.Follow(ctx)
		go e.Campaign(ctx, layout.FleetDuty, func(ctx context.Context, term Term) {
			terms <- term
			<-ctx.Done()
		})
	}
	startInstance("n-2")
	startInstance("n-1")
	term := <-terms // of either instance
	assert.Assert(t, term.Revision > stale.Revision)
	item, found := store.Get(layout.OwnerKey(layout.ServiceDuty("a")))
	assert.Assert(t, found)
	assert.Equal(t, item.Revision, kept.Revision)
}

// In a zone of many small instances and few larger ones, a duty goes to one of the larger
// ones, even if each of them holds two already.
func TestInstancesWithLittleCPUCapacityClaimLast(t *testing.T) {
	large := New(nil, "n-1", "a", 0.8, slog.New(slog.DiscardHandler))
	small := New(nil, "n-2", "a", 0.19, slog.New(slog.DiscardHandler))
	assert.Assert(t, small.baseClaimDelay(0) > large.baseClaimDelay(2))
	assert.Assert(t, large.baseClaimDelay(0) == 0)
}

// Another writer leaves an entry in the place of a duty's holder, before an instance campaigns for it or
// while one holds it. It has no lease that expires, whether it can be read or not: without its removal,
// nobody would ever hold the duty again.
func TestHolderWithoutALeaseKeepsADutyForEver(t *testing.T) {
	for _, odd := range []string{"", "[]", "\xff", `{"instance":7}`, strings.Repeat("[", 100_000), "{}", `{"instance":"n-9","term":"other"}`} {
		store := standin.NewStore()
		server := httptest.NewServer(store)
		store.Put(layout.OwnerKey(layout.FleetDuty), []byte(odd))
		ctx, cancel := context.WithCancel(t.Context())
		terms := make(chan Term, 2)
		e := New(kv.New(strings.TrimPrefix(server.URL, "http://")), "n-1", "a", 1, slog.New(slog.DiscardHandler))
		go e.Follow(ctx)
		go e.Campaign(ctx, layout.FleetDuty, func(ctx context.Context, term Term) {
			terms <- term
			<-ctx.Done()
		})
		first := <-terms
		item, found := store.Get(layout.OwnerKey(layout.FleetDuty))
		assert.Assert(t, found)
		assert.Equal(t, item.Revision, first.Revision)

		overwritten := store.Put(layout.OwnerKey(layout.FleetDuty), []byte(odd)) // loses its lease
		for found := true; found; item, found = store.Get(layout.OwnerKey(layout.FleetDuty)) {
			if item.Revision > overwritten {
				break
			}
			time.Sleep(time.Millisecond)
		}
		cancel()
		server.CloseClientConnections()
		server.Close()
	}
}

package submission

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	standin "github.com/tarragonreach/tarragonreach/platform/memory"
)

// fixture is two deduplicators on one platform.
type fixture struct {
	platform *standin.Platform
	network  *network
	local    *Deduplicator
	remote   *Deduplicator
}

func newFixture(t *testing.T, change func(*Options)) *fixture {
	f := &fixture{platform: standin.New(time.Now), network: newNetwork(1)}
	f.local = f.start(t, "entry-local", change)
	f.remote = f.start(t, "entry-remote", change)
	return f
}

func (f *fixture) start(t *testing.T, id fleet.InstanceID, change func(*Options)) *Deduplicator {
	t.Helper()
	peers := endpoint{f.network, id}
	options := Options{Self: id, Store: f.platform, Peers: peers}
	if change != nil {
		change(&options)
	}
	d, err := New(options)
	assert.NilError(t, err)
	d.Register(peers)
	t.Cleanup(func() { d.Close(context.Background()) })
	return d
}

func tenantKey(value string) Key { return Key{Tenant: "agrisportello", Value: value} }

func mustBegin(t *testing.T, d *Deduplicator, key Key) Permit {
	t.Helper()
	permit, err := d.Begin(t.Context(), key, 1)
	assert.NilError(t, err)
	return permit
}

var ran = Outcome{
	Verdict: verdict.Ran,
	Status:  http.StatusCreated,
	Header:  http.Header{"Content-Type": {"text/plain"}},
	Body:    []byte("accepted"),
}

// TestRefusals checks the code and the verdict of every refusal.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(t *testing.T, f *fixture) Key
		attempt int
		code    verdict.Code
		verdict verdict.Verdict
	}{
		{"empty key", func(*testing.T, *fixture) Key { return tenantKey("") }, 2, verdict.CodeBadRequest, verdict.NotRun},
		{"long key", func(*testing.T, *fixture) Key { return tenantKey(strings.Repeat("k", MaxKeyBytes+1)) }, 2, verdict.CodeBadRequest, verdict.NotRun},
		{"malformed ticket", func(*testing.T, *fixture) Key { return tenantKey(TicketPrefix + "x") }, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"another tenant's ticket", otherTenantsTicket, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"forged ticket", forgedTicket, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"expired ticket, first attempt", ticketExpired, 1, verdict.CodeTicketInvalid, verdict.NotRun},
		{"expired ticket, second attempt", ticketExpired, 2, verdict.CodeTicketInvalid, verdict.MayHaveRun},
		{"expired ticket that was released", ticketExpiredReleased, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"ticket in progress", ticketInProgress, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"ticket that ran", ticketRan, 1, verdict.CodeDuplicate, verdict.Ran},
		{"ticket that ran at its remote minter", ticketRanRemotely, 1, verdict.CodeDuplicate, verdict.Ran},
		{"minter unreachable, first attempt", minterPartitioned, 0, verdict.CodeTicketMinterUnreachable, verdict.NotRun},
		{"minter unreachable, second attempt", minterPartitioned, 2, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"minter unreachable, seen before", minterPartitionedSeen, 1, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"minter replaced, first attempt", minterReplacedSameID, 1, verdict.CodeTicketMinterUnreachable, verdict.NotRun},
		{"minter replaced, second attempt", minterReplacedSameID, 2, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"store unavailable, first attempt", storeDown, 1, verdict.CodeClaimUnavailable, verdict.NotRun},
		{"store unavailable, second attempt", storeDown, 2, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"store unavailable, seen before, no attempt count", storeDownSeen, 0, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"store too slow", storeSlow, 2, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"budget exhausted, first attempt", budgetExhausted, 1, verdict.CodeClaimCapacity, verdict.NotRun},
		{"budget exhausted, second attempt", budgetExhausted, 2, verdict.CodeClaimCapacity, verdict.MayHaveRun},
		{"key in progress", keyInProgress, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key in progress at the remote instance", keyInProgressRemotely, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key that ran at the remote instance", keyRanRemotely, 1, verdict.CodeDuplicate, verdict.Ran},
		{"key that ran at an instance replaced since", keyRanAtReplaced, 1, verdict.CodeDuplicate, verdict.Ran},
		{"key not run at an instance replaced before its clean-up", keyReleasedAtReplaced, 2, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key in progress at an instance replaced since", keyInProgressAtReplaced, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil)
				key := c.arrange(t, f)
				_, err := f.local.Begin(t.Context(), key, c.attempt)
				assert.Equal(t, verdict.CodeOf(err), c.code, "%v", err)
				assert.Equal(t, verdict.Of(err), c.verdict, "%v", err)
			})
		})
	}
}

func otherTenantsTicket(_ *testing.T, f *fixture) Key {
	return tenantKey(f.local.NextTicket("magnolia"))
}

func forgedTicket(t *testing.T, f *fixture) Key {
	forged, err := decodeTicket(f.local.NextTicket("agrisportello"))
	assert.NilError(t, err)
	forged.expiry += 60
	return tenantKey(forged.encode())
}

func ticketExpired(_ *testing.T, f *fixture) Key {
	key := tenantKey(f.local.NextTicket("agrisportello"))
	time.Sleep(DefaultTicketLifetime + time.Second)
	return key
}

func ticketExpiredReleased(t *testing.T, f *fixture) Key {
	key := tenantKey(f.local.NextTicket("agrisportello"))
	mustBegin(t, f.local, key).Finish(outcomeNotRun)
	time.Sleep(DefaultTicketLifetime + time.Second)
	return key
}

func ticketInProgress(t *testing.T, f *fixture) Key {
	key := tenantKey(f.local.NextTicket("agrisportello"))
	mustBegin(t, f.local, key)
	return key
}

func ticketRan(t *testing.T, f *fixture) Key {
	key := tenantKey(f.local.NextTicket("agrisportello"))
	mustBegin(t, f.local, key).Finish(ran)
	return key
}

func ticketRanRemotely(t *testing.T, f *fixture) Key {
	key := tenantKey(f.remote.NextTicket("agrisportello"))
	mustBegin(t, f.remote, key).Finish(ran)
	return key
}

func minterPartitioned(_ *testing.T, f *fixture) Key {
	f.network.setPartitioned("entry-remote", true)
	return tenantKey(f.remote.NextTicket("agrisportello"))
}

func minterPartitionedSeen(t *testing.T, f *fixture) Key {
	key := minterPartitioned(t, f)
	_, err := f.local.Begin(t.Context(), key, 1)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	return key
}

func minterReplacedSameID(t *testing.T, f *fixture) Key {
	key := tenantKey(f.remote.NextTicket("agrisportello"))
	f.start(t, "entry-remote", nil)
	return key
}

func storeDown(_ *testing.T, f *fixture) Key {
	f.platform.SetFaults(standin.Faults{Down: true})
	return tenantKey("order-1")
}

func storeDownSeen(t *testing.T, f *fixture) Key {
	key := storeDown(t, f)
	_, err := f.local.Begin(t.Context(), key, 0)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	return key
}

func storeSlow(_ *testing.T, f *fixture) Key {
	f.platform.SetFaults(standin.Faults{Latency: time.Minute})
	return tenantKey("order-1")
}

func budgetExhausted(_ *testing.T, f *fixture) Key {
	f.local.SetBudget(0, 0)
	return tenantKey("order-1")
}

func keyInProgress(t *testing.T, f *fixture) Key {
	mustBegin(t, f.local, tenantKey("order-1"))
	return tenantKey("order-1")
}

func keyInProgressRemotely(t *testing.T, f *fixture) Key {
	mustBegin(t, f.remote, tenantKey("order-1"))
	return tenantKey("order-1")
}

func keyRanRemotely(t *testing.T, f *fixture) Key {
	mustBegin(t, f.remote, tenantKey("order-1")).Finish(ran)
	return tenantKey("order-1")
}

func keyRanAtReplaced(t *testing.T, f *fixture) Key {
	key := keyRanRemotely(t, f)
	synctest.Wait() // until the outcome is written to the claim
	f.network.remove("entry-remote")
	return key
}

func keyReleasedAtReplaced(t *testing.T, f *fixture) Key {
	permit := mustBegin(t, f.remote, tenantKey("order-1"))
	f.remote.background.cancel()
	synctest.Wait()
	permit.Finish(outcomeNotRun)
	f.network.remove("entry-remote")
	return tenantKey("order-1")
}

func keyInProgressAtReplaced(t *testing.T, f *fixture) Key {
	key := keyInProgressRemotely(t, f)
	f.network.remove("entry-remote")
	return key
}

func TestDuplicateReturnsFirstResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		for _, key := range []Key{keyRanRemotely(t, f), ticketRanRemotely(t, f)} {
			for _, d := range []*Deduplicator{f.remote, f.local, f.local} {
				_, err := d.Begin(t.Context(), key, 2)
				want := &FirstCopy{State: "ended", Status: ran.Status, ContentType: "text/plain", Body: ran.Body}
				assert.DeepEqual(t, FirstCopyOf(err), want)
			}
		}
	})
}

func TestSubmissionNotRunMayBeginAgainOnAnyInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		for _, key := range []Key{tenantKey("order-1"), tenantKey(f.remote.NextTicket("agrisportello"))} {
			for range 3 {
				mustBegin(t, f.remote, key).Finish(outcomeNotRun)
				mustBegin(t, f.local, key).Finish(outcomeNotRun)
				time.Sleep(time.Second) // until the outcome has reached the minter
			}
			mustBegin(t, f.local, key).Finish(ran)
			_, err := f.remote.Begin(t.Context(), key, 2)
			assert.Equal(t, verdict.CodeOf(err), verdict.CodeDuplicate)
		}
	})
}

func TestConcurrentBeginOnTwoInstancesGrantsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		for _, lost := range []int{0, 100} {
			f.platform.SetFaults(standin.Faults{Latency: 20 * time.Millisecond, LostResponsePercent: lost})
			key := tenantKey(strings.Repeat("k", lost+1))
			results := make(chan error, 2)
			for _, d := range []*Deduplicator{f.local, f.remote} {
				go func() {
					_, err := d.Begin(t.Context(), key, 1)
					results <- err
				}()
			}
			first, second := <-results, <-results
			assert.Assert(t, (first == nil) != (second == nil), "%v, %v", first, second)
			assert.Equal(t, verdict.CodeOf(errors.Join(first, second)), verdict.CodeDuplicate)
		}
	})
}

func TestRefusalBeforeBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		fresh := tenantKey(f.local.NextTicket("agrisportello"))
		assert.Equal(t, f.local.Refusal(fresh, 5), verdict.NotRun, "the minter's memory proves that it is unused")
		assert.Equal(t, f.remote.Refusal(fresh, 1), verdict.NotRun)
		assert.Equal(t, f.remote.Refusal(fresh, 2), verdict.MayHaveRun)
		assert.Equal(t, f.local.Refusal(ticketRan(t, f), 1), verdict.Ran)
		assert.Equal(t, f.local.Refusal(keyInProgress(t, f), 1), verdict.MayHaveRun)
		assert.Equal(t, f.local.Refusal(tenantKey(TicketPrefix), 2), verdict.NotRun)
	})
}

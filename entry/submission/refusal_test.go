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

// bench is two keepers on one platform.
type bench struct {
	platform *standin.Platform
	network  *network
	here     *Deduplicator
	there    *Deduplicator
}

func newBench(t *testing.T, change func(*Options)) *bench {
	b := &bench{platform: standin.New(time.Now), network: newNetwork(1)}
	b.here = b.start(t, "entry-here", change)
	b.there = b.start(t, "entry-there", change)
	return b
}

func (b *bench) start(t *testing.T, id fleet.InstanceID, change func(*Options)) *Deduplicator {
	t.Helper()
	peers := endpoint{b.network, id}
	options := Options{Self: id, Store: b.platform, Peers: peers}
	if change != nil {
		change(&options)
	}
	k, err := New(options)
	assert.NilError(t, err)
	k.Register(peers)
	t.Cleanup(func() { k.Close(context.Background()) })
	return k
}

func tenantKey(value string) Key { return Key{Tenant: "agrisportello", Value: value} }

func mustBegin(t *testing.T, k *Deduplicator, key Key) Permit {
	t.Helper()
	pass, err := k.Begin(t.Context(), key, 1)
	assert.NilError(t, err)
	return pass
}

var ran = Outcome{
	Verdict: verdict.Ran,
	Status:  http.StatusCreated,
	Header:  http.Header{"Content-Type": {"text/plain"}},
	Body:    []byte("accepted"),
}

// TestRefusals walks every refusal and holds its code and verdict.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(t *testing.T, b *bench) Key
		attempt int
		code    verdict.Code
		verdict verdict.Verdict
	}{
		{"empty key", func(*testing.T, *bench) Key { return tenantKey("") }, 2, verdict.CodeBadRequest, verdict.NotRun},
		{"long key", func(*testing.T, *bench) Key { return tenantKey(strings.Repeat("k", MaxKeyBytes+1)) }, 2, verdict.CodeBadRequest, verdict.NotRun},
		{"malformed ticket", func(*testing.T, *bench) Key { return tenantKey(TicketPrefix + "x") }, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"another tenant's ticket", othersTicket, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"forged ticket", forgedTicket, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"expired ticket, first attempt", expired, 1, verdict.CodeTicketInvalid, verdict.NotRun},
		{"expired ticket, second attempt", expired, 2, verdict.CodeTicketInvalid, verdict.MayHaveRun},
		{"expired ticket that was released", expiredReleased, 2, verdict.CodeTicketInvalid, verdict.NotRun},
		{"ticket in progress here", ticketInProgress, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"ticket that ran here", ticketRan, 1, verdict.CodeDuplicate, verdict.Ran},
		{"ticket that ran there", ticketRanThere, 1, verdict.CodeDuplicate, verdict.Ran},
		{"minter silent, first attempt", minterCut, 0, verdict.CodeTicketMinterUnreachable, verdict.NotRun},
		{"minter silent, second attempt", minterCut, 2, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"minter silent, seen before", minterCutSeen, 1, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"minter replaced, first attempt", minterReplacedSameID, 1, verdict.CodeTicketMinterUnreachable, verdict.NotRun},
		{"minter replaced, second attempt", minterReplacedSameID, 2, verdict.CodeTicketMinterUnreachable, verdict.MayHaveRun},
		{"store out, first attempt", storeDown, 1, verdict.CodeClaimUnavailable, verdict.NotRun},
		{"store out, second attempt", storeDown, 2, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"store out, seen before, not counted", storeDownSeen, 0, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"store too slow", storeSlow, 2, verdict.CodeClaimUnavailable, verdict.MayHaveRun},
		{"calls used up, first attempt", callsUsedUp, 1, verdict.CodeClaimCapacity, verdict.NotRun},
		{"calls used up, second attempt", callsUsedUp, 2, verdict.CodeClaimCapacity, verdict.MayHaveRun},
		{"key in progress here", keyInProgress, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key in progress there", keyInProgressThere, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key that ran there", keyRanThere, 1, verdict.CodeDuplicate, verdict.Ran},
		{"key that ran at one replaced since", keyRanAtReplaced, 1, verdict.CodeDuplicate, verdict.Ran},
		{"key not run at one replaced before its clean-up", keyReleasedAtReplaced, 2, verdict.CodeDuplicate, verdict.MayHaveRun},
		{"key in progress at one replaced since", keyInProgressAtReplaced, 1, verdict.CodeDuplicate, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, nil)
				key := c.arrange(t, b)
				_, err := b.here.Begin(t.Context(), key, c.attempt)
				assert.Equal(t, verdict.CodeOf(err), c.code, "%v", err)
				assert.Equal(t, verdict.Of(err), c.verdict, "%v", err)
			})
		})
	}
}

func othersTicket(_ *testing.T, b *bench) Key { return tenantKey(b.here.NextTicket("magnolia")) }

func forgedTicket(t *testing.T, b *bench) Key {
	forged, err := decodeTicket(b.here.NextTicket("agrisportello"))
	assert.NilError(t, err)
	forged.expiry += 60
	return tenantKey(forged.encode())
}

func expired(_ *testing.T, b *bench) Key {
	key := tenantKey(b.here.NextTicket("agrisportello"))
	time.Sleep(DefaultTicketLifetime + time.Second)
	return key
}

func expiredReleased(t *testing.T, b *bench) Key {
	key := tenantKey(b.here.NextTicket("agrisportello"))
	mustBegin(t, b.here, key).Finish(notRun)
	time.Sleep(DefaultTicketLifetime + time.Second)
	return key
}

func ticketInProgress(t *testing.T, b *bench) Key {
	key := tenantKey(b.here.NextTicket("agrisportello"))
	mustBegin(t, b.here, key)
	return key
}

func ticketRan(t *testing.T, b *bench) Key {
	key := tenantKey(b.here.NextTicket("agrisportello"))
	mustBegin(t, b.here, key).Finish(ran)
	return key
}

func ticketRanThere(t *testing.T, b *bench) Key {
	key := tenantKey(b.there.NextTicket("agrisportello"))
	mustBegin(t, b.there, key).Finish(ran)
	return key
}

func minterCut(_ *testing.T, b *bench) Key {
	b.network.setCut("entry-there", true)
	return tenantKey(b.there.NextTicket("agrisportello"))
}

func minterCutSeen(t *testing.T, b *bench) Key {
	key := minterCut(t, b)
	_, err := b.here.Begin(t.Context(), key, 1)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	return key
}

func minterReplacedSameID(t *testing.T, b *bench) Key {
	key := tenantKey(b.there.NextTicket("agrisportello"))
	b.start(t, "entry-there", nil)
	return key
}

func storeDown(_ *testing.T, b *bench) Key {
	b.platform.SetFaults(standin.Faults{Down: true})
	return tenantKey("order-1")
}

func storeDownSeen(t *testing.T, b *bench) Key {
	key := storeDown(t, b)
	_, err := b.here.Begin(t.Context(), key, 0)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	return key
}

func storeSlow(_ *testing.T, b *bench) Key {
	b.platform.SetFaults(standin.Faults{Latency: time.Minute})
	return tenantKey("order-1")
}

func callsUsedUp(_ *testing.T, b *bench) Key {
	b.here.SetBudget(0, 0)
	return tenantKey("order-1")
}

func keyInProgress(t *testing.T, b *bench) Key {
	mustBegin(t, b.here, tenantKey("order-1"))
	return tenantKey("order-1")
}

func keyInProgressThere(t *testing.T, b *bench) Key {
	mustBegin(t, b.there, tenantKey("order-1"))
	return tenantKey("order-1")
}

func keyRanThere(t *testing.T, b *bench) Key {
	mustBegin(t, b.there, tenantKey("order-1")).Finish(ran)
	return tenantKey("order-1")
}

func keyRanAtReplaced(t *testing.T, b *bench) Key {
	key := keyRanThere(t, b)
	synctest.Wait() // the outcome is written to the claim
	b.network.remove("entry-there")
	return key
}

func keyReleasedAtReplaced(t *testing.T, b *bench) Key {
	pass := mustBegin(t, b.there, tenantKey("order-1"))
	b.there.background.cancel()
	synctest.Wait()
	pass.Finish(notRun)
	b.network.remove("entry-there")
	return tenantKey("order-1")
}

func keyInProgressAtReplaced(t *testing.T, b *bench) Key {
	key := keyInProgressThere(t, b)
	b.network.remove("entry-there")
	return key
}

func TestDuplicateGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		for _, key := range []Key{keyRanThere(t, b), ticketRanThere(t, b)} {
			for _, k := range []*Deduplicator{b.there, b.here, b.here} {
				_, err := k.Begin(t.Context(), key, 2)
				want := &FirstCopy{State: "ended", Status: ran.Status, ContentType: "text/plain", Body: ran.Body}
				assert.DeepEqual(t, FirstCopyOf(err), want)
			}
		}
	})
}

func TestNotRunMayBeBegunAgainAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		for _, key := range []Key{tenantKey("order-1"), tenantKey(b.there.NextTicket("agrisportello"))} {
			for range 3 {
				mustBegin(t, b.there, key).Finish(notRun)
				mustBegin(t, b.here, key).Finish(notRun)
				time.Sleep(time.Second) // the notice of the end has reached the minter
			}
			mustBegin(t, b.here, key).Finish(ran)
			_, err := b.there.Begin(t.Context(), key, 2)
			assert.Equal(t, verdict.CodeOf(err), verdict.CodeDuplicate)
		}
	})
}

func TestTwoEntryInstancesAtTheSameMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		for _, lost := range []int{0, 100} {
			b.platform.SetFaults(standin.Faults{Latency: 20 * time.Millisecond, LostResponsePercent: lost})
			key := tenantKey(strings.Repeat("k", lost+1))
			results := make(chan error, 2)
			for _, k := range []*Deduplicator{b.here, b.there} {
				go func() {
					_, err := k.Begin(t.Context(), key, 1)
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
		b := newBench(t, nil)
		fresh := tenantKey(b.here.NextTicket("agrisportello"))
		assert.Equal(t, b.here.Refusal(fresh, 5), verdict.NotRun, "its memory proves it")
		assert.Equal(t, b.there.Refusal(fresh, 1), verdict.NotRun)
		assert.Equal(t, b.there.Refusal(fresh, 2), verdict.MayHaveRun)
		assert.Equal(t, b.here.Refusal(ticketRan(t, b), 1), verdict.Ran)
		assert.Equal(t, b.here.Refusal(keyInProgress(t, b), 1), verdict.MayHaveRun)
		assert.Equal(t, b.here.Refusal(tenantKey(TicketPrefix), 2), verdict.NotRun)
	})
}

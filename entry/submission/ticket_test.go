package submission

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

func TestTicketsAreUniqueAndBoundToTenant(t *testing.T) {
	m, err := newMint("entry-1", time.Minute)
	assert.NilError(t, err)
	now := time.Unix(1_000_000, 0)
	first, second := m.next("magnolia", now), m.next("magnolia", now)
	assert.Assert(t, first != second)
	decoded, err := decodeTicket(first)
	assert.NilError(t, err)
	assert.Equal(t, decoded.minter, fleet.InstanceID("entry-1"))
	assert.Equal(t, decoded.expires().Unix(), now.Add(time.Minute).Unix())
	assert.Assert(t, m.genuine(decoded, "magnolia"))
	assert.Assert(t, !m.genuine(decoded, "agrisportello"))
	other, err := newMint("entry-1", time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, !other.genuine(decoded, "magnolia"), "each run has a secret of its own")
}

func TestModifiedTicketIsRejected(t *testing.T) {
	m, err := newMint("entry-1", time.Minute)
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		ticket := []byte(m.next("magnolia", time.Unix(1_000_000, 0)))
		at := rapid.IntRange(len(TicketPrefix), len(ticket)-1).Draw(t, "at")
		to := rapid.Byte().Draw(t, "to")
		if ticket[at] == to {
			return
		}
		ticket[at] = to
		decoded, err := decodeTicket(string(ticket))
		isMine := err == nil && decoded.minter == m.self && decoded.incarnation == m.incarnation
		if isMine && m.genuine(decoded, "magnolia") {
			t.Fatalf("%s is accepted as genuine", ticket)
		}
	})
}

func TestNewRefusesInstanceIDOfInvalidLength(t *testing.T) {
	for _, id := range []string{"", strings.Repeat("x", maxMinterBytes+1)} {
		_, err := New(Options{Self: fleet.InstanceID(id)})
		assert.ErrorContains(t, err, "want 1 to 128 bytes")
	}
}

func FuzzDecodeTicket(f *testing.F) {
	m, err := newMint("entry-1", time.Minute)
	assert.NilError(f, err)
	f.Add(m.next("magnolia", time.Unix(1_000_000, 0)))
	f.Add(TicketPrefix)
	f.Add("")
	f.Add(TicketPrefix + "AAAA\nAAAA")
	f.Fuzz(func(t *testing.T, value string) {
		decoded, err := decodeTicket(value)
		if err != nil {
			return
		}
		if decoded.encode() != value {
			t.Fatalf("%q decodes but is not in canonical form", value)
		}
		if decoded.minter == "" || len(decoded.minter) > maxMinterBytes {
			t.Fatalf("%q has the minter %q", value, decoded.minter)
		}
		if m.genuine(decoded, "magnolia") && decoded.incarnation != m.incarnation {
			t.Fatalf("%q is accepted as genuine", value)
		}
	})
}

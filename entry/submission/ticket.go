package submission

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"strings"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// TicketPrefix is the prefix of every ticket. A key that the caller chose must not
// start with it.
const TicketPrefix = "tt1-"

const (
	incarnationBytes = 8
	nonceBytes       = 16
	macBytes         = 16
	expiryBytes      = 8
	fixedTicketBytes = incarnationBytes + expiryBytes + nonceBytes + macBytes
	maxMinterBytes   = 128
	secretBytes      = 32
)

// incarnationID identifies one run of one entry instance.
type incarnationID [incarnationBytes]byte

// MaxKeyBytes is the maximum length of a key that a caller may send.
const MaxKeyBytes = 512

var errMalformedTicket = errors.New("malformed ticket")

// ticket is a decoded ticket. Its text form is TicketPrefix and the base64url of
// incarnation, expiry (Unix seconds), nonce, MAC and the minter's ID.
type ticket struct {
	minter      fleet.InstanceID
	incarnation incarnationID
	expiry      int64 // Unix seconds
	nonce       [nonceBytes]byte
	mac         [macBytes]byte
}

// isTicket reports whether a key has the prefix of a ticket.
func isTicket(value string) bool { return strings.HasPrefix(value, TicketPrefix) }

// decodeTicket decodes the text form. It accepts only what encode returns.
func decodeTicket(value string) (ticket, error) {
	text, ok := strings.CutPrefix(value, TicketPrefix)
	if !ok {
		return ticket{}, fmt.Errorf("no prefix %q: %w", TicketPrefix, errMalformedTicket)
	}
	if len(text) > base64.RawURLEncoding.EncodedLen(fixedTicketBytes+maxMinterBytes) {
		return ticket{}, fmt.Errorf("too long: %w", errMalformedTicket)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return ticket{}, fmt.Errorf("%w: %w", errMalformedTicket, err)
	}
	if len(raw) <= fixedTicketBytes || len(raw) > fixedTicketBytes+maxMinterBytes {
		return ticket{}, fmt.Errorf("%d bytes: %w", len(raw), errMalformedTicket)
	}
	t := parseTicket(raw)
	if t.encode() != value {
		return ticket{}, fmt.Errorf("not in canonical form: %w", errMalformedTicket)
	}
	return t, nil
}

func parseTicket(raw []byte) ticket {
	var t ticket
	rest := raw[copy(t.incarnation[:], raw):]
	t.expiry = int64(binary.BigEndian.Uint64(rest))
	rest = rest[expiryBytes:]
	rest = rest[copy(t.nonce[:], rest):]
	rest = rest[copy(t.mac[:], rest):]
	t.minter = fleet.InstanceID(rest)
	return t
}

func (t ticket) encode() string {
	raw := make([]byte, 0, fixedTicketBytes+maxMinterBytes)
	raw = append(raw, t.incarnation[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.expiry))
	raw = append(raw, t.nonce[:]...)
	raw = append(raw, t.mac[:]...)
	raw = append(raw, t.minter...)
	text := make([]byte, 0, len(TicketPrefix)+base64.RawURLEncoding.EncodedLen(len(raw)))
	text = append(text, TicketPrefix...)
	return string(base64.RawURLEncoding.AppendEncode(text, raw))
}

func (t ticket) expires() time.Time { return time.Unix(t.expiry, 0) }

// mint creates and verifies the tickets of one run of one entry instance. Its secret
// exists in this process only, so that tickets cannot be forged, and unused tickets
// need not be remembered.
type mint struct {
	self        fleet.InstanceID
	incarnation incarnationID
	lifetime    time.Duration
	hashes      sync.Pool // of *macHash, all keyed with the secret
}

func newMint(self fleet.InstanceID, lifetime time.Duration) (*mint, error) {
	if len(self) == 0 || len(self) > maxMinterBytes {
		return nil, fmt.Errorf("instance ID %q: want 1 to %d bytes", self, maxMinterBytes)
	}
	m := &mint{self: self, lifetime: lifetime}
	_, _ = rand.Read(m.incarnation[:]) // never fails
	var secret [secretBytes]byte
	_, _ = rand.Read(secret[:])
	m.hashes.New = func() any { return &macHash{hash: hmac.New(sha256.New, secret[:])} }
	return m, nil
}

// next mints a ticket for a tenant.
func (m *mint) next(tenant string, now time.Time) string {
	t := ticket{
		minter:      m.self,
		incarnation: m.incarnation,
		expiry:      now.Add(m.lifetime).Unix(),
	}
	_, _ = rand.Read(t.nonce[:])
	t.mac = m.sign(t, tenant)
	return t.encode()
}

// genuine reports whether this mint created the ticket for the tenant.
func (m *mint) genuine(t ticket, tenant string) bool {
	want := m.sign(t, tenant)
	return hmac.Equal(want[:], t.mac[:])
}

// macHash is an HMAC with the buffers for one computation.
type macHash struct {
	hash    hash.Hash
	message []byte
	sum     []byte
}

func (m *mint) sign(t ticket, tenant string) [macBytes]byte {
	h := m.hashes.Get().(*macHash)
	defer m.hashes.Put(h)
	h.message = binary.BigEndian.AppendUint64(h.message[:0], uint64(t.expiry))
	h.message = append(h.message, t.nonce[:]...)
	h.message = append(h.message, tenant...)
	h.hash.Reset()
	_, _ = h.hash.Write(h.message) // never fails
	h.sum = h.hash.Sum(h.sum[:0])
	return [macBytes]byte(h.sum[:macBytes])
}

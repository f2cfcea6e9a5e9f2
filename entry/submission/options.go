package submission

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// Defaults of Options.
const (
	DefaultTicketLifetime  = 10 * time.Minute
	DefaultRetention       = 24 * time.Hour
	DefaultMemoryRetention = 10 * time.Minute
	DefaultMaxRecords      = 64 << 10
	DefaultMaxBodyBytes    = 8 << 20  // bytes, all responses together
	DefaultKeepBodyBytes   = 16 << 10 // bytes, one response
	DefaultCallsPerSecond  = 15       // store calls
	DefaultCallBurst       = 15       // store calls
	DefaultClaimTimeout    = 2 * time.Second
	DefaultPeerTimeout     = 500 * time.Millisecond
)

// Peers calls the other entry instances.
type Peers interface {
	// Call sends a request to one peer and returns its response. After an error
	// without the verdict NotRun the peer may still have handled the request.
	Call(ctx context.Context, peer fleet.InstanceID, method string, payload []byte) ([]byte, error)
}

// Handler serves calls of one method from other entry instances.
type Handler = func(ctx context.Context, from fleet.InstanceID, payload []byte) ([]byte, error)

// HandlerRegistry registers the handlers for calls from other entry instances.
type HandlerRegistry interface {
	Handle(method string, handler Handler)
}

// Options configures a Deduplicator. Zero fields other than Self take the defaults.
type Options struct {
	// Self is this entry instance.
	Self fleet.InstanceID
	// Store holds the claims; without one, keys that callers chose are refused.
	Store platform.Store
	// Peers calls the entry instances that minted a ticket or hold a claim; without it,
	// tickets minted by other entry instances are refused.
	Peers Peers
	// Now is the clock.
	Now func() time.Time
	// TicketLifetime is how long a ticket may be used.
	TicketLifetime time.Duration
	// Retention is the minimum lifetime of a claim on a key that the caller chose.
	Retention time.Duration
	// MemoryRetention is how long this entry instance keeps the outcome of a
	// submission with a key that the caller chose, or with another minter's ticket.
	MemoryRetention time.Duration
	// MaxRecords bounds the number of submissions in memory.
	MaxRecords int
	// MaxBodyBytes bounds the responses remembered, headers included, all together;
	// KeepBodyBytes bounds the body of one.
	MaxBodyBytes  int64
	KeepBodyBytes int
	// CallsPerSecond and CallBurst bound this entry instance's store calls for claims.
	CallsPerSecond float64
	CallBurst      int
	// ClaimTimeout bounds the creation of one claim, waits included.
	ClaimTimeout time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

func orDefault[T int | int64 | float64 | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}

func (o Options) withDefaults() Options {
	o.TicketLifetime = orDefault(o.TicketLifetime, DefaultTicketLifetime)
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.MemoryRetention = orDefault(o.MemoryRetention, DefaultMemoryRetention)
	o.MaxRecords = orDefault(o.MaxRecords, DefaultMaxRecords)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.KeepBodyBytes = orDefault(o.KeepBodyBytes, DefaultKeepBodyBytes)
	o.CallsPerSecond = orDefault(o.CallsPerSecond, DefaultCallsPerSecond)
	o.CallBurst = orDefault(o.CallBurst, DefaultCallBurst)
	o.ClaimTimeout = orDefault(o.ClaimTimeout, DefaultClaimTimeout)
	o.PeerTimeout = orDefault(o.PeerTimeout, DefaultPeerTimeout)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

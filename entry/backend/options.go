package backend

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultBufferBytes         = 1 << 20   // bytes
	DefaultMaxResponseBytes    = 256 << 20 // bytes
	DefaultDialTimeout         = time.Second
	DefaultIdleTimeout         = 4 * time.Second
	DefaultMaxIdleUnrepeatable = time.Second
	DefaultConnectionWait      = 20 * time.Millisecond
	DefaultMinOverdueAfter     = time.Second
	DefaultProbeTimeout        = time.Second
	DefaultSweepInterval       = 100 * time.Millisecond
)

// DefaultReadinessPath is the readiness path of a Target that sets none.
const DefaultReadinessPath = "/readyz"

// Options configures an HTTPTransport. Zero fields take the defaults.
type Options struct {
	// BufferBytes is the largest response body that is read and verified before Send returns.
	BufferBytes int64
	// MaxResponseBytes is the largest response body that is passed on at all.
	MaxResponseBytes int64
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open. It also bounds how
	// long an unused half-open connection is kept.
	IdleTimeout time.Duration
	// MaxIdleUnrepeatable is the longest idle time of a connection that is used for a
	// request that may not be repeated; if all were idle for longer, a new one is opened.
	MaxIdleUnrepeatable time.Duration
	// ConnectionWait is how long an attempt waits for a connection when all are in use.
	ConnectionWait time.Duration
	// MinOverdueAfter is the shortest time after which a response counts as overdue.
	MinOverdueAfter time.Duration
	// ProbeTimeout bounds one probe of an executor on a new connection.
	ProbeTimeout time.Duration
	// SweepInterval is the time between checks for overdue responses and unused connections.
	SweepInterval time.Duration
	// Observe receives the results of probes; it must not block. It may be nil.
	Observe func(Signal)
	// Scope is the parent scope of the metrics; nil discards them.
	Scope tally.Scope
}

func orDefault[T int64 | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}

func (o Options) withDefaults() Options {
	o.BufferBytes = orDefault(o.BufferBytes, DefaultBufferBytes)
	o.MaxResponseBytes = orDefault(o.MaxResponseBytes, DefaultMaxResponseBytes)
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxIdleUnrepeatable = orDefault(o.MaxIdleUnrepeatable, DefaultMaxIdleUnrepeatable)
	o.ConnectionWait = orDefault(o.ConnectionWait, DefaultConnectionWait)
	o.MinOverdueAfter = orDefault(o.MinOverdueAfter, DefaultMinOverdueAfter)
	o.ProbeTimeout = orDefault(o.ProbeTimeout, DefaultProbeTimeout)
	o.SweepInterval = orDefault(o.SweepInterval, DefaultSweepInterval)
	if o.Observe == nil {
		o.Observe = func(Signal) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

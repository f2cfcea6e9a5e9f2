package backend

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultBufferBytes    = 1 << 20   // bytes
	DefaultMaxAnswerBytes = 256 << 20 // bytes
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = time.Minute
)

// Options sets up an HTTPTransport. Zero fields take the defaults.
type Options struct {
	// BufferBytes is the largest answer body that is read and verified before Send returns.
	BufferBytes int64
	// MaxAnswerBytes is the largest answer body that is passed on at all.
	MaxAnswerBytes int64
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// Scope takes the metrics; nil discards them.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	if o.BufferBytes <= 0 {
		o.BufferBytes = DefaultBufferBytes
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Package gateway serves callers' requests: it admits each request, sends it to one
// executor of its service, retries where that is safe, and states in every response
// whether the request ran.
package gateway

import (
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/entry/submission"
	"github.com/uber-go/tally/v4"
)

// Options are the collaborators and settings of a Gateway.
type Options struct {
	// Self is the ID of this entry instance in the platform's list.
	Self fleet.InstanceID
	// Zone is the availability zone of this entry instance.
	Zone fleet.AvailabilityZone
	// Directory publishes services and endpoints.
	Directory *directory.Directory
	// Transport sends attempts to backend servers.
	Transport backend.Transport
	// Guard runs keyed, non-repeatable requests at most once. If it is nil, they are
	// refused.
	Guard submission.Guard
	// Scope receives the metrics; nil means tally.NoopScope.
	Scope tally.Scope
	// Logger receives changes of state; nil means slog.Default.
	Logger *slog.Logger
	// Explain is called with records of requests that were refused or failed, a bounded
	// number each second; nil drops them. It must not block.
	Explain func(explain.Record)
	// Settings tune the request path; the zero value means DefaultSettings.
	Settings Settings
}

// Settings tune the request path.
type Settings struct {
	// DefaultTimeout applies where neither the caller nor the class sets a timeout.
	DefaultTimeout time.Duration
	// MaxTimeout bounds every request's timeout.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds a request's body where the service sets no bound.
	MaxBodyBytes int64
	// BufferBytes is the largest request body that is buffered, so that it can be sent
	// again in a retry.
	BufferBytes int64
	// MaxHeaderBytes bounds a request's header lines; the caller listener's server
	// enforces it.
	MaxHeaderBytes int
	// ProbeInterval is the time between two readiness probes of an executor in the own
	// availability zone, before jitter. It is longer where there are many executors, and
	// for those of other zones.
	ProbeInterval time.Duration
	// ListenerGrace is how long an instance that is shutting down still accepts requests
	// after its readiness fails.
	ListenerGrace time.Duration
	// MaxTenants and MaxClasses bound the tenants and classes with histograms of their
	// own; further ones are recorded under "other".
	MaxTenants int
	MaxClasses int
	// Dispatch tunes outlier ejection and the retry budget.
	Dispatch dispatch.Settings
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		DefaultTimeout: 30 * time.Second,
		MaxTimeout:     10 * time.Minute,
		MaxBodyBytes:   8 << 20,
		BufferBytes:    256 << 10,
		MaxHeaderBytes: 64 << 10,
		ProbeInterval:  2500 * time.Millisecond,
		ListenerGrace:  5 * time.Second,
		MaxTenants:     64,
		MaxClasses:     64,
		Dispatch:       dispatch.DefaultSettings(),
	}
}

// withDefaults replaces absent options by their defaults.
func (o Options) withDefaults() Options {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Settings == (Settings{}) {
		o.Settings = DefaultSettings()
	}
	return o
}

// Package metrics provides the root scope of an entry instance's metrics and serves
// them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between reports of the scope to the Prometheus registry.
const reportInterval = time.Second

const prefix = "tarragon"

// Metrics is the root of all metrics of one entry instance.
type Metrics struct {
	// Scope is the root scope; subsystems use sub-scopes of it.
	Scope  tally.Scope
	http   http.Handler
	closer io.Closer
}

// New returns metrics with their own registry, so that several entry instances can run
// in one process. onError is called if a metric cannot be registered.
func New(onError func(error)) *Metrics {
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, http: reporter.HTTPHandler(), closer: closer}
}

// ServeHTTP serves a scrape.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.http.ServeHTTP(w, r) }

// Close reports the remaining values to the registry and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

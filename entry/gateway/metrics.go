package gateway

import (
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/policy/retry"
	"github.com/uber-go/tally/v4"
)

// Values of the tags tenant and class.
const (
	otherValue = "other" // values beyond the bound of distinct values
	noneValue  = "none"  // requests without a tenant or class
)

// latencyBuckets range from 1 ms to about a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// metrics are the metrics of the request path. Recording takes no lock once a metric
// exists.
type metrics struct {
	scope     tally.Scope
	tenants   histograms
	classes   histograms
	codes     counters
	statuses  counters
	retries   counters
	truncated tally.Counter
	queues    gauges
	inFlight  gauges
}

func newMetrics(scope tally.Scope, settings Settings) *metrics {
	return &metrics{
		scope:     scope,
		tenants:   histograms{scope: scope, name: "request_latency_by_tenant", tag: "tenant", maxValues: int64(settings.MaxTenants)},
		classes:   histograms{scope: scope, name: "request_latency_by_class", tag: "class", maxValues: int64(settings.MaxClasses)},
		codes:     counters{scope: scope, name: "refusals", tag: "code"},
		statuses:  counters{scope: scope, name: "answers", tag: "status"},
		retries:   counters{scope: scope, name: "retry_decisions", tag: "decision"},
		truncated: scope.Counter("answers_cut"),
		queues:    gauges{scope: scope, name: "queue_length", tag: "service"},
		inFlight:  gauges{scope: scope, name: "in_flight", tag: "service"},
	}
}

// recordResponse counts an executor's response.
func (m *metrics) recordResponse(x *exchange, status int, took time.Duration) {
	m.statuses.inc(statusClass(status))
	m.recordLatency(x, took)
}

// recordRefusal counts an error response of the gateway itself.
func (m *metrics) recordRefusal(x *exchange, code verdict.Code, took time.Duration) {
	m.codes.inc(string(code))
	m.recordLatency(x, took)
}

func (m *metrics) recordCode(code verdict.Code) { m.codes.inc(string(code)) }

func (m *metrics) recordTruncated() { m.truncated.Inc(1) }

func (m *metrics) recordLatency(x *exchange, took time.Duration) {
	m.tenants.record(x.tenant, took)
	m.classes.record(x.class.Name, took)
}

// recordQueue sets the gauges of queued and running requests of a service.
func (m *metrics) recordQueue(live *dispatch.Service) {
	m.queues.set(live.Name, float64(live.Waiting()))
	m.inFlight.set(live.Name, float64(live.InFlight()))
}

// recordRetry counts a decision whether to retry.
func (m *metrics) recordRetry(refusal retry.Refusal) {
	if refusal == retry.None {
		m.retries.inc("retried")
		return
	}
	m.retries.inc(string(refusal))
}

// statusClass returns the class of an HTTP status, such as 2xx.
func statusClass(status int) string {
	switch status / 100 {
	case 2:
		return "2xx"
	case 3:
		return "3xx"
	case 4:
		return "4xx"
	case 5:
		return "5xx"
	default:
		return strconv.Itoa(status)
	}
}

package backend

import (
	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// metrics are the counters of a transport.
type metrics struct {
	sent        tally.Counter // attempts of which at least one byte was written, except refused ones
	unsent      tally.Counter // attempts that ended before any byte was written
	lost        tally.Counter // attempts that may have run and got no response
	refused     tally.Counter // attempts that the executor refused as not run, or that found all connections in use
	badResponse tally.Counter // truncated, oversized or mismatched responses
	dialed      tally.Counter // connections opened
	halfOpen    tally.Counter // connections closed as half-open
	unreachable tally.Counter // probes that found an executor unreachable
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("backend")
	return &metrics{
		sent:        scope.Counter("sent"),
		unsent:      scope.Counter("unsent"),
		lost:        scope.Counter("lost"),
		refused:     scope.Counter("refused"),
		badResponse: scope.Counter("bad_answer"),
		dialed:      scope.Counter("dialed"),
		halfOpen:    scope.Counter("silent_connections"),
		unreachable: scope.Counter("unreachable"),
	}
}

// count counts the outcome of an attempt; err is the error that Send returns.
func (m *metrics) count(err error) {
	if err == nil {
		m.sent.Inc(1)
		return
	}
	switch verdict.CodeOf(err) {
	case verdict.CodeResponseTruncated, verdict.CodeResponseTooLarge, verdict.CodeResponseMismatched:
		m.sent.Inc(1)
		m.badResponse.Inc(1)
	case verdict.CodeBackendServerBusy, verdict.CodeBackendServerLeaving:
		m.refused.Inc(1)
	default:
		m.countConnectionError(err)
	}
}

func (m *metrics) countConnectionError(err error) {
	if verdict.Of(err) == verdict.NotRun {
		m.unsent.Inc(1)
		return
	}
	m.sent.Inc(1)
	m.lost.Inc(1)
}

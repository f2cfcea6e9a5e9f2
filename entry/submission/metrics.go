package submission

import (
	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// metrics are the counters of a Deduplicator.
type metrics struct {
	permits     tally.Counter
	refused     map[verdict.Code]tally.Counter
	other       tally.Counter // refusals with a code that has no counter of its own
	jobsGivenUp tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("submission")
	m := &metrics{
		permits:     scope.Counter("passes"),
		refused:     map[verdict.Code]tally.Counter{},
		jobsGivenUp: scope.Counter("jobs_given_up"),
	}
	for _, code := range []verdict.Code{
		verdict.CodeBadRequest, verdict.CodeDuplicate, verdict.CodeTicketInvalid, verdict.CodeTicketMinterUnreachable,
		verdict.CodeClaimUnavailable, verdict.CodeClaimCapacity, verdict.CodeTimeout, verdict.CodeCanceled,
	} {
		m.refused[code] = refusedCounter(scope, string(code))
	}
	m.other = refusedCounter(scope, "other")
	return m
}

func refusedCounter(scope tally.Scope, code string) tally.Counter {
	return scope.Tagged(map[string]string{"code": code}).Counter("refused")
}

func (m *metrics) count(err error) {
	if err == nil {
		m.permits.Inc(1)
		return
	}
	counter, ok := m.refused[verdict.CodeOf(err)]
	if !ok {
		counter = m.other
	}
	counter.Inc(1)
}

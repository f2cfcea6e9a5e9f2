package owner

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// callOutcome tells how a call to an executor ended. It is a tag of metrics.
type callOutcome string

// The outcomes of a call.
const (
	callAnswered callOutcome = "answered"  // with a response, be it a refusal
	callTimedOut callOutcome = "timed-out" // sent; its time limit was exceeded
	callNotSent  callOutcome = "not-sent"  // no connection could be opened
	callFailed   callOutcome = "failed"    // sent; the connection failed or the response can't be read
)

// callOutcomeOf returns how a call ended that returned err and was made with ctx.
func callOutcomeOf(ctx context.Context, err error) callOutcome {
	switch {
	case err == nil:
		return callAnswered
	case kv.NotRun(err):
		return callNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callTimedOut
	default:
		return callFailed
	}
}

// callKindPoll is the kind of polls in logs and metrics, beside the names of the kinds of commands.
const callKindPoll = "poll"

const (
	// minReportedCalls is the minimum number of calls in a report period whose outcomes are judged.
	minReportedCalls = 10
	// overdueShare is the minimum share of calls that exceeded their time limits at which this is logged.
	overdueShare = 0.05
)

// callLatencyBuckets reach beyond the time limits of calls.
var callLatencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// callResult is what became of one call to an executor.
type callResult struct {
	executor cluster.ExecutorID
	kind     string
	outcome  callOutcome
	// took is the time of the call. A poll that waits for a completion takes up to wait longer.
	took, wait time.Duration
}

// callStatistics summarises the calls of a report period. If a few executors exceed the time limits, they
// are at fault; if most of them do, it is what they have in common, such as the link of this instance.
type callStatistics struct {
	calls, overdue  int
	called          map[cluster.ExecutorID]bool // whether a call to the executor was overdue
	overdueByKind   map[string]int
	longestAnswered time.Duration // beyond the wait of a poll
}

func (s *callStatistics) record(r callResult) {
	if s.called == nil {
		s.called, s.overdueByKind = map[cluster.ExecutorID]bool{}, map[string]int{}
	}
	s.calls++
	overdue := r.outcome == callTimedOut
	s.called[r.executor] = s.called[r.executor] || overdue
	if overdue {
		s.overdue++
		s.overdueByKind[r.kind]++
	}
	if r.outcome == callAnswered {
		s.longestAnswered = max(s.longestAnswered, r.took-r.wait)
	}
}

func (s *callStatistics) overdueExecutors() int {
	n := 0
	for _, overdue := range s.called {
		if overdue {
			n++
		}
	}
	return n
}

// recordCall adds a call to the metrics and to the statistics of the report period.
func (o *Owner) recordCall(r callResult) {
	scope := o.Scope.Tagged(map[string]string{"kind": r.kind, "outcome": string(r.outcome)})
	scope.Histogram("call_seconds", callLatencyBuckets).RecordDuration(r.took)
	o.callStatistics.record(r)
}

// reportCalls logs the calls since the last report if a considerable share of them exceeded their time
// limits, and begins a new period.
func (o *Owner) reportCalls(period time.Duration) {
	s := o.callStatistics
	o.callStatistics = callStatistics{}
	if s.calls < minReportedCalls || float64(s.overdue) < overdueShare*float64(s.calls) {
		return
	}
	o.Logger.Warn("calls to executors exceed their time limits", "period_ms", period.Milliseconds(), "calls", s.calls,
		"overdue", s.overdue, "overdue_by_kind", s.overdueByKind, "executors_called", len(s.called),
		"executors_overdue", s.overdueExecutors(), "longest_answered_ms", s.longestAnswered.Milliseconds())
}

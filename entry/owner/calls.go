package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/calllimit"
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
	case errors.Is(context.Cause(ctx), errOverdue):
		return callTimedOut
	default:
		return callFailed
	}
}

// callBounds are the limits of the time that a call to an executor takes beyond the wait of a poll. A poll that
// takes the longest time still leaves time for another one before the leases that it renews expire.
var callBounds = calllimit.Bounds{Base: 600 * time.Millisecond, Max: 2500 * time.Millisecond}

// errOverdue is the cause of the end of a call that has exceeded its time limit.
var errOverdue = errors.New("the call exceeded its time limit")

// callLimits limits the time of an owner's calls to its executors. It is safe for concurrent use.
type callLimits struct {
	mu     sync.Mutex
	limits calllimit.Limits
}

// record adds the time of a call that was answered or was overdue. What a poll takes is known only if it has waited as long as
// it may: otherwise a completion has ended its wait at an unknown time.
func (l *callLimits) record(r callResult, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.outcome == callTimedOut:
		l.limits.RecordOverdue(r.took-r.wait, now)
	case r.outcome == callAnswered && r.took >= r.wait:
		l.limits.Record(r.took-r.wait, r.wait, now)
	}
}

func (l *callLimits) limit(sentAt, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Limit(callBounds, sentAt, now)
}

// context returns a context for a call that is sent now and may wait at the executor. It ends with the cause
// errOverdue once the call exceeds its limit, which may have grown by then.
func (l *callLimits) context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		sentAt := time.Now()
		timer := time.NewTimer(wait + callBounds.Base)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-timer.C:
				remaining := wait + l.limit(sentAt, now) - now.Sub(sentAt)
				if remaining <= 0 {
					cancel(errOverdue)
					return
				}
				timer.Reset(remaining)
			}
		}
	}()
	return ctx, func() { cancel(nil) }
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

// recordWindow adjusts the window of commands in flight by a command that was answered or is overdue.
func (o *Owner) recordWindow(r callResult, now time.Time) {
	if r.outcome == callAnswered || r.outcome == callTimedOut {
		o.callWindow.Record(r.took, o.shard.CommandsInFlight(), now)
	}
}

// reportCalls logs the calls since the last report if a considerable share of them exceeded their time
// limits, and begins a new period.
func (o *Owner) reportCalls(period time.Duration) {
	s := o.callStatistics
	o.callStatistics = callStatistics{}
	o.Scope.Gauge("command_window").Update(float64(o.callWindow.Size()))
	if s.calls < minReportedCalls || float64(s.overdue) < overdueShare*float64(s.calls) {
		return
	}
	o.Logger.Warn("calls to executors exceed their time limits", "period_ms", period.Milliseconds(), "calls", s.calls,
		"overdue", s.overdue, "overdue_by_kind", s.overdueByKind, "executors_called", len(s.called),
		"executors_overdue", s.overdueExecutors(), "longest_answered_ms", s.longestAnswered.Milliseconds(),
		"command_window", o.callWindow.Size())
}

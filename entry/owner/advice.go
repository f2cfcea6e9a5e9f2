package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/advicequeue"
	"github.com/tarragonreach/tarragonreach/platform/advice"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// requestDueAdvice sends the requests for advice whose turn it is. The others wait here, so that the most urgent one
// is sent next.
func (o *Owner) requestDueAdvice(now time.Time) {
	if o.Adviser == nil {
		return
	}
	for {
		need, found := o.shard.AdviceNeed(now)
		if !found {
			o.adviceTurn.Withdraw()
			return
		}
		turn, admitted := o.adviceTurn.Begin(advicequeue.Request{Configured: need.Configured, Class: need.Class}, now)
		if !admitted {
			return
		}
		o.requestAdvice(o.shard.RequestAdvice(need, now), turn)
	}
}

// requestAdvice makes a call to the advice service. It goes on if the term ends: the service would carry it out all
// the same, and the calls of the next term would wait for it without being counted with it.
func (o *Owner) requestAdvice(request shard.AdviceRequest, turn *advicequeue.Call) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), turn.Limit)
		defer cancel()
		sentAt := time.Now()
		tickets, err := o.Adviser.RequestTickets(ctx, request.Step, request.Executors)
		answeredAt := time.Now()
		result := adviceResult{queue: request.Queue, outcome: adviceOutcomeOf(ctx, err), took: answeredAt.Sub(sentAt)}
		if result.outcome == adviceTimedOut || result.outcome == adviceFailed {
			o.Adviser.Close() // they may be silent as well, and few calls are in flight to find that out
		}
		turn.End(result.outcome.flow(), answeredAt)
		if err != nil {
			o.Logger.Warn("no advice", "step", request.Step.String(), "queue", request.Queue,
				"outcome", string(result.outcome), "ms", result.took.Milliseconds(), "limit_ms", turn.Limit.Milliseconds(), "error", err)
		}
		response := shard.AdviceResponse{Tickets: tickets.ByExecutor, Incomplete: tickets.Skipped > 0, Validity: tickets.Validity, SentAt: sentAt}
		o.send(func(now time.Time) {
			o.recordAdvice(result)
			if result.outcome != adviceAnswered {
				o.shard.HandleAdviceFailure(request, result.outcome.failure(), now)
				return
			}
			o.shard.HandleAdvice(request, response, now)
		})
	}()
}

// adviceOutcome tells how a call to the advice service ended. It is a tag of metrics.
type adviceOutcome string

// The outcomes of a call to the advice service.
const (
	adviceAnswered adviceOutcome = "answered"
	adviceBusy     adviceOutcome = "busy"      // refused, since too many calls of this instance wait there
	adviceTimedOut adviceOutcome = "timed-out" // given up; the service may still carry it out
	adviceNotSent  adviceOutcome = "not-sent"  // no connection could be opened
	adviceFailed   adviceOutcome = "failed"    // refused otherwise, or the connection failed
	adviceUnusable adviceOutcome = "unusable"  // this request was refused, or its response can't be read
)

// flow returns what the outcome says about the service.
func (a adviceOutcome) flow() adviceflow.Outcome {
	switch a {
	case adviceAnswered, adviceUnusable:
		return adviceflow.Answered
	case adviceTimedOut:
		return adviceflow.TimedOut
	default:
		return adviceflow.Unserved
	}
}

// failure returns what an outcome other than adviceAnswered says about the step.
func (a adviceOutcome) failure() shard.AdviceFailure {
	switch a {
	case adviceUnusable:
		return shard.AdviceUnusable
	case adviceTimedOut, adviceFailed:
		return shard.AdviceNoResponse
	default:
		return shard.AdviceNotServed
	}
}

// adviceOutcomeOf returns how a call ended that returned err and was made with ctx.
func adviceOutcomeOf(ctx context.Context, err error) adviceOutcome {
	var failed *verdict.Error
	switch {
	case err == nil:
		return adviceAnswered
	case errors.Is(err, advice.ErrBusy):
		return adviceBusy
	case errors.Is(err, advice.ErrUnusable):
		return adviceUnusable
	case errors.As(err, &failed) && failed.Code == call.CodeUnreachable:
		return adviceNotSent
	case ctx.Err() != nil:
		return adviceTimedOut
	default:
		return adviceFailed
	}
}

// adviceResult is what became of one call to the advice service.
type adviceResult struct {
	queue   string
	outcome adviceOutcome
	took    time.Duration
}

// queueAdvice is what happened for one queue in a report period.
type queueAdvice struct {
	calls   map[adviceOutcome]int
	longest time.Duration // of a call that was answered
	report  shard.AdviceReport
}

// unanswered returns how many calls were not answered.
func (q queueAdvice) unanswered() int {
	n := 0
	for outcome, calls := range q.calls {
		if outcome != adviceAnswered {
			n += calls
		}
	}
	return n
}

// adviceStatistics summarises a report period by queue.
type adviceStatistics map[string]queueAdvice

func (s adviceStatistics) record(r adviceResult) {
	q := s[r.queue]
	if q.calls == nil {
		q.calls = map[adviceOutcome]int{}
	}
	q.calls[r.outcome]++
	if r.outcome == adviceAnswered {
		q.longest = max(q.longest, r.took)
	}
	s[r.queue] = q
}

// recordAdvice adds a call to the metrics and to the statistics of the report period.
func (o *Owner) recordAdvice(r adviceResult) {
	scope := o.Scope.Tagged(map[string]string{"queue": r.queue, "outcome": string(r.outcome)})
	scope.Histogram("advice_seconds", callLatencyBuckets).RecordDuration(r.took)
	if o.adviceStatistics == nil {
		o.adviceStatistics = adviceStatistics{}
	}
	o.adviceStatistics.record(r)
}

// longAdvice is the minimum age of a request for advice, or of a lack of tickets, that is logged.
const longAdvice = 1 * time.Second

// reportAdvice sets the gauges of the queues that need advice and logs those of which steps have lacked tickets for
// longAdvice, or for which a call was not answered or no executor was permitted. It begins a new report period.
func (o *Owner) reportAdvice(reports []shard.AdviceReport, period time.Duration) {
	statistics := adviceStatistics{}
	maps.Copy(statistics, o.adviceStatistics)
	for _, r := range reports {
		q := statistics[r.Queue]
		q.report = r
		statistics[r.Queue] = q
	}
	for queue := range o.reportedAdvice {
		if _, found := statistics[queue]; !found {
			o.measureAdvice(queue, shard.AdviceReport{})
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(statistics)) {
		o.measureAdvice(queue, statistics[queue].report)
		o.logAdvice(queue, statistics[queue], period)
	}
	o.adviceStatistics, o.reportedAdvice = nil, statistics
}

func (o *Owner) logAdvice(queue string, q queueAdvice, period time.Duration) {
	r := q.report
	if max(r.OldestInFlight, r.OldestWaiting) < longAdvice && q.unanswered() == 0 && r.Denied == 0 {
		return
	}
	o.Logger.Info("advice", "queue", queue, "period_ms", period.Milliseconds(), "calls", q.calls, "longest_answered_ms", q.longest.Milliseconds(),
		"in_flight", r.InFlight, "in_flight_oldest_ms", r.OldestInFlight.Milliseconds(),
		"waiting_turn", r.Waiting, "waiting_turn_oldest_ms", r.OldestWaiting.Milliseconds(),
		"never_asked", r.NeverAsked, "never_asked_oldest_ms", r.OldestNeverAsked.Milliseconds(),
		"not_permitted", r.NotPermitted, "repeated", r.Repeated, "denied", r.Denied, "unused_tickets", r.Unused)
}

func (o *Owner) measureAdvice(queue string, r shard.AdviceReport) {
	scope := o.Scope.Tagged(map[string]string{"queue": queue})
	scope.Gauge("advice_in_flight").Update(float64(r.InFlight))
	scope.Gauge("advice_in_flight_oldest_seconds").Update(r.OldestInFlight.Seconds())
	scope.Gauge("advice_waiting").Update(float64(r.Waiting))
	scope.Gauge("advice_waiting_oldest_seconds").Update(r.OldestWaiting.Seconds())
	scope.Gauge("advice_never_asked").Update(float64(r.NeverAsked))
	scope.Gauge("advice_never_asked_oldest_seconds").Update(r.OldestNeverAsked.Seconds())
	scope.Gauge("advice_not_permitted").Update(float64(r.NotPermitted))
	scope.Counter("advice_repeated_calls").Inc(int64(r.Repeated))
	scope.Counter("advice_denied_responses").Inc(int64(r.Denied))
	scope.Counter("advice_unused_tickets").Inc(int64(r.Unused))
}

package owner

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// maxLatePolls is how many polls of one executor that have exceeded their time limits are awaited at a time. Each
// takes a connection; the response to a later one lists what that to an earlier one does.
const maxLatePolls = 3

// latePoll is a poll that has exceeded its time limit and is awaited.
type latePoll struct{ abandon context.CancelFunc }

// latePolls are the awaited polls of each executor, the earliest first. Only the owner's loop uses them.
type latePolls map[cluster.ExecutorID][]*latePoll

// add adds a poll and abandons the earliest one of its executor if there are too many, or this one if its response
// would be of no use.
func (l *latePolls) add(poll shard.Poll, late *latePoll) {
	if !poll.LateResponseCounts {
		late.abandon()
		return
	}
	if *l == nil {
		*l = latePolls{}
	}
	awaited := append((*l)[poll.Executor.ID], late)
	if len(awaited) > maxLatePolls {
		awaited[0].abandon()
		awaited = slices.Delete(awaited, 0, 1)
	}
	(*l)[poll.Executor.ID] = awaited
}

// remove removes a poll that has ended.
func (l *latePolls) remove(executor cluster.ExecutorID, late *latePoll) {
	awaited := slices.DeleteFunc((*l)[executor], func(other *latePoll) bool { return other == late })
	if len(awaited) == 0 {
		delete(*l, executor)
		return
	}
	(*l)[executor] = awaited
}

// poll sends a poll. A poll without a response within its time limit has failed, but its response is awaited for
// longer: it may be late on the way to this instance, and list completions.
func (o *Owner) poll(poll shard.Poll) {
	client := o.client(poll.Executor)
	responses := make(chan pollResponse, 1)
	ctx, cancel := context.WithTimeout(o.ctx, poll.Request.Wait+shard.LateResponseLimit)
	go func() {
		defer cancel()
		sentAt := time.Now()
		response, err := client.Poll(ctx, poll.Request)
		if err != nil {
			client.Close() // the connection may be half-open
		}
		now := time.Now()
		responses <- pollResponse{PollResponse: response, err: err, at: now, took: now.Sub(sentAt)}
	}()
	go o.awaitPoll(poll, client, responses, cancel)
}

// pollResponse is the result of a poll.
type pollResponse struct {
	execution.PollResponse
	err  error
	at   time.Time
	took time.Duration
}

// awaitPoll passes the result of a poll to the shard, and first that it exceeded its time limit if it did. It calls
// abandon if a response is of no use any more.
func (o *Owner) awaitPoll(poll shard.Poll, client Executor, responses <-chan pollResponse, abandon context.CancelFunc) {
	limit, cancel := o.callLimits.context(o.ctx, poll.Request.Wait)
	defer cancel()
	result := callResult{executor: poll.Executor.ID, kind: callKindPoll, wait: poll.Request.Wait}
	select {
	case r := <-responses:
		result.outcome, result.took = callOutcomeOf(limit, r.err), r.took
		o.callLimits.record(result, r.at)
		o.send(func(time.Time) {
			o.recordCall(result)
			o.logCompletions(poll, r.PollResponse)
			o.shard.HandlePollResult(poll, deliveryOf(r.err), r.PollResponse, r.at)
		})
		return
	case <-limit.Done():
	}
	client.Close() // idle connections may be half-open, too
	exceededAt := time.Now()
	result.outcome, result.took = callTimedOut, exceededAt.Sub(poll.SentAt)
	o.callLimits.record(result, exceededAt)
	late := &latePoll{abandon: abandon}
	o.send(func(time.Time) {
		o.recordCall(result)
		o.latePolls.add(poll, late)
		o.shard.HandlePollResult(poll, shard.Ambiguous, execution.PollResponse{}, exceededAt)
	})
	r := <-responses
	o.send(func(time.Time) { o.latePolls.remove(poll.Executor.ID, late) })
	o.passLatePoll(poll, result, r)
}

// passLatePoll passes the result of a poll that has exceeded its time limit to the shard.
func (o *Owner) passLatePoll(poll shard.Poll, result callResult, r pollResponse) {
	o.Scope.Tagged(map[string]string{"outcome": lateOutcome(r.err)}).Counter("late_polls").Inc(1)
	if r.err == nil {
		result.outcome, result.took = callAnswered, r.took
		o.callLimits.record(result, r.at) // later calls may take as long
	}
	o.send(func(time.Time) {
		o.logCompletions(poll, r.PollResponse)
		o.shard.HandleLatePollResult(poll, deliveryOf(r.err), r.PollResponse, r.at)
	})
}

// lateOutcome returns whether a poll that exceeded its time limit got a response after all.
func lateOutcome(err error) string {
	if err != nil {
		return "no-answer"
	}
	return "answered"
}

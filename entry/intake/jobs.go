package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/submission"
	"github.com/tarragonreach/tarragonreach/policy/retry"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// refusedAttempts is how many times a write is attempted that the store refuses, and a read while
	// the store becomes unavailable.
	refusedAttempts = 4
	// cancelAttempts bounds how often a job may change while it is being cancelled.
	cancelAttempts = 5
)

// retryDelays spaces attempts of a call that the store refuses or does not respond to.
var retryDelays = backoff.Policy{Base: 40 * time.Millisecond, Cap: 400 * time.Millisecond}

// codeStoreUnavailable is the reason code of a call that was not attempted because the store
// is unavailable.
const codeStoreUnavailable verdict.Code = "store-away"

// errCutOff is the error of calls that are not made since this instance is cut off from the store and from others.
var errCutOff error = verdict.New(verdict.NotRun, codeStoreUnavailable, "cut off from the store and from other instances")

// checkStore returns an error while the store does not respond to this instance.
func (i *Intake) checkStore() error {
	since, unavailable := i.store.Unavailable()
	if !unavailable && i.CutOff() {
		return errCutOff
	}
	if !unavailable {
		return nil
	}
	return verdict.New(verdict.NotRun, codeStoreUnavailable, "no answer since "+since.Format(time.RFC3339Nano))
}

var errOutcomeUnknown = errors.New("the store's answer is lost")

// write repeats a write until it gets a result, the store has refused all of refusedAttempts
// attempts, or ctx ends. Its error wraps errOutcomeUnknown if an attempt may have taken effect
// or may still do so.
func (i *Intake) write(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	if err := i.checkStore(); err != nil {
		return kv.TxnResult{}, err
	}
	random := backoff.NewRandom()
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		result, err := i.attempt(ctx, t, attempt)
		if err == nil {
			return result, nil
		}
		outcomeUnknown = outcomeUnknown || !kv.NotRun(err)
		if !outcomeUnknown && attempt >= refusedAttempts {
			return kv.TxnResult{}, err
		}
		if backoff.Sleep(ctx, retryDelays.Delay(attempt, random)) == nil {
			continue
		}
		if outcomeUnknown {
			err = errors.Join(errOutcomeUnknown, err)
		}
		return kv.TxnResult{}, err
	}
}

func (i *Intake) attempt(ctx context.Context, t kv.Txn, number int) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, i.store.Timeout(number))
	defer cancel()
	result, err := i.store.Txn(ctx, t)
	i.countStoreCall(ctx, callTxn, err)
	return result, err
}

func (i *Intake) unavailableResponse(err error) response {
	return response{status: http.StatusServiceUnavailable, retryAfter: i.retryAfter(), reason: err.Error(), outcome: storeOutcome(err)}
}

// unreadableResponse returns the response for what is stored and can't be read. An instance of a newer
// version may be able to, so that the caller is told to repeat the request.
func (i *Intake) unreadableResponse(err error) response {
	return response{status: http.StatusServiceUnavailable, retryAfter: i.retryAfter(), reason: err.Error(), outcome: outcomeUnreadable}
}

// retryAfter returns when a caller that is refused for lack of the store should come back.
func (i *Intake) retryAfter() time.Duration {
	since, unavailable := i.store.Unavailable()
	if !unavailable {
		return defaultRetryAfter
	}
	return retry.AfterOutage(time.Since(since), rand.Float64())
}

// writeFailure returns the response for a write that did not succeed: 504 if its outcome is
// unknown, else 503.
func (i *Intake) writeFailure(err error) response {
	if errors.Is(err, errOutcomeUnknown) {
		return response{status: http.StatusGatewayTimeout, reason: err.Error(), outcome: outcomeUnknown}
	}
	return i.unavailableResponse(err)
}

func (i *Intake) submit(ctx context.Context, who caller, id job.ID, d job.Definition) response {
	t, err := submitTxn(who, id, d)
	if err != nil {
		return response{status: http.StatusInternalServerError, reason: err.Error()}
	}
	c := candidate{queue: who.queue, tenant: who.tenant, id: id, definition: d}
	rejection, revision := i.checkAdmission(ctx, c)
	if rejection != nil {
		return *rejection
	}
	t.Conditions[0].Revision = revision
	result, err := i.write(ctx, t)
	if err != nil {
		return i.writeFailure(err)
	}
	result, failure := i.replaceRejection(ctx, c, t, result)
	switch {
	case failure != nil:
		return *failure
	case result.Applied:
		return response{status: http.StatusOK, reason: "stored"}
	case c.withdrawn(result):
		return i.submitWithdrawn(ctx, who, c, result)
	default:
		return who.repeated(id, result)
	}
}

func submitTxn(who caller, id job.ID, d job.Definition) (kv.Txn, error) {
	queue := who.queue
	record, err := layout.Encode(shard.Record{
		ID: id, Queue: shard.QueuePolicyOf(queue), Tenant: who.tenant, Accepted: time.Now(), Definition: d,
	})
	if err != nil {
		return kv.Txn{}, err
	}
	state, err := layout.Encode(layout.State{Service: queue.Service, Queue: queue.Name, Tenant: who.tenant, State: job.Queued})
	if err != nil {
		return kv.Txn{}, err
	}
	return kv.Txn{
		Conditions: []kv.Condition{{Key: layout.JobKey(id)}, {Key: layout.WithdrawalKey(id, who.tenant, queue.Name)}},
		Puts: []kv.Put{
			{Key: layout.JobKey(id), Value: state},
			{Key: layout.RecordKey(queue.Service, id), Value: record},
		},
	}, nil
}

var noSuchJob = response{status: http.StatusGone, reason: "no such job", outcome: outcomeNotFound}

// rejectedJob is the response to a request for a job that was rejected, which is none.
var rejectedJob = response{status: http.StatusGone, reason: "rejected job", outcome: outcomeRejected}

// othersJob is the response to a request for a job that the caller may not access. The caller can't
// tell it from noSuchJob.
var othersJob = response{status: http.StatusGone, reason: reasonOtherTenants, refusal: reasonOtherTenants, outcome: outcomeOtherTenant}

// judge returns the response to the caller of a request for a job with this state, if it is refused.
func (c caller) judge(state layout.State) *response {
	switch {
	case !c.mayAccess(state):
		return &othersJob
	case state.Rejected != nil:
		return &rejectedJob
	default:
		return nil
	}
}

// readState reads the published state of a job. If there is none, if it can't be read or the caller
// may not access it, the response to the caller is not nil.
//
// The state may be seconds old if the store refuses reads. It is one that the job had, and a final one
// holds for good. What would refuse the caller may no longer hold, so that it is never taken from a stale
// read: the job may have been stored since, or have replaced its rejection or another tenant's job.
func (i *Intake) readState(ctx context.Context, who caller, id job.ID) (kv.Item, layout.State, *response) {
	item, err := i.read(ctx, layout.JobKey(id), func(stale kv.Item) bool {
		state, err := layout.DecodeState(stale.Key, stale.Value)
		return err == nil && who.judge(state) == nil
	})
	if errors.Is(err, kv.ErrNotFound) {
		return item, layout.State{}, &noSuchJob
	}
	if err != nil {
		resp := i.unavailableResponse(err)
		return item, layout.State{}, &resp
	}
	state, failure := i.interpret(who, item)
	return item, state, failure
}

// interpret decodes the stored state of a job. If it can't be read or the caller may not access the job,
// the response to the caller is not nil.
func (i *Intake) interpret(who caller, item kv.Item) (layout.State, *response) {
	state, err := layout.DecodeState(item.Key, item.Value)
	switch {
	case err == nil:
		return state, who.judge(state)
	case !who.mayAccess(state): // as far as it was decoded: the caller must not learn that there is one
		return state, &othersJob
	default:
		resp := i.unreadableResponse(err)
		return state, &resp
	}
}

func (i *Intake) jobState(ctx context.Context, who caller, id job.ID) response {
	_, state, failure := i.readState(ctx, who, id)
	if failure != nil {
		return *failure
	}
	return response{status: http.StatusOK, body: submission.StateBody{State: state.State}}
}

// cancel stores a cancellation of the job, under the condition that the job's state has not
// changed since it was read, so that none is stored for a job that has become final. If there is no job that the
// caller may cancel, it stores a withdrawal.
func (i *Intake) cancel(ctx context.Context, who caller, id job.ID) response {
	item, state, failure := i.readState(ctx, who, id)
	for range cancelAttempts {
		put, done, final := i.cancellation(who, id, state, failure)
		if final {
			return done
		}
		result, err := i.write(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: layout.JobKey(id), Revision: item.Revision}},
			Puts:       []kv.Put{put},
		})
		if err != nil {
			return i.writeFailure(err)
		}
		if result.Applied {
			return done
		}
		// The state that was read was stale, or has changed since.
		current, found := currentItem(layout.JobKey(id), result)
		if !found {
			item, state, failure = i.readState(ctx, who, id)
			continue
		}
		item = current
		state, failure = i.interpret(who, item)
	}
	return response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "the job keeps changing", outcome: outcomeChanging}
}

// cancellation returns what has to be stored to cancel a job, and the response once it is. If nothing is to be stored,
// the response stands as it is. A failure is the response to the caller for which there is no such job, or no state.
func (i *Intake) cancellation(who caller, id job.ID, state layout.State, failure *response) (put kv.Put, done response, final bool) {
	switch {
	case failure != nil && failure.status == http.StatusGone:
		put, refusal := i.withdrawal(who, id)
		if refusal != nil {
			return kv.Put{}, *refusal, true
		}
		return put, *failure, false
	case failure != nil:
		return kv.Put{}, *failure, true
	case state.State.Final():
		return kv.Put{}, response{status: http.StatusOK, reason: "final already: " + string(state.State)}, true
	default:
		put = kv.Put{Key: layout.CancelKey(state.Service, id), Value: []byte("{}")}
		return put, response{status: http.StatusOK, reason: "cancelled"}, false
	}
}

// waitingCount returns the number of waiting jobs of a queue, as it was read within maxCountAge.
func (i *Intake) waitingCount(ctx context.Context, queue cluster.Queue) response {
	counts, err := i.counts.get(ctx, queue.Service, func(ctx context.Context) (layout.Waiting, error) {
		return i.readCounts(ctx, queue.Service)
	})
	switch {
	case errors.Is(err, errUnreadableCounts):
		return i.unreadableResponse(err)
	case err != nil:
		return i.unavailableResponse(err)
	}
	return response{status: http.StatusOK, body: submission.WaitingBody{Waiting: counts[queue.Name]}}
}

package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/submission"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// refusedAttempts is how often a call is made that the store refuses.
	refusedAttempts = 4
	// cancelAttempts bounds how often a job may change while it is being cancelled.
	cancelAttempts = 5
)

// attempts spaces calls to a store that does not answer or refuses.
var attempts = backoff.Policy{Base: 40 * time.Millisecond, Cap: 400 * time.Millisecond}

// codeStoreAway is the reason of a write that was not tried.
const codeStoreAway verdict.Code = "store-away"

var errUnknown = errors.New("the store's answer is lost")

// write makes a write until its outcome is known or ctx ends. Its error wraps
// errUnknown where an attempt may still take effect.
func (i *Intake) write(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	if since, away := i.store.Unavailable(); away {
		return kv.TxnResult{}, verdict.New(verdict.NotRun, codeStoreAway, "no answer since "+since.Format(time.RFC3339Nano))
	}
	random := backoff.NewRandom()
	unknown := false
	for attempt := 1; ; attempt++ {
		result, err := i.attempt(ctx, t, attempt)
		if err == nil {
			return result, nil
		}
		unknown = unknown || !kv.NotRun(err)
		if !unknown && attempt >= refusedAttempts {
			return kv.TxnResult{}, err
		}
		if backoff.Sleep(ctx, attempts.Delay(attempt, random)) == nil {
			continue
		}
		if unknown {
			err = errors.Join(errUnknown, err)
		}
		return kv.TxnResult{}, err
	}
}

func (i *Intake) attempt(ctx context.Context, t kv.Txn, number int) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, i.store.Timeout(number))
	defer cancel()
	return i.store.Txn(ctx, t)
}

// read reads a key, a few times if need be.
func (i *Intake) read(ctx context.Context, key string) (kv.Item, error) {
	if since, away := i.store.Unavailable(); away {
		return kv.Item{}, verdict.New(verdict.NotRun, codeStoreAway, "no answer since "+since.Format(time.RFC3339Nano))
	}
	random := backoff.NewRandom()
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, i.store.Timeout(attempt))
		item, err := i.store.Get(callCtx, key)
		cancel()
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			return item, err
		}
		if attempt == refusedAttempts || backoff.Sleep(ctx, attempts.Delay(attempt, random)) != nil {
			return kv.Item{}, err
		}
	}
}

func unavailable(err error) answer {
	return answer{status: http.StatusServiceUnavailable, retryAfter: retryAfterOutage, reason: err.Error()}
}

// failed answers for a write that did not succeed.
func failed(err error) answer {
	if errors.Is(err, errUnknown) {
		return answer{status: http.StatusGatewayTimeout, reason: err.Error()}
	}
	return unavailable(err)
}

func (i *Intake) submit(ctx context.Context, queue cluster.Queue, id job.ID, d job.Definition) answer {
	t, err := submitTxn(queue, id, d)
	if err != nil {
		return answer{status: http.StatusInternalServerError, reason: err.Error()}
	}
	result, err := i.write(ctx, t)
	switch {
	case err != nil:
		return failed(err)
	case result.Applied:
		return answer{status: http.StatusOK, reason: "stored"}
	default:
		return answer{status: http.StatusOK, reason: "stored before"}
	}
}

func submitTxn(queue cluster.Queue, id job.ID, d job.Definition) (kv.Txn, error) {
	record, err := layout.Encode(shard.Record{ID: id, Queue: shard.QueuePolicyOf(queue), Accepted: time.Now(), Definition: d})
	if err != nil {
		return kv.Txn{}, err
	}
	state, err := layout.Encode(layout.State{Service: queue.Service, Queue: queue.Name, State: job.Queued})
	if err != nil {
		return kv.Txn{}, err
	}
	return kv.Txn{
		Conditions: []kv.Condition{{Key: layout.JobKey(id)}},
		Puts: []kv.Put{
			{Key: layout.JobKey(id), Value: state},
			{Key: layout.RecordKey(queue.Service, id), Value: record},
		},
	}, nil
}

var gone = answer{status: http.StatusGone, reason: "no such job"}

// readState reads what callers are shown of a job, or returns the answer instead.
func (i *Intake) readState(ctx context.Context, id job.ID) (kv.Item, layout.State, *answer) {
	item, err := i.read(ctx, layout.JobKey(id))
	if errors.Is(err, kv.ErrNotFound) {
		return item, layout.State{}, &gone
	}
	if err != nil {
		a := unavailable(err)
		return item, layout.State{}, &a
	}
	state, err := layout.Decode[layout.State](item.Key, item.Value)
	if err != nil {
		return item, state, &answer{status: http.StatusInternalServerError, reason: err.Error()}
	}
	return item, state, nil
}

func (i *Intake) show(ctx context.Context, id job.ID) answer {
	_, state, failed := i.readState(ctx, id)
	if failed != nil {
		return *failed
	}
	return answer{status: http.StatusOK, body: submission.StateBody{State: state.State}}
}

// cancel marks the job, under the condition that its state has not changed since
// it was read, so that no mark outlives a job that has become final.
func (i *Intake) cancel(ctx context.Context, id job.ID) answer {
	for range cancelAttempts {
		item, state, unread := i.readState(ctx, id)
		if unread != nil {
			return *unread
		}
		if state.State.Final() {
			return answer{status: http.StatusOK, reason: "final already: " + string(state.State)}
		}
		result, err := i.write(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: item.Key, Revision: item.Revision}},
			Puts:       []kv.Put{{Key: layout.CancelKey(state.Service, id), Value: []byte("{}")}},
		})
		if err != nil {
			return failed(err)
		}
		if result.Applied {
			return answer{status: http.StatusOK, reason: "cancelled"}
		}
	}
	return answer{status: http.StatusServiceUnavailable, retryAfter: retryAfterOutage, reason: "the job keeps changing"}
}

func (i *Intake) waiting(ctx context.Context, queue cluster.Queue) answer {
	item, err := i.read(ctx, layout.WaitingKey(queue.Service))
	if errors.Is(err, kv.ErrNotFound) {
		return answer{status: http.StatusOK, body: submission.WaitingBody{}}
	}
	if err != nil {
		return unavailable(err)
	}
	counts, err := layout.Decode[layout.Waiting](item.Key, item.Value)
	if err != nil {
		return answer{status: http.StatusInternalServerError, reason: err.Error()}
	}
	return answer{status: http.StatusOK, body: submission.WaitingBody{Waiting: counts[queue.Name]}}
}

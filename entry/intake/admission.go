package intake

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/admit"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Admissions is what this instance knows about the waits of new jobs.
type Admissions interface {
	// Known returns what is known about a service, or nil.
	Known(service cluster.Service) *admit.Knowledge
}

// SetAdmissions lets the intake reject jobs that would start too late. Without it, all are
// accepted. It must be called before the handler is used.
func (i *Intake) SetAdmissions(a Admissions) { i.admissions = a }

const (
	// maxReplacements bounds how often a rejection may be renewed while the job that it stands
	// for is being stored.
	maxReplacements = 3
	// rejectionTimeout bounds the write of a rejection.
	rejectionTimeout = 400 * time.Millisecond
)

// arrivalKey is the key of the time at which a request arrived, in its context.
type arrivalKey struct{}

func withArrival(r *http.Request, at time.Time) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), arrivalKey{}, at))
}

// arrivalOf returns when the request of a context arrived.
func arrivalOf(ctx context.Context) time.Time {
	if at, known := ctx.Value(arrivalKey{}).(time.Time); known {
		return at
	}
	return time.Now()
}

// candidate is a job that a caller submits.
type candidate struct {
	queue      cluster.Queue
	tenant     cluster.TenantName
	id         job.ID
	definition job.Definition
}

func (c candidate) request() admit.Request {
	r := admit.Request{ID: c.id, Queue: c.queue.Name, Tenant: c.tenant, Need: c.definition.Steps[0].Reservation()}
	r.Objective, r.Slack = shard.StartSlack(c.definition, shard.QueuePolicyOf(c.queue))
	return r
}

// checkAdmission returns the response to a job that is rejected. If it returns none, the job has to
// be stored, on condition that its key has the returned revision.
//
// A rejection is final only once it is stored under the job's key: an earlier attempt of the same
// submission whose outcome is not known, perhaps of another instance, then finds the key and can't
// take effect any more. If the rejection can't be stored, the job is accepted if it can be.
func (i *Intake) checkAdmission(ctx context.Context, c candidate) (*response, kv.Revision) {
	if i.admissions == nil || !shard.Rejectable(c.definition) {
		return nil, 0
	}
	k := i.admissions.Known(c.queue.Service)
	if k == nil {
		return nil, 0
	}
	if i.checkStore() != nil {
		return nil, 0
	}
	r := c.request()
	d := admit.Decide(k, r, time.Now())
	if !d.Rejected {
		return nil, 0
	}
	stored, result, _ := i.storeRejection(ctx, c, retryTime(d), 0)
	if stored {
		return i.rejected(c, d), 0
	}
	item, state, err := storedState(c.id, result)
	if err != nil || state.Rejected == nil || !state.Rejected.Settled(arrivalOf(ctx)) {
		return nil, 0 // the write of the job finds what is stored, and is answered accordingly
	}
	if admit.TimingOf(state.Rejected.RetryAt, arrivalOf(ctx)) == admit.OnTime {
		r.Returned = true
		d = admit.Decide(k, r, time.Now())
	}
	if !d.Rejected {
		return nil, item.Revision
	}
	if stored, _, _ = i.storeRejection(ctx, c, retryTime(d), item.Revision); !stored {
		return nil, item.Revision
	}
	return i.rejected(c, d), 0
}

// retryTime returns when the caller of a job that is rejected now is told to come back.
func retryTime(d admit.Decision) time.Time { return time.Now().Add(d.RetryAfter) }

// storeRejection stores a rejection under the job's key, on condition that the key has the given
// revision. There is one attempt: the job is rather accepted than kept waiting. A rejection that is
// there already is replaced, too, so that no other request that is being handled can replace it.
func (i *Intake) storeRejection(ctx context.Context, c candidate, retryAt time.Time, revision kv.Revision) (stored bool, result kv.TxnResult, err error) {
	now := time.Now()
	value, err := layout.Encode(layout.State{
		Service: c.queue.Service, Queue: c.queue.Name, Tenant: c.tenant, State: job.Cancelled, FinalAt: now,
		Rejected: &layout.Rejection{At: now, RetryAt: retryAt},
	})
	if err != nil {
		return false, result, err
	}
	ctx, cancel := context.WithTimeout(ctx, rejectionTimeout)
	defer cancel()
	result, err = i.attempt(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: layout.JobKey(c.id), Revision: revision}},
		Puts:       []kv.Put{{Key: layout.JobKey(c.id), Value: value}},
	}, 1)
	return err == nil && result.Applied, result, err
}

// replaceRejection repeats a write that found a rejection under the job's key, so that the job
// replaces it. A request that may have arrived before the rejection is rejected like the one that
// got it.
func (i *Intake) replaceRejection(ctx context.Context, c candidate, t kv.Txn, result kv.TxnResult) (kv.TxnResult, *response) {
	var err error
	for range maxReplacements {
		item, state, missing := storedState(c.id, result)
		if result.Applied || missing != nil || state.Rejected == nil || c.withdrawn(result) {
			return result, nil
		}
		if state.Rejected.Settled(arrivalOf(ctx)) {
			t.Conditions = slices.Clone(t.Conditions) // an earlier attempt may still be on its way
			t.Conditions[0].Revision = item.Revision
			if result, err = i.write(ctx, t); err != nil {
				failure := i.writeFailure(err)
				return result, &failure
			}
			continue
		}
		d := admit.Early(admit.Decision{}, state.Rejected.RetryAt, time.Now())
		var stored bool
		// The retry time stays: a caller that sends early, or twice, must not push its own turn on.
		if stored, result, err = i.storeRejection(ctx, c, state.Rejected.RetryAt, item.Revision); stored {
			return result, i.rejected(c, d)
		}
		if err != nil {
			break
		}
	}
	if _, state, missing := storedState(c.id, result); err == nil && (result.Applied || missing != nil || state.Rejected == nil || c.withdrawn(result)) {
		return result, nil
	}
	return result, &response{status: http.StatusGatewayTimeout, reason: "rejected elsewhere at the same time", outcome: outcomeUnknown}
}

// rejected logs and counts a rejection and returns its response.
func (i *Intake) rejected(c candidate, d admit.Decision) *response {
	tags := map[string]string{"queue": c.queue.Name, "tenant": string(c.tenant), "reason": string(d.Reason)}
	scope := i.scope.Tagged(tags)
	scope.Counter("rejections").Inc(1)
	scope.Histogram("rejection_knowledge_age_seconds", tally.DefaultBuckets).RecordDuration(d.Age)
	i.logger.Info("rejected", "job", string(c.id), "queue", c.queue.Name, "tenant", string(c.tenant), "reason", string(d.Reason),
		"knowledge_age_ms", d.Age.Milliseconds(), "wait_ms", d.Wait.Milliseconds(), "slack_ms", d.Slack.Milliseconds(),
		"retry_after_s", strconv.Itoa(int(d.RetryAfter/time.Second)))
	return &response{status: http.StatusTooManyRequests, retryAfter: d.RetryAfter, reason: string(d.Reason), outcome: outcomeRejected}
}

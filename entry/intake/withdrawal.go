package intake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// A caller may cancel a job whose submission has not taken effect yet: it got no response, and an instance that was
// paused reads it later, or the store carries out its write late. Once the cancellation is acknowledged, the job must
// not run. So the cancellation is stored as a withdrawal, on condition that there is no such job, and a submission
// takes effect only if there is no withdrawal.
//
// Each tenant has its own withdrawals in each queue, so that none can keep a job of another, or of another queue, from
// being stored, and a caller gets the same response at the same cost whether another tenant has a job with the ID or not.

const (
	// withdrawalRate and withdrawalBurst bound the withdrawals that an instance stores for a tenant, per second and
	// at once: anybody who may submit jobs can cancel any number of IDs that were never submitted.
	withdrawalRate  = rate.Limit(20)
	withdrawalBurst = 100
)

// withdrawalLimits are the limits of the withdrawals of each tenant. The zero value has none yet.
type withdrawalLimits struct {
	mu       sync.Mutex
	byTenant map[cluster.TenantName]*rate.Limiter
}

// allow reports whether the tenant may store a withdrawal now. The tenants are those of the configuration, so that
// their number is bounded.
func (l *withdrawalLimits) allow(tenant cluster.TenantName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTenant == nil {
		l.byTenant = map[cluster.TenantName]*rate.Limiter{}
	}
	if l.byTenant[tenant] == nil {
		l.byTenant[tenant] = rate.NewLimiter(withdrawalRate, withdrawalBurst)
	}
	return l.byTenant[tenant].Allow()
}

// withdrawal returns the write of a withdrawal, or the response to a caller that stores too many.
func (i *Intake) withdrawal(who caller, id job.ID) (kv.Put, *response) {
	if !i.withdrawals.allow(who.tenant) {
		i.scope.Counter("refused_withdrawals").Inc(1)
		return kv.Put{}, &response{
			status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter,
			reason: "too many cancellations of unknown jobs", outcome: outcomeTooManyWithdrawals,
		}
	}
	value, err := layout.Encode(layout.Withdrawal{At: time.Now()})
	if err != nil {
		return kv.Put{}, &response{status: http.StatusInternalServerError, reason: err.Error()}
	}
	i.scope.Counter("withdrawals").Inc(1)
	return kv.Put{Key: layout.WithdrawalKey(id, who.tenant, who.queue.Name), Value: value}, nil
}

// withdrawn reports whether the result of a submission's write, which was not applied, has a withdrawal of the job.
func (c candidate) withdrawn(result kv.TxnResult) bool {
	_, found := currentItem(layout.WithdrawalKey(c.id, c.tenant, c.queue.Name), result)
	return found && !result.Applied
}

// submitWithdrawn responds to the submission of a job that was cancelled before, whose write had the given result.
// The job is stored as a cancelled one, so that it can be queried like others that were cancelled.
func (i *Intake) submitWithdrawn(ctx context.Context, who caller, c candidate, result kv.TxnResult) response {
	value, err := layout.Encode(layout.State{
		Service: c.queue.Service, Queue: c.queue.Name, Tenant: c.tenant, State: job.Cancelled, FinalAt: time.Now(),
	})
	if err != nil {
		return response{status: http.StatusInternalServerError, reason: err.Error()}
	}
	for range cancelAttempts {
		item, found := currentItem(layout.JobKey(c.id), result)
		if found {
			state, err := layout.DecodeState(item.Key, item.Value)
			if err != nil || state.Rejected == nil {
				return who.repeated(c.id, result)
			}
		}
		result, err = i.write(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: layout.JobKey(c.id), Revision: item.Revision}},
			Puts:       []kv.Put{{Key: layout.JobKey(c.id), Value: value}},
		})
		if err != nil {
			return i.writeFailure(err)
		}
		if result.Applied {
			return response{status: http.StatusOK, reason: "cancelled before it was stored"}
		}
	}
	return response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "the job keeps changing", outcome: outcomeChanging}
}

package intake

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Reasons for which a request is refused because of its caller's identity. The errors of
// submission.APIKey are further ones.
const (
	reasonUnknownKey   = "unknown key"
	reasonNotRecent    = "configuration not recent"
	reasonOtherTenants = "job of another tenant"
)

// caller is who makes a request, and through which queue.
type caller struct {
	queue   cluster.Queue
	tenancy bool               // the configuration has tenants; without them all jobs are accessible
	tenant  cluster.TenantName // empty on a public queue, and without tenancy
}

// resolve returns the queue of a request and who makes it, or the refusal. A queue that is unknown may be
// in a configuration that is newer than an outdated one.
func (i *Intake) resolve(k operatorconfig.Knowledge, r *http.Request) (caller, *response) {
	if k.Config == nil {
		return caller{}, &response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "no configuration yet", outcome: outcomeNoConfig}
	}
	queue, found := k.Config.Route(hostOf(r), r.URL.Path)
	switch {
	case found:
		return i.identify(k, queue, r)
	case k.Recent:
		return caller{}, &response{status: http.StatusNotFound, reason: "no such queue", outcome: outcomeNoQueue}
	default:
		return caller{}, &response{
			status: http.StatusServiceUnavailable, retryAfter: i.retryAfter(), reason: "no such queue by an outdated configuration",
			outcome: outcomeConfigNotRecent,
		}
	}
}

// identify returns who makes a request to a queue, or the refusal. With tenants, nothing is decided
// by a configuration that is not recent: a key may have been added or removed since, and a queue may
// not be public any more.
func (i *Intake) identify(k operatorconfig.Knowledge, queue cluster.Queue, r *http.Request) (caller, *response) {
	c := caller{queue: queue, tenancy: k.Config.Tenancy}
	if !c.tenancy {
		return c, nil
	}
	if !k.Recent {
		return c, &response{
			status: http.StatusServiceUnavailable, retryAfter: i.retryAfter(), reason: reasonNotRecent, refusal: reasonNotRecent,
			outcome: outcomeConfigNotRecent,
		}
	}
	if queue.Public {
		return c, nil
	}
	tenant, found, err := authenticate(k.Config, r)
	if err != nil {
		return c, unauthorized(err.Error())
	}
	if !found {
		return c, unauthorized(reasonUnknownKey)
	}
	c.tenant = tenant.Name
	return c, nil
}

func unauthorized(reason string) *response {
	return &response{status: http.StatusUnauthorized, reason: reason, refusal: reason, outcome: outcomeKeyRefused}
}

// mayAccess reports whether the caller may read and cancel a job. Jobs without a tenant are
// accessible to all, and jobs of a queue that has become public also through that queue.
func (c caller) mayAccess(s layout.State) bool {
	return !c.tenancy || s.Tenant == "" || s.Tenant == c.tenant || c.queue.Public && s.Queue == c.queue.Name
}

// repeated returns the response to a submission of an ID that exists already, given the result of its
// write, whose condition failed.
func (c caller) repeated(id job.ID, result kv.TxnResult) response {
	if !c.tenancy {
		return response{status: http.StatusOK, reason: "stored before"}
	}
	_, state, err := storedState(id, result)
	if err != nil { // whose job it is, is unknown
		return response{status: http.StatusGatewayTimeout, reason: err.Error(), outcome: outcomeUnknown}
	}
	if !c.mayAccess(state) {
		return response{status: http.StatusConflict, reason: reasonOtherTenants, refusal: reasonOtherTenants, outcome: outcomeOtherTenant}
	}
	return response{status: http.StatusOK, reason: "stored before"}
}

var errNoState = errors.New("the store's response lacks the stored state")

// storedState returns the state of a job, and its item, that kept a write from being applied.
func storedState(id job.ID, result kv.TxnResult) (kv.Item, layout.State, error) {
	key := layout.JobKey(id)
	item, found := currentItem(key, result)
	if !found {
		return kv.Item{}, layout.State{}, fmt.Errorf("%s: %w", key, errNoState)
	}
	state, err := layout.Decode[layout.State](item.Key, item.Value)
	return item, state, err
}

// currentItem returns the item of a key that kept a write from being applied.
func currentItem(key string, result kv.TxnResult) (kv.Item, bool) {
	for _, item := range result.Current {
		if item.Key == key {
			return item, true
		}
	}
	return kv.Item{}, false
}

// noTenant is the tenant of metrics of requests that belong to none.
const noTenant = "none"

// recordTenant records the metrics of a request by tenant.
func (i *Intake) recordTenant(r record) {
	if !r.caller.tenancy {
		return
	}
	tenant := string(r.caller.tenant)
	if tenant == "" {
		tenant = noTenant
	}
	scope := i.scope.Tagged(map[string]string{"tenant": tenant})
	scope.Histogram("tenant_request_seconds", tally.DefaultBuckets).RecordDuration(r.took)
	if r.response.refusal != "" {
		scope.Tagged(map[string]string{"queue": r.caller.queue.Name, "reason": r.response.refusal}).Counter("refusals").Inc(1)
	}
}

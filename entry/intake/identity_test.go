package intake

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

func stored(tenant cluster.TenantName, queue string) []layout.State {
	return []layout.State{{Service: "batch", Queue: queue, State: job.Running, Tenant: tenant}}
}

// identityCases give the statuses of a submission, a read and a cancellation of the same job.
var identityCases = []struct {
	name          string
	queue         string
	authorization []string
	stored        []layout.State
	want          [3]int
	tenant        cluster.TenantName // of a job that is stored
}{
	{"no key", "closed", nil, nil, [3]int{401, 401, 401}, ""},
	{"no key, job without a tenant", "closed", nil, stored("", "closed"), [3]int{401, 401, 401}, ""},
	{"unknown key", "closed", []string{"Bearer " + unknownKey}, nil, [3]int{401, 401, 401}, ""},
	{"beginning of a key", "closed", []string{"Bearer " + northKey[:6]}, nil, [3]int{401, 401, 401}, ""},
	{"other scheme", "closed", []string{"Basic " + northKey}, nil, [3]int{401, 401, 401}, ""},
	{"no scheme", "closed", []string{northKey}, nil, [3]int{401, 401, 401}, ""},
	{"scheme only", "closed", []string{"Bearer"}, nil, [3]int{401, 401, 401}, ""},
	{"two keys", "closed", []string{"Bearer " + northKey, "Bearer " + southKey}, nil, [3]int{401, 401, 401}, ""},
	{"key", "closed", []string{"Bearer " + northKey}, nil, [3]int{200, 410, 410}, "north"},
	{"key of another tenant", "closed", []string{"bearer " + southKey}, nil, [3]int{200, 410, 410}, "south"},
	{"own job", "closed", []string{"Bearer " + northKey}, stored("north", "closed"), [3]int{200, 200, 200}, ""},
	{"own job of another queue", "closed", []string{"Bearer " + northKey}, stored("north", "open"), [3]int{200, 200, 200}, ""},
	{"job of another tenant", "closed", []string{"Bearer " + northKey}, stored("south", "closed"), [3]int{409, 410, 410}, ""},
	{"job of a removed tenant", "closed", []string{"Bearer " + northKey}, stored("west", "closed"), [3]int{409, 410, 410}, ""},
	{"job without a tenant", "closed", []string{"Bearer " + northKey}, stored("", "closed"), [3]int{200, 200, 200}, ""},
	{"public", "open", nil, nil, [3]int{200, 410, 410}, ""},
	{"public, key ignored", "open", []string{"Bearer " + unknownKey}, nil, [3]int{200, 410, 410}, ""},
	{"public, job without a tenant", "open", nil, stored("", "open"), [3]int{200, 200, 200}, ""},
	{"public now, job of a tenant", "open", nil, stored("north", "open"), [3]int{200, 200, 200}, ""},
	{"public, tenant's job of another queue", "open", nil, stored("north", "closed"), [3]int{409, 410, 410}, ""},
	{"public, own job of another queue", "open", []string{"Bearer " + northKey}, stored("north", "closed"), [3]int{409, 410, 410}, ""},
}

var methods = [3]string{http.MethodPost, http.MethodGet, http.MethodDelete}

// Guards against requests that run, read or cancel without the key that they need or on another
// tenant's job, against callers that are turned away though their key is valid, and against keys in
// logs and metrics.
func TestIdentity(t *testing.T) {
	config := testConfig(t, tenantsText)
	for _, c := range identityCases {
		for m, method := range methods {
			t.Run(c.name+" "+method, func(t *testing.T) {
				i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: true}, c.stored...)
				response := i.call(method, "/"+c.queue+"/"+string(testJob), c.authorization...)
				assert.Equal(t, response.Code, c.want[m])
				if response.Code == http.StatusUnauthorized {
					assert.Equal(t, response.Header().Get("WWW-Authenticate"), "Bearer")
					assert.Equal(t, len(i.store.calls), 0)
				}
				if response.Code >= http.StatusMultipleChoices {
					assert.Equal(t, response.Body.Len(), 0) // 410 must not tell another tenant's job from none
				}
				checkRefusedCalls(t, i, method, response.Code, layout.WithdrawalKey(testJob, callerOf(c.queue, c.authorization), c.queue))
				checkStored(t, i, c.stored, method, c.want[m], c.tenant)
				checkNoKey(t, i.logAndMetrics())
			})
		}
	}
}

// callerOf returns the tenant of an accepted request.
func callerOf(queue string, authorization []string) cluster.TenantName {
	switch {
	case queue == "open":
		return ""
	case slices.Contains(authorization, "bearer "+southKey):
		return "south"
	default:
		return "north"
	}
}

// checkRefusedCalls checks the calls to the store for a request that was refused. A cancellation that gets 410 stores
// its caller's own withdrawal and nothing else, and takes the same calls whether another tenant has a job with that ID.
func checkRefusedCalls(t *testing.T, i *testIntake, method string, status int, withdrawal string) {
	t.Helper()
	withdrawn := method == http.MethodDelete && status == http.StatusGone
	for key := range i.store.items {
		if strings.HasPrefix(key, layout.WithdrawalsPrefix) {
			assert.Assert(t, withdrawn, key)
			assert.Equal(t, key, withdrawal)
		}
	}
	if status < http.StatusMultipleChoices {
		return
	}
	if !withdrawn {
		assert.Assert(t, len(i.store.calls) <= 1, "%v", i.store.calls)
		return
	}
	assert.Equal(t, len(i.store.calls), 2, "%v", i.store.calls)
	_, found := i.store.items[withdrawal]
	assert.Assert(t, found)
}

// checkStored checks what a request has written.
func checkStored(t *testing.T, i *testIntake, before []layout.State, method string, status int, tenant cluster.TenantName) {
	t.Helper()
	_, cancelled := i.store.items[layout.CancelKey("batch", testJob)]
	assert.Equal(t, cancelled, method == http.MethodDelete && status == http.StatusOK)
	recordItem, recorded := i.store.items[layout.RecordKey("batch", testJob)]
	assert.Equal(t, recorded, method == http.MethodPost && status == http.StatusOK && before == nil)
	if !recorded {
		return
	}
	record, err := layout.Decode[shard.Record](recordItem.Key, recordItem.Value)
	assert.NilError(t, err)
	state, err := layout.Decode[layout.State]("", i.store.items[layout.JobKey(testJob)].Value)
	assert.NilError(t, err)
	assert.Equal(t, record.Tenant, tenant)
	assert.Equal(t, state.Tenant, tenant)
}

// The number of waiting jobs is as protected as the jobs.
func TestWaitingCountNeedsAKey(t *testing.T) {
	i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true})
	assert.Equal(t, i.call(http.MethodGet, "/closed/").Code, http.StatusUnauthorized)
	assert.Equal(t, i.call(http.MethodGet, "/closed/", "Bearer "+southKey).Code, http.StatusOK)
	assert.Equal(t, i.call(http.MethodGet, "/open/").Code, http.StatusOK)
}

// Without a recent configuration a key may have been added or removed since, and a queue may have
// become public or not: no request is refused for good, none runs, and none calls the store.
func TestNothingIsDecidedByAnOutdatedConfiguration(t *testing.T) {
	outdated := operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Age: time.Minute}
	for _, path := range []string{"/closed/", "/open/", "/closed/" + string(testJob), "/open/" + string(testJob), "/unknown/" + string(testJob)} {
		for _, method := range methods {
			for _, authorization := range [][]string{nil, {"Bearer " + northKey}, {"Bearer " + unknownKey}, {"Basic"}} {
				for _, unavailable := range []bool{false, true} {
					name := fmt.Sprintf("%s %s %v %v", method, path, authorization, unavailable)
					i := newTestIntake(outdated, stored("north", "open")...)
					i.store.unavailable = unavailable
					response := i.call(method, path, authorization...)
					assert.Equal(t, response.Code, http.StatusServiceUnavailable, name)
					assert.Assert(t, response.Header().Get("Retry-After") != "", name)
					assert.Equal(t, i.config.waits == 1, !unavailable, name) // waits only while the store responds
					assert.Equal(t, len(i.store.calls), 0, name)
					checkNoKey(t, i.logAndMetrics())
				}
			}
		}
	}
}

// A request must be decided by the configuration that became recent while it waited, not by the
// one that it found.
func TestRequestIsDecidedByTheConfigurationThatItWaitedFor(t *testing.T) {
	old := testConfig(t, tenantsText)
	for text, want := range map[string]int{
		strings.Replace(tenantsText, northKey, unknownKey, 1): http.StatusUnauthorized, // the key was removed
		`,"tenants":[]`: http.StatusUnauthorized,
		tenantsText:     http.StatusOK,
		``:              http.StatusOK, // keys are not needed any more
	} {
		i := newTestIntake(operatorconfig.Knowledge{Config: old})
		i.config.awaited = operatorconfig.Knowledge{Config: testConfig(t, text), Recent: true}
		assert.Equal(t, i.call(http.MethodPost, "/closed/"+string(testJob), "Bearer "+northKey).Code, want, text)
	}
}

// A repeated submission whose stored state is not returned must not be reported as accepted: the job
// may be another tenant's.
func TestRepeatedSubmissionWithoutTheStoredStateIsUnknown(t *testing.T) {
	who := caller{tenancy: true, tenant: "north"}
	for _, items := range [][]kv.Item{nil, {{Key: "jobs/other", Value: []byte(`{}`)}}, {{Key: "jobs/a", Value: []byte(`x`)}}} {
		assert.Equal(t, who.repeated("a", kv.TxnResult{Current: items}).status, http.StatusGatewayTimeout)
	}
}

// Operators must find out from log and metrics whose requests were refused, and why.
func TestRefusalsAreLoggedAndCountedByTenant(t *testing.T) {
	config := testConfig(t, tenantsText)
	i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: true, Age: 70 * time.Millisecond}, stored("south", "closed")...)
	path := "/closed/" + string(testJob)
	i.call(http.MethodPost, path)
	i.call(http.MethodPost, path, "Bearer "+unknownKey)
	i.call(http.MethodPost, path, "Basic "+unknownKey)
	i.call(http.MethodPost, path, "Bearer "+northKey)
	i.call(http.MethodDelete, path, "Bearer "+northKey)
	i.call(http.MethodDelete, path, "Bearer "+southKey)
	i.config.present.Recent = false
	i.config.awaited = i.config.present
	i.call(http.MethodPost, path, "Bearer "+southKey)
	counts := map[string]int64{}
	for _, counter := range i.scope.Snapshot().Counters() {
		if counter.Name() != "refusals" {
			continue
		}
		counts[counter.Tags()["tenant"]+": "+counter.Tags()["reason"]] += counter.Value()
	}
	assert.DeepEqual(t, counts, map[string]int64{
		"none: no key": 1, "none: unknown key": 1, "none: malformed key": 1, "north: job of another tenant": 2,
		"none: configuration not recent": 1,
	})
	samples := map[string]int{}
	for _, histogram := range i.scope.Snapshot().Histograms() {
		if histogram.Name() == "tenant_request_seconds" {
			samples[histogram.Tags()["tenant"]]++
		}
	}
	assert.DeepEqual(t, samples, map[string]int{"none": 1, "north": 1, "south": 1})
	lines := strings.Split(strings.TrimSpace(i.log.String()), "\n")
	assert.Equal(t, len(lines), 7)
	for n, want := range []string{
		`"reason":"no key"`, `"reason":"unknown key"`, `"reason":"malformed key"`, `"reason":"job of another tenant"`,
		`"tenant":"north"`, `"tenant":"south"`, `"reason":"configuration not recent"`,
	} {
		assert.Assert(t, strings.Contains(lines[n], want), lines[n])
		assert.Assert(t, strings.Contains(lines[n], `"config":3,"config_age_ms":70`), lines[n])
	}
}

// A body may arrive long after the header by which the caller was identified. A key that was removed
// meanwhile must not store the job, and a configuration that has become outdated refuses no queue as
// unknown.
func TestSubmissionIsDecidedAgainOnceItsBodyWasRead(t *testing.T) {
	noQueue := &cluster.Config{Version: 4, Tenancy: true}
	for want, later := range map[int]operatorconfig.Knowledge{
		http.StatusUnauthorized:       {Config: testConfig(t, `,"tenants":[]`), Recent: true},
		http.StatusNotFound:           {Config: noQueue, Recent: true},
		http.StatusServiceUnavailable: {Config: noQueue},
	} {
		config := &fakeConfig{present: operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true}, awaited: later}
		store := &fakeStore{items: map[string]kv.Item{}}
		i := New(store, config, func() bool { return false }, slog.New(slog.DiscardHandler), tally.NoopScope)
		body := &lateBody{Reader: strings.NewReader(testBody), arrives: func() { config.present = later }}
		r := httptest.NewRequest(http.MethodPost, "/closed/"+string(testJob), body)
		r.Host = host
		r.Header.Set("Authorization", "Bearer "+northKey)
		w := httptest.NewRecorder()
		i.Handler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, want)
		assert.Equal(t, len(store.items), 0)
	}
}

// lateBody calls arrives before it is read.
type lateBody struct {
	*strings.Reader
	arrives func()
}

func (b *lateBody) Read(p []byte) (int, error) {
	b.arrives()
	return b.Reader.Read(p)
}

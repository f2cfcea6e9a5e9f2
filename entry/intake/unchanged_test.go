package intake

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
)

const (
	unchangedSubmission = `txn if [{jobs/0123456789abcdef 0} {withdrawn/0123456789abcdef//closed 0}] put jobs/0123456789abcdef {"service":"batch","queue":"closed","state":"queued"}` +
		` put shard/batch/job/0123456789abcdef {"id":"0123456789abcdef","queue":{"name":"closed","maxAttempts":1,"stretch":0,"target":0},` +
		`"accepted":"2000-01-01T00:00:00Z","definition":{"payload":"","steps":[{"count":1,"need":{}}]}}`
	unchangedRead       = `get jobs/0123456789abcdef`
	unchangedWithdrawal = `txn if [{jobs/0123456789abcdef 0}] put withdrawn/0123456789abcdef//closed {"at":"2000-01-01T00:00:00Z"}`
	unchangedCancel     = `txn if [{jobs/0123456789abcdef 5}] put shard/batch/cancel/0123456789abcdef {}`
)

// unchangedCases are requests to an instance whose configuration has no tenants, with the status and
// the calls to the store. A commit that knows no tenants gave the same results, except for withdrawals, which came later.
var unchangedCases = []struct {
	method, path string
	exists       bool // the job, which belongs to a tenant
	recent       int  // status with a recent configuration
	outdated     int
	unavailable  int // status with an outdated configuration while the store does not respond
	calls        []string
}{
	{"POST", "/closed/0123456789abcdef", false, 200, 200, 503, []string{unchangedSubmission}},
	{"POST", "/closed/0123456789abcdef", true, 200, 200, 503, []string{unchangedSubmission}},
	{"GET", "/closed/0123456789abcdef", false, 410, 410, 503, []string{unchangedRead}},
	{"GET", "/closed/0123456789abcdef", true, 200, 200, 503, []string{unchangedRead}},
	{"DELETE", "/closed/0123456789abcdef", false, 410, 410, 503, []string{unchangedRead, unchangedWithdrawal}},
	{"DELETE", "/closed/0123456789abcdef", true, 200, 200, 503, []string{unchangedRead, unchangedCancel}},
	{"GET", "/closed/", false, 200, 200, 503, []string{"get waiting/batch"}},
	{"GET", "/unknown/", false, 404, 503, 503, nil},
	{"GET", "/closed/x", false, 404, 404, 404, nil},
	{"PUT", "/closed/0123456789abcdef", false, 405, 405, 405, nil},
}

// A deployment without tenants must see no other decision and no other call to the store, whatever
// the header with a key says.
func TestConfigurationWithoutTenantsDecidesAsBefore(t *testing.T) {
	config := testConfig(t, "")
	for _, c := range unchangedCases {
		for _, authorization := range [][]string{nil, {"Bearer " + northKey}, {"Bearer"}} {
			synctest.Test(t, func(t *testing.T) {
				for state, want := range map[string]int{"recent": c.recent, "outdated": c.outdated, "unavailable": c.unavailable} {
					var before = stored("north", "closed")
					if !c.exists {
						before = nil
					}
					i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: state == "recent"}, before...)
					i.store.unavailable = state == "unavailable"
					name := fmt.Sprintf("%s %s %v %s", c.method, c.path, authorization, state)
					assert.Equal(t, i.call(c.method, c.path, authorization...).Code, want, name)
					assert.Equal(t, i.config.waits == 1, state == "outdated", name)
					calls := c.calls
					if want == http.StatusServiceUnavailable {
						calls = nil
					}
					assert.Equal(t, strings.Join(i.store.calls, "\n"), strings.Join(calls, "\n"), name)
					assert.Assert(t, !strings.Contains(i.logAndMetrics(), "tenant"), name)
				}
			})
		}
	}
}

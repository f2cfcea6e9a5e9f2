package intake

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
)

// Guards against status requests that each wait for a configuration that is not confirmed: their callers have time for a
// few attempts, and other instances may answer. A submission waits.
func TestStatusRequestsRepeatAWaitInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText)})
		i.config.hangs = true
		took := func(method string) time.Duration {
			sent := time.Now()
			assert.Equal(t, i.call(method, "/closed/"+string(testJob)).Code, http.StatusServiceUnavailable)
			return time.Since(sent)
		}
		assert.Equal(t, took(http.MethodGet), maxConfigWait)
		assert.Equal(t, took(http.MethodGet), time.Duration(0))
		assert.Equal(t, took(http.MethodPost), maxConfigWait)
		time.Sleep(vainWaitPause)
		assert.Equal(t, took(http.MethodGet), maxConfigWait)
	})
}

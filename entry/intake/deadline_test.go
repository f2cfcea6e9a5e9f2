package intake

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// Guards against deadlines that a kind of machine converts to the past or to centuries, and against
// requests that are held for as long as a caller asks.
func TestDeadlinesAreMisread(t *testing.T) {
	const absent = 3*time.Second - deadlineMargin
	for header, want := range map[string]time.Duration{
		"": absent, "soon": absent, "3000ms": absent, "-1": absent, "-Inf": absent, "-1e400": absent, "0": absent, "NaN": absent,
		"3000": absent, "3000.5": absent + 500*time.Microsecond, "+3e3": absent,
		"300": 150 * time.Millisecond, "1": 500 * time.Microsecond, "1e-3": 500 * time.Nanosecond, "1e-300": 0,
		"60000": maxDeadline - deadlineMargin, "60001": maxDeadline - deadlineMargin, "9223372036854": maxDeadline - deadlineMargin,
		"1e19": maxDeadline - deadlineMargin, "1e300": maxDeadline - deadlineMargin, "1e400": maxDeadline - deadlineMargin,
		"Inf": maxDeadline - deadlineMargin, "+infinity": maxDeadline - deadlineMargin,
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		if header != "" {
			r.Header.Set(submission.HeaderDeadline, header)
		}
		assert.Equal(t, deadlineOf(r), want, "%q", header)
	}
}

// A request must be answered within its deadline, however short, also while it waits for a recent
// configuration or the store does not respond.
func TestShortDeadlinePassesBeforeTheResponse(t *testing.T) {
	config := testConfig(t, tenantsText)
	for _, deadline := range []string{"20", "300", "500", "3000"} {
		for name, arrange := range map[string]func(i *testIntake){
			"configuration never recent": func(i *testIntake) { i.config.present, i.config.hangs = operatorconfig.Knowledge{Config: config}, true },
			"store silent":               func(i *testIntake) { i.store.silent = true },
			"store refuses":              func(i *testIntake) { i.store.failure = errRefused },
			"rate exceeded":              func(i *testIntake) { i.store.failure = errRateLimited },
		} {
			for _, method := range methods {
				synctest.Test(t, func(t *testing.T) {
					i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: true}, stored("north", "closed")...)
					arrange(i)
					i.config.awaited = i.config.present
					i.deadline = deadline
					wait, err := time.ParseDuration(deadline + "ms")
					assert.NilError(t, err)
					sent := time.Now()
					i.call(method, "/closed/"+string(testJob), "Bearer "+northKey)
					assert.Assert(t, time.Since(sent) < wait, "%s %s %s: %v", name, method, deadline, time.Since(sent))
				})
			}
		}
	}
}

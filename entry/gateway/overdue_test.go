package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"gotest.tools/v3/assert"
)

// attemptTimes are the times that the gateway passes to the transport with an attempt.
type attemptTimes struct{ OverdueAfter, RunTime time.Duration }

// overdueRecorder is a transport that responds after runTime and records the times of each
// attempt. If fails is set, it loses the first attempt.
type overdueRecorder struct {
	runTime  time.Duration
	fails    bool
	attempts []attemptTimes
}

func (o *overdueRecorder) Send(_ context.Context, _ backend.Target, r *backend.Request) (*backend.Response, error) {
	o.attempts = append(o.attempts, attemptTimes{r.OverdueAfter, r.RunTime})
	if o.fails && len(o.attempts) == 1 {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "planned")
	}
	time.Sleep(o.runTime)
	return okResponse("ok"), nil
}

// TestOnlyFirstAttemptsThatMayBeRetriedAreBounded checks how long the attempts of a request
// wait for a response. The timeout is 2 s.
func TestOnlyFirstAttemptsThatMayBeRetriedAreBounded(t *testing.T) {
	const half, fast, slow = time.Second, 10 * time.Millisecond, 900 * time.Millisecond
	cases := []struct {
		name    string
		class   string
		runTime time.Duration // of an earlier request of the class; zero if there was none
		fails   bool
		want    []attemptTimes
	}{
		{"repeatable", "check", fast, false, []attemptTimes{{half, fast}}},
		{"second attempt", "check", fast, true, []attemptTimes{{half, fast}, {0, fast}}},
		{"not repeatable", "order", fast, false, []attemptTimes{{0, fast}}},
		{"slow class", "check", slow, false, []attemptTimes{{0, slow}}},
		{"class without a response", "check", 0, false, []attemptTimes{{half, 0}}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			transport := &overdueRecorder{runTime: c.runTime}
			g, _ := newTestGateway(transport.Send, nil)
			if c.runTime > 0 {
				call(g, http.MethodGet, "/s/sportello/x", "", header.Class, c.class)
			}
			transport.attempts, transport.fails = nil, c.fails
			w := call(g, http.MethodGet, "/s/sportello/x", "", header.Class, c.class)
			assert.Equal(t, w.Code, http.StatusOK, c.name)
			assert.DeepEqual(t, transport.attempts, c.want)
		})
	}
}

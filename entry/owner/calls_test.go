package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// overdueLine is a log line about calls that exceeded their time limits.
type overdueLine struct {
	Calls            int            `json:"calls"`
	Overdue          int            `json:"overdue"`
	ByKind           map[string]int `json:"overdue_by_kind"`
	ExecutorsCalled  int            `json:"executors_called"`
	ExecutorsOverdue int            `json:"executors_overdue"`
	LongestMs        int64          `json:"longest_answered_ms"`
}

// Calls to many sound executors exceeded their time limits since the instance's link was full, and no log
// line or metric told that from the failure of single executors.
func TestOverdueCallsAreReportedOncePerPeriod(t *testing.T) {
	o, log, scope := reportingOwner()
	for i := range 20 {
		r := callResult{executor: cluster.ExecutorID(fmt.Sprintf("e-%d", i%5)), kind: callKindPoll, outcome: callAnswered, took: 1900 * time.Millisecond, wait: 1500 * time.Millisecond}
		if i%5 < 2 {
			r.outcome = callTimedOut
		}
		o.recordCall(r)
	}
	o.reportCalls(time.Second)
	o.reportCalls(time.Second)
	lines := linesOf[overdueLine](t, log, "calls to executors exceed their time limits")
	assert.DeepEqual(t, lines, []overdueLine{{
		Calls: 20, Overdue: 8, ByKind: map[string]int{callKindPoll: 8}, ExecutorsCalled: 5, ExecutorsOverdue: 2, LongestMs: 400,
	}})
	assert.Equal(t, len(scope.Snapshot().Histograms()), 2) // one for each outcome
}

func TestFewOverdueCallsAreNotLogged(t *testing.T) {
	o, log, _ := reportingOwner()
	for range 100 {
		o.recordCall(callResult{executor: "e-1", kind: "start", outcome: callAnswered})
	}
	o.recordCall(callResult{executor: "e-1", kind: "start", outcome: callTimedOut})
	o.reportCalls(time.Second)
	assert.Equal(t, log.Len(), 0)
}

func TestOutcomeOfACallThatExceedsItsLimit(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errOverdue)
	assert.Equal(t, callOutcomeOf(ctx, ctx.Err()), callTimedOut)
	assert.Equal(t, callOutcomeOf(t.Context(), context.Canceled), callFailed)
	assert.Equal(t, callOutcomeOf(ctx, nil), callAnswered)
}

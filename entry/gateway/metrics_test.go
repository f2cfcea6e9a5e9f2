package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

func TestHistogramsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope, Settings{MaxTenants: 3, MaxClasses: 1})
	for i := range 10 {
		for range 2 {
			m.tenants.record(fmt.Sprint("tenant-", i), time.Millisecond)
		}
	}
	counts := map[string]int64{}
	for _, h := range scope.Snapshot().Histograms() {
		for _, count := range h.Durations() {
			counts[h.Tags()["tenant"]] += count
		}
	}
	assert.DeepEqual(t, counts, map[string]int64{"tenant-0": 2, "tenant-1": 2, "tenant-2": 2, "other": 14})
}

func TestCountersPerReasonCode(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	g, _ := newTestGateway(respondOK, func(o *Options) { o.Scope = scope })
	call(g, "GET", "/s/nowhere/x", "")
	call(g, "GET", "/s/sportello/x", "", header.Class, "check", header.Tenant, "trapani")
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["refusals+code=unknown-service"].Value(), int64(1))
	assert.Equal(t, counters["answers+status=2xx"].Value(), int64(1))
}

func TestExplainRecordsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var records []explain.Record
		g, _ := newTestGateway(failWith(verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "cut")),
			func(o *Options) { o.Explain = func(r explain.Record) { records = append(records, r) } })
		for range 2 * maxRecordsPerSecond {
			call(g, "POST", "/s/sportello/x", "", header.RequestID, "id-1")
		}
		assert.Equal(t, len(records), maxRecordsPerSecond)
		assert.Equal(t, records[0].Subject, explain.Request("id-1"))
		assert.Equal(t, records[0].Reason, explain.Reason(verdict.CodeConnectionLost))
		time.Sleep(time.Second)
		call(g, "POST", "/s/sportello/x", "")
		assert.Equal(t, len(records), maxRecordsPerSecond+1)
	})
}

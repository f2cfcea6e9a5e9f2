package metrics

import (
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestScrapeShowsCountersAndHistograms(t *testing.T) {
	m := New(func(err error) { t.Error(err) })
	m.Scope.Tagged(map[string]string{"class": "check"}).Counter("requests").Inc(3)
	m.Scope.Histogram("latency", tally.DefaultBuckets).RecordDuration(1)
	assert.NilError(t, m.Close())

	response := httptest.NewRecorder()
	m.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, cmp.Contains(response.Body.String(), `tarragon_requests{class="check"} 3`))
	assert.Assert(t, cmp.Contains(response.Body.String(), "tarragon_latency_bucket"))
}

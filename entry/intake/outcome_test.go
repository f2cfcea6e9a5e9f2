package intake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

var (
	errRateLimited = call.RefusedFor(call.Response{Status: http.StatusTooManyRequests}, kv.ErrRateLimited)
	errRefused     = call.Refused(call.Response{Status: http.StatusServiceUnavailable})
)

const rejectedState = `{"service":"batch","queue":"closed","tenant":"north","state":"cancelled","rejected":{}}`

// statusOutcomes are the ways in which a status request can end.
var statusOutcomes = []struct {
	outcome outcome
	status  int
	arrange func(i *testIntake)
	key     string // northKey if empty
}{
	{outcomeAnswered, 200, func(*testIntake) {}, ""},
	{outcomeNoConfig, 503, func(i *testIntake) { i.config.present = operatorconfig.Knowledge{} }, ""},
	{outcomeConfigNotRecent, 503, func(i *testIntake) { i.config.present.Recent, i.config.awaited.Recent = false, false }, ""},
	{outcomeKeyRefused, 401, func(*testIntake) {}, unknownKey},
	{outcomeOtherTenant, 410, func(*testIntake) {}, southKey},
	{outcomeNotFound, 410, func(i *testIntake) { clear(i.store.items) }, ""},
	{outcomeRejected, 410, func(i *testIntake) { i.setState(rejectedState) }, ""},
	{outcomeUnreadable, 503, func(i *testIntake) { i.setState("[") }, ""},
	{outcomeStoreRate, 503, func(i *testIntake) { i.store.failure = errRateLimited }, ""},
	{outcomeStoreRefused, 503, func(i *testIntake) { i.store.failure = errRefused }, ""},
	{outcomeStoreNoResponse, 503, func(i *testIntake) {
		i.store.failure = fmt.Errorf("no response: %w", context.DeadlineExceeded)
	}, ""},
	{outcomeStoreUnavailable, 503, func(i *testIntake) { i.store.unavailable = true }, ""},
	{outcomeDeadline, 503, func(i *testIntake) { i.store.silent = true; i.deadline = "600" }, ""},
}

func (i *testIntake) setState(value string) {
	key := layout.JobKey(testJob)
	i.store.items[key] = kv.Item{Key: key, Value: []byte(value), Revision: 5}
}

// Guards against ways to fail that operators can't tell apart by metrics, by the request's line or by the
// summary of a second: their causes and remedies differ.
func TestStatusRequestsThatFailDifferentlyLookAlike(t *testing.T) {
	config := testConfig(t, tenantsText)
	for _, c := range statusOutcomes {
		t.Run(c.outcome.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: true}, stored("north", "closed")...)
				c.arrange(i)
				key := c.key
				if key == "" {
					key = northKey
				}
				response := i.call(http.MethodGet, "/closed/"+string(testJob), "Bearer "+key)
				assert.Equal(t, response.Code, c.status)
				var found []string
				for _, h := range i.scope.Snapshot().Histograms() {
					if h.Name() == "request_seconds" {
						found = append(found, h.Tags()["outcome"])
					}
				}
				assert.DeepEqual(t, found, []string{c.outcome.String()})
				line := i.log.String()
				assert.Equal(t, line != "", c.outcome != outcomeAnswered)
				if line != "" {
					assert.Assert(t, strings.Contains(line, `"outcome":"`+c.outcome.String()+`"`), line)
					assert.Assert(t, strings.Contains(line, fmt.Sprintf(`"store_calls":%d,`, len(i.store.calls))), line)
				}
				i.log.Reset()
				i.intake.summary.write(slog.New(slog.NewJSONHandler(&i.log, nil)))
				assert.Assert(t, strings.Contains(i.log.String(), `"outcomes":{"`+c.outcome.String()+`":1}`), i.log.String())
				checkNoKey(t, i.logAndMetrics())
			})
		})
	}
}

// Operators must see how often the store refuses calls, and how many calls a request makes.
func TestRefusedStoreCallsAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, ""), Recent: true})
		i.store.failure = errRateLimited
		i.call(http.MethodGet, "/closed/"+string(testJob))
		calls := map[string]int{}
		for _, call := range i.store.calls {
			name, _, _ := strings.Cut(call, " ")
			calls[name]++
		}
		reads, stale := calls["get"], calls["get-stale"]
		assert.Assert(t, reads > 1)
		want := fmt.Sprintf(`"store_calls":%d,"store_rate_limited":%d,"store_failed":0,"stale_reads":%d}`, reads+stale, reads, stale)
		assert.Assert(t, strings.Contains(i.log.String(), want), i.log.String())
		assert.Equal(t, i.scope.Snapshot().Counters()["store_calls+call=get,result=store-rate-limited"].Value(), int64(reads))
	})
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against an unbounded log, against lines while nothing is asked, and against requests that no
// line counts: many status requests within a second leave one line, and none leave none.
func TestSummaryLinesAreUnboundedOrIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, ""), Recent: true}, stored("", "closed")...)
		var out lockedBuffer
		i.intake.logger = slog.New(slog.NewJSONHandler(&out, nil))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { i.intake.Run(ctx) })
		for range 200 {
			i.call(http.MethodGet, "/closed/"+string(testJob))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		i.call(http.MethodGet, "/closed/"+string(testJob))
		cancel()
		running.Wait()
		var requests []int
		for line := range strings.Lines(out.text.String()) {
			var body struct {
				Msg      string
				Requests int
				Outcomes map[string]int
			}
			assert.NilError(t, json.Unmarshal([]byte(line), &body))
			assert.Equal(t, body.Msg, "status requests")
			assert.Equal(t, body.Outcomes["answered"], body.Requests)
			requests = append(requests, body.Requests)
		}
		assert.Equal(t, len(requests), 3)
		assert.Equal(t, requests[0]+requests[1]+requests[2], 201)
	})
}

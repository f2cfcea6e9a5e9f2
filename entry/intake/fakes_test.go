package intake

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// fakeStore is a store in memory that lists the calls that it receives.
type fakeStore struct {
	items       map[string]kv.Item
	calls       []string
	unavailable bool
	failure     error     // of all reads
	failsUntil  time.Time // when failure ends; zero for never
	silent      bool      // reads get no response

	staleItems    map[string]kv.Item
	refusedUntil  time.Time // reads but stale ones are refused for the rate until then
	rateLimitedAt time.Time // when that happened last
}

func (s *fakeStore) Get(ctx context.Context, key string) (kv.Item, error) {
	s.calls = append(s.calls, "get "+key)
	if s.silent {
		<-ctx.Done()
		return kv.Item{}, ctx.Err()
	}
	if time.Now().Before(s.refusedUntil) {
		s.rateLimitedAt = time.Now()
		return kv.Item{}, errRateLimited
	}
	if s.failure != nil && (s.failsUntil.IsZero() || time.Now().Before(s.failsUntil)) {
		return kv.Item{}, s.failure
	}
	item, found := s.items[key]
	if !found {
		return item, kv.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) GetStale(_ context.Context, key string) (kv.Item, error) {
	s.calls = append(s.calls, "get-stale "+key)
	item, found := s.staleItems[key]
	if !found {
		return item, kv.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) RateLimited() bool { return time.Since(s.rateLimitedAt) < time.Second }

func (s *fakeStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	call := fmt.Sprintf("txn if %v", t.Conditions)
	for _, p := range t.Puts {
		call += fmt.Sprintf(" put %s %s", p.Key, p.Value)
	}
	s.calls = append(s.calls, call)
	var current []kv.Item
	holds := true
	for _, c := range t.Conditions {
		item, found := s.items[c.Key]
		if found {
			current = append(current, item)
		}
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return kv.TxnResult{Current: current}, nil
	}
	for _, p := range t.Puts {
		s.items[p.Key] = kv.Item{Key: p.Key, Value: p.Value, Revision: 9}
	}
	return kv.TxnResult{Applied: true, Revision: 9}, nil
}

func (s *fakeStore) Unavailable() (time.Time, bool) { return time.Now(), s.unavailable }
func (s *fakeStore) Responds(context.Context) bool  { return !s.unavailable }
func (s *fakeStore) Timeout(int) time.Duration      { return time.Second }

// fakeConfig knows a configuration; if it is outdated, waiting for a recent one yields awaited.
type fakeConfig struct {
	present, awaited operatorconfig.Knowledge
	waits            int
	hangs            bool // no configuration becomes recent
}

func (c *fakeConfig) Knowledge() operatorconfig.Knowledge { return c.present }

func (c *fakeConfig) AwaitRecent(ctx context.Context) operatorconfig.Knowledge {
	c.waits++
	if c.hangs {
		<-ctx.Done()
	}
	return c.awaited
}

// Keys of the tenants of testConfig, and one that none of them has. No four characters of them
// appear in anything else that is logged.
const (
	northKey   = "Vq7ZzK-nW4hJ"
	southKey   = "Xy9QqB~sU6gD"
	unknownKey = "Rj3PpL.uF8mC"
)

const (
	host      = "shop.example"
	testJob   = job.ID("0123456789abcdef")
	testBody  = `{"steps":[{"count":1}]}`
	routeText = `"routes":[{"name":"closed","host":"` + host + `","prefix":"/closed/","service":"batch"},` +
		`{"name":"open","host":"` + host + `","prefix":"/open/","service":"batch","public":true}]`
	tenantsText = `,"tenants":[{"name":"north","api-keys":["` + northKey + `"]},{"name":"south","api-keys":["` + southKey + `"]}]`
)

func testConfig(t *testing.T, tenants string) *cluster.Config {
	t.Helper()
	c, err := registry.Config([]byte(`{"version":3,` + routeText + tenants + `}`))
	assert.NilError(t, err)
	return c
}

// testIntake is an intake with fakes, whose log and metrics are kept.
type testIntake struct {
	store   *fakeStore
	config  *fakeConfig
	scope   tally.TestScope
	log     bytes.Buffer
	intake  *Intake
	handler http.Handler
	// deadline is the value of the header with the caller's deadline; none if empty.
	deadline string
}

func newTestIntake(k operatorconfig.Knowledge, stored ...layout.State) *testIntake {
	i := &testIntake{
		store: &fakeStore{items: map[string]kv.Item{}}, config: &fakeConfig{present: k, awaited: k},
		scope: tally.NewTestScope("", nil),
	}
	for _, state := range stored {
		value, err := layout.Encode(state)
		if err != nil {
			panic(err)
		}
		i.store.items[layout.JobKey(testJob)] = kv.Item{Key: layout.JobKey(testJob), Value: value, Revision: 5}
	}
	logger := slog.New(slog.NewJSONHandler(&i.log, nil))
	i.intake = New(i.store, i.config, func() bool { return false }, logger, i.scope)
	i.handler = i.intake.Handler()
	return i
}

func (i *testIntake) call(method, path string, authorization ...string) *httptest.ResponseRecorder {
	body := ""
	if method == http.MethodPost {
		body = testBody
	}
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = host
	for _, value := range authorization {
		request.Header.Add("Authorization", value)
	}
	if i.deadline != "" {
		request.Header.Set(submission.HeaderDeadline, i.deadline)
	}
	recorder := httptest.NewRecorder()
	i.handler.ServeHTTP(recorder, request)
	return recorder
}

// logAndMetrics returns all that the intake has logged and measured.
func (i *testIntake) logAndMetrics() string {
	var text strings.Builder
	text.WriteString(i.log.String())
	snapshot := i.scope.Snapshot()
	for name := range snapshot.Counters() {
		text.WriteString(name + "\n")
	}
	for name := range snapshot.Histograms() {
		text.WriteString(name + "\n")
	}
	return text.String()
}

// checkNoKey checks that a text contains no four characters in a row of any key.
func checkNoKey(t *testing.T, text string) {
	t.Helper()
	const part = 4
	for _, key := range []string{northKey, southKey, unknownKey} {
		for at := range len(key) - part + 1 {
			assert.Assert(t, !strings.Contains(text, key[at:at+part]), "%s of a key in %s", key[at:at+part], text)
		}
	}
}

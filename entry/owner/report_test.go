package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// waitingLine is a log line about waiting jobs.
type waitingLine struct {
	Message        string                       `json:"msg"`
	LedMs          int64                        `json:"led_ms"`
	SinceContactMs int64                        `json:"unheard_ms"`
	Jobs           int                          `json:"jobs"`
	OldestMs       int64                        `json:"oldest_ms"`
	ByReason       map[shard.Reason]reasonEntry `json:"why"`
	Samples        map[shard.Reason][]job.ID    `json:"named"`
	DelayMs        int64                        `json:"late_ms"`
	Executors      int                          `json:"executors"`
	Unusable       map[shard.UnusableReason]int `json:"unusable"`
}

func waitingLines(t *testing.T, log *bytes.Buffer) []waitingLine {
	t.Helper()
	return linesOf[waitingLine](t, log, "jobs wait")
}

// linesOf returns the lines with one of the messages.
func linesOf[line any](t *testing.T, log *bytes.Buffer, messages ...string) []line {
	t.Helper()
	var lines []line
	for decoder := json.NewDecoder(bytes.NewReader(log.Bytes())); decoder.More(); {
		var raw json.RawMessage
		assert.NilError(t, decoder.Decode(&raw))
		var header struct {
			Message string `json:"msg"`
		}
		assert.NilError(t, json.Unmarshal(raw, &header))
		if !slices.Contains(messages, header.Message) {
			continue
		}
		var l line
		assert.NilError(t, json.Unmarshal(raw, &l))
		lines = append(lines, l)
	}
	return lines
}

// reportingOwner returns an owner with its log and metrics.
func reportingOwner() (*Owner, *bytes.Buffer, tally.TestScope) {
	log, scope := &bytes.Buffer{}, tally.NewTestScope("", nil)
	o := testOwner()
	o.Logger, o.Scope = slog.New(slog.NewJSONHandler(log, nil)), scope
	o.delays = delays{ledSince: time.Now(), reportedAt: time.Now(), lastContact: time.Now()}
	return o, log, scope
}

// gauge returns the value of a gauge by its name and reason, or -1 if there is none.
func gauge[reasonType ~string](scope tally.TestScope, name string, reason reasonType) float64 {
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name && g.Tags()["reason"] == string(reason) {
			return g.Value()
		}
	}
	return -1
}

// From longWait on, a waiting job is logged once a second with its ID and reason; before
// that only the metrics show it.
func TestLongWaitIsLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = job.ID("00000000000000aa")
		o, log, scope := reportingOwner()
		o.applyJobs(recordAt(t, id, 5), nil, time.Now())
		for range 100 { // 2 s
			time.Sleep(tickInterval)
			o.report(time.Now())
		}
		assert.Equal(t, len(waitingLines(t, log)), 0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonNoExecutor), 1.0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonNoCapacity), 0.0)
		assert.Equal(t, gauge(scope, "waiting_oldest_seconds", ""), 2.0)
		for range 150 { // 5 s
			o.delays.lastContact = time.Now()
			time.Sleep(tickInterval)
			o.report(time.Now())
		}
		lines := waitingLines(t, log)
		assert.Equal(t, len(lines), 3) // at 3, 4 and 5 s
		last := lines[2]
		assert.Equal(t, last.LedMs, int64(5000))
		assert.Equal(t, last.Jobs, 1)
		assert.Equal(t, last.OldestMs, int64(5000))
		assert.DeepEqual(t, last.Samples, map[shard.Reason][]job.ID{shard.ReasonNoExecutor: {id}})
		assert.DeepEqual(t, last.ByReason, map[shard.Reason]reasonEntry{shard.ReasonNoExecutor: {1, string(id), 5000}})
	})
}

// Jobs accepted since the last contact with the store are unknown to the owner: the log
// reports the time without contact, even if no known job waits.
func TestLostStoreContactIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		time.Sleep(longWait)
		o.report(time.Now())
		lines := waitingLines(t, log)
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Jobs, 0)
		assert.Equal(t, lines[0].SinceContactMs, longWait.Milliseconds())
	})
}

// The gauge late_seconds is the longest wait of an event for the loop since the last report.
func TestEventDelayIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, scope := reportingOwner()
		o.events, o.ctx = make(chan event, 1), t.Context()
		o.send(func(time.Time) {})
		time.Sleep(700 * time.Millisecond)
		o.drain()
		time.Sleep(reportInterval)
		o.report(time.Now())
		assert.Equal(t, gauge(scope, "late_seconds", ""), 0.7)
		time.Sleep(reportInterval)
		o.report(time.Now())
		assert.Equal(t, gauge(scope, "late_seconds", ""), 0.0)
	})
}

// While an owner loads its shard, it logs once a second that the jobs are not loaded yet.
func TestLoadingOfAShardIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		o.Store = slowStore{listingTime: 4500 * time.Millisecond}
		done := o.logLoading(t.Context())
		assert.NilError(t, o.load(t.Context()))
		done()
		synctest.Wait()
		lines := waitingLines(t, log)
		assert.Equal(t, len(lines), 4)
		assert.DeepEqual(t, lines[3].ByReason, map[shard.Reason]reasonEntry{reasonNotLoaded: {}})
		assert.Equal(t, lines[3].LedMs, int64(4000))
	})
}

// A small job that waits for room held for a larger one must be explained: the log names the larger
// job, and the metrics count the reservation.
func TestReservationsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	o, _, scope := reportingOwner()
	note := shard.ReservationNote{Job: "00000000000000aa", Executors: []cluster.ExecutorID{"i-1", "i-2"}, Since: now.Add(-time.Second), Until: now.Add(time.Second)}
	report := shard.ReservationReport{Present: []shard.ReservationNote{note}, ReservationCounts: shard.ReservationCounts{Held: 3, Used: 1, GivenUp: 1}}
	o.measureReservations(report)
	assert.Equal(t, gauge(scope, "held_executors", ""), 2.0)
	for _, c := range scope.Snapshot().Counters() {
		want := map[string]int64{"held": 3, "used": 1, "given_up": 1}[c.Tags()["event"]]
		assert.Equal(t, c.Value(), want, c.Tags()["event"])
	}
	entries := reservationsOf(report, now)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Job, job.ID("00000000000000aa"))
	assert.Equal(t, entries[0].HeldMs, int64(1000))
	assert.Equal(t, entries[0].UntilMs, int64(1000))
}

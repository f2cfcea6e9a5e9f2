package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// waitLine is a line of the log about jobs that wait.
type waitLine struct {
	Message  string                      `json:"msg"`
	LedMs    int64                       `json:"led_ms"`
	Unheard  int64                       `json:"unheard_ms"`
	Jobs     int                         `json:"jobs"`
	OldestMs int64                       `json:"oldest_ms"`
	Why      map[shard.Reason]reasonLine `json:"why"`
	Named    map[shard.Reason][]job.ID   `json:"named"`
	LateMs   int64                       `json:"late_ms"`
}

func waitLines(t *testing.T, log *bytes.Buffer) []waitLine {
	t.Helper()
	var lines []waitLine
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line waitLine
		assert.NilError(t, decoder.Decode(&line))
		if line.Message == "jobs wait" {
			lines = append(lines, line)
		}
	}
	return lines
}

// reportingOwner is an owner whose log and metrics can be read.
func reportingOwner() (*Owner, *bytes.Buffer, tally.TestScope) {
	log, scope := &bytes.Buffer{}, tally.NewTestScope("", nil)
	o := testOwner()
	o.Logger, o.Scope = slog.New(slog.NewJSONHandler(log, nil)), scope
	o.delays = delays{ledSince: time.Now(), reportedAt: time.Now(), heardAt: time.Now()}
	return o, log, scope
}

// gauge returns the value of a gauge by its name and reason.
func gauge(scope tally.TestScope, name string, reason shard.Reason) float64 {
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name && g.Tags()["reason"] == string(reason) {
			return g.Value()
		}
	}
	return -1
}

// A job that waits is named with its reason, once a second from the time on that it has
// waited long; until then the metrics alone tell.
func TestLongWaitIsLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = job.ID("00000000000000aa")
		o, log, scope := reportingOwner()
		o.applyJobs(recordAt(t, id, 5), nil, time.Now())
		for range 100 { // 2 s
			time.Sleep(tickEvery)
			o.report(time.Now())
		}
		assert.Equal(t, len(waitLines(t, log)), 0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonNoExecutor), 1.0)
		assert.Equal(t, gauge(scope, "waiting_jobs", shard.ReasonNoCapacity), 0.0)
		assert.Equal(t, gauge(scope, "waiting_oldest_seconds", ""), 2.0)
		for range 150 { // 5 s
			o.delays.heardAt = time.Now()
			time.Sleep(tickEvery)
			o.report(time.Now())
		}
		lines := waitLines(t, log)
		assert.Equal(t, len(lines), 3) // at 3, 4 and 5 s
		last := lines[2]
		assert.Equal(t, last.LedMs, int64(5000))
		assert.Equal(t, last.Jobs, 1)
		assert.Equal(t, last.OldestMs, int64(5000))
		assert.DeepEqual(t, last.Named, map[shard.Reason][]job.ID{shard.ReasonNoExecutor: {id}})
		assert.DeepEqual(t, last.Why, map[shard.Reason]reasonLine{shard.ReasonNoExecutor: {1, string(id), 5000}})
	})
}

// Jobs that were accepted since the store was heard last are not known: the log says since
// when, though no known job waits.
func TestUnheardStoreIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		time.Sleep(waitsLong)
		o.report(time.Now())
		lines := waitLines(t, log)
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Jobs, 0)
		assert.Equal(t, lines[0].Unheard, waitsLong.Milliseconds())
	})
}

// An event that waits for the loop makes the owner's delay.
func TestDelayOfTheLoopIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, scope := reportingOwner()
		o.events, o.ctx = make(chan event, 1), t.Context()
		o.send(func(time.Time) {})
		time.Sleep(700 * time.Millisecond)
		o.drain()
		time.Sleep(reportEvery)
		o.report(time.Now())
		assert.Equal(t, gauge(scope, "late_seconds", ""), 0.7)
		time.Sleep(reportEvery)
		o.report(time.Now())
		assert.Equal(t, gauge(scope, "late_seconds", ""), 0.0)
	})
}

// While a shard is being read, its owner says so once a second.
func TestReadingOfAShardIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		o.Store = slowStore{listing: 4500 * time.Millisecond}
		done := o.tellReading(t.Context())
		assert.NilError(t, o.load(t.Context()))
		done()
		synctest.Wait()
		lines := waitLines(t, log)
		assert.Equal(t, len(lines), 4)
		assert.DeepEqual(t, lines[3].Why, map[shard.Reason]reasonLine{reasonNotRead: {}})
		assert.Equal(t, lines[3].LedMs, int64(4000))
	})
}

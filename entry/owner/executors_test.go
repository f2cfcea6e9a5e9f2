package owner

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

func entryEvent(id, value string) kv.Event {
	return kv.Event{Item: kv.Item{Key: executorPrefix + id, Value: []byte(value)}}
}

// Entries that can't be read come and go under ever new keys, removed between listings or seen as
// removed. The log must not grow with their number nor with their length, nor the memory with keys that
// are gone; entries that stay are logged once.
func TestEntriesThatCanNotBeReadFloodNeitherLogNorMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &bytes.Buffer{}
		l := newExecutorList(testService, slog.New(slog.NewJSONHandler(log, nil)))
		long := `{"capacity":{"cpu":1` + strings.Repeat("0", 5_000) + `}}`
		const seconds = 60
		for i := range seconds * 4 {
			events := []kv.Event{entryEvent("stays", "{")}
			for n := range 20 {
				events = append(events, entryEvent(fmt.Sprintf("odd-%d-%d", i, n), long))
			}
			l.apply(follow.Change{Reset: i%2 == 0, Events: events})
			time.Sleep(executorsPause)
		}
		lines := strings.Count(log.String(), "\n")
		assert.Assert(t, lines >= 1 && lines <= seconds/10+1, "%d lines", lines)
		assert.Assert(t, log.Len() < lines*2000, "%d bytes", log.Len())
		assert.Equal(t, strings.Count(log.String(), `entry \"`+executorPrefix+`stays\":`), 1)
		l.apply(follow.Change{Reset: true, Events: []kv.Event{entryEvent("stays", "{")}})
		assert.Equal(t, l.skipped.Present(), 1)
	})
}

// closingExecutor counts the clients that are not closed.
type closingExecutor struct {
	Executor
	open *int
}

func (e closingExecutor) Close() { *e.open-- }

// Executors come and go under ever new IDs: the clients of those that are gone must not be kept.
func TestClientsOfExecutorsThatAreGoneAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, _ := reportingOwner()
		open := 0
		o.clients = map[cluster.ExecutorID]executorClient{}
		o.Dial = func(cluster.ExecutorID, string) Executor { open++; return closingExecutor{open: &open} }
		sound := cluster.Executor{ID: "i-1", Address: "i-1:80"}
		for i := range 600 {
			o.client(sound)
			o.client(cluster.Executor{ID: cluster.ExecutorID(fmt.Sprintf("odd-%d", i)), Address: "odd:1"})
			time.Sleep(reportInterval)
			o.report(time.Now())
		}
		assert.Assert(t, open <= 2+int(clientRetention/reportInterval), "%d clients", open)
		assert.Assert(t, o.clients["i-1"].Executor != nil)
		assert.Equal(t, len(o.clients), open)
	})
}

// An entry of another writer names another service for an executor at work, whose owner would stop its
// runs and fence off the owner of its own service. The executor's own entries hold.
func TestExecutorStaysWithItsService(t *testing.T) {
	entry := func(service cluster.Service, born int) kv.Event {
		more := ""
		if born > 0 {
			more = fmt.Sprintf(`,"born":%d`, born)
		}
		return entryEvent("i-1", fmt.Sprintf(`{"service":%q,"address":"i-1:80","state":"ready","capacity":{"cpu":1}%s}`, service, more))
	}
	const other = cluster.Service("other")
	for name, tc := range map[string]struct {
		born, oddBorn int
		moved         bool // by a later incarnation, which may have another service
	}{
		"same birth": {5, 5, false}, "no births": {0, 0, false}, "birth unknown later": {5, 0, false},
		"birth unknown first": {0, 5, false}, "earlier birth": {5, 4, false}, "later birth": {5, 6, true},
	} {
		for _, reset := range []bool{false, true} {
			own, others := newExecutorList(testService, slog.New(slog.DiscardHandler)), newExecutorList(other, slog.New(slog.DiscardHandler))
			listed := func(e kv.Event) (int, int) {
				for _, l := range []*executorList{own, others} {
					l.apply(follow.Change{Reset: reset, Events: []kv.Event{e}})
				}
				return len(own.list()), len(others.list())
			}
			n, m := listed(entry(testService, tc.born))
			assert.Equal(t, n*10+m, 10, name)
			n, m = listed(entry(other, tc.oddBorn))
			want := 0
			if tc.moved {
				want = 1
			}
			assert.Equal(t, n*10+m, want, name)
			if !tc.moved {
				n, m = listed(entry(testService, tc.born))
				assert.Equal(t, n*10+m, 10, name)
			}
		}
	}
}

// An owner sees the entry of another writer first, or it goes on writing beside the executor: the
// executor's own entries, which follow each heartbeat, win, and nothing is kept of entries that are gone.
func TestExecutorsOwnEntriesWinAgainstAnEarlierOneOfAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(service cluster.Service) follow.Change {
			return follow.Change{Reset: true, Events: []kv.Event{
				entryEvent("i-1", fmt.Sprintf(`{"service":%q,"address":"i-1:80","state":"ready","capacity":{"cpu":1},"born":5}`, service)),
			}}
		}
		const heartbeat = 1500 * time.Millisecond
		own := newExecutorList(testService, slog.New(slog.DiscardHandler))
		own.apply(entry("other"))
		for range 5 {
			own.apply(entry(testService))
			time.Sleep(heartbeat)
		}
		assert.Equal(t, len(own.list()), 1)
		for range 20 {
			for range 3 {
				own.apply(entry("other"))
				assert.Equal(t, len(own.list()), 0)
			}
			own.apply(entry(testService))
			assert.Equal(t, len(own.list()), 1)
			time.Sleep(heartbeat)
		}
		own.apply(follow.Change{Reset: true})
		assert.Equal(t, len(own.origins), 0)
	})
}

// What responds at an address of another writer's entry gives any reasons. They are tags of metrics, which
// are kept for ever.
func TestUnknownReasonsAddNoMetrics(t *testing.T) {
	o, _, scope := reportingOwner()
	for i := range 1000 {
		reason := fmt.Sprint("odd-", i)
		o.logCompletions(shard.Poll{}, execution.PollResponse{Ended: []execution.Ended{{Reason: execution.EndReason(reason)}}})
		o.logCommand(shard.Command{}, execution.Reply{Refusal: execution.Refusal(reason)}, nil)
	}
	o.logCompletions(shard.Poll{}, execution.PollResponse{Ended: []execution.Ended{{Reason: execution.EndedFailed}}})
	o.logCommand(shard.Command{}, execution.Reply{Refusal: execution.RefusedCapacity}, nil)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()+" "+c.Tags()["how"]+c.Tags()["outcome"]] = c.Value()
	}
	assert.DeepEqual(t, counts, map[string]int64{"ends unknown": 1000, "ends failed": 1, "orders unknown": 1000, "orders room": 1})
}

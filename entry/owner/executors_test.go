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
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/kv"
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
		assert.Equal(t, strings.Count(log.String(), `entry \"servers/stays\":`), 1)
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

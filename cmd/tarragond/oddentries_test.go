package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// entryText returns the value of an executor's entry with the given address, capacity and further
// fields, each as JSON text.
func entryText(service, address, capacity, more string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"palermo","state":"ready","labels":["a","r1-0"],"capacity":%s,"sequence":1%s}`,
		service, address, capacity, more)
}

const soundCapacity = `{"cpu":16000,"mem-mb":65536}`

// hangingAddress returns an address where calls get no response.
func hangingAddress(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after it
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// garbageAddress returns an address where each call gets 100 MB of garbage.
func garbageAddress(t *testing.T) string {
	megabyte := bytes.Repeat([]byte("x"), 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 100 {
			if _, err := w.Write(megabyte); err != nil {
				return
			}
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// oddEntries returns values of entries that another writer may leave, by name. Some can't be read,
// others name executors that don't exist or can't be reached. The address is that of an executor at work.
func oddEntries(t *testing.T, address string) map[string]string {
	const nobody = "127.0.0.1:1"
	const depth = 100_000
	return map[string]string{
		"nested":          strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested-field":    entryText("terreni", nobody, soundCapacity, `,"later":`+strings.Repeat(`{"a":`, depth)+"1"+strings.Repeat("}", depth)),
		"number-1e400":    entryText("terreni", nobody, `{"cpu":1e400,"mem-mb":1}`, ""),
		"number-1e18":     entryText("terreni", nobody, `{"cpu":1e18,"mem-mb":1e18}`, ""),
		"drain-max":       entryText("terreni", nobody, soundCapacity, `,"drain-remaining-ms":9223372036854775807`),
		"clock-min":       entryText("terreni", nobody, soundCapacity, `,"clock-ms":-9223372036854775808`),
		"port-99999":      entryText("terreni", "127.0.0.1:99999", soundCapacity, ""),
		"port-0":          entryText("terreni", "127.0.0.1:0", soundCapacity, ""),
		"port-negative":   entryText("terreni", "127.0.0.1:-1", soundCapacity, ""),
		"port-none":       entryText("terreni", "127.0.0.1", soundCapacity, ""),
		"address-text":    entryText("terreni", "%zz://[", soundCapacity, ""),
		"address-hangs":   entryText("terreni", hangingAddress(t), soundCapacity, ""),
		"address-garbage": entryText("terreni", garbageAddress(t), soundCapacity, ""),
		"address-taken":   entryText("terreni", address, soundCapacity, ""),
		"executor-absent": entryText("terreni", nobody, soundCapacity, ""),
		"service-other":   entryText("sportello", address, soundCapacity, ""),
		"state-unknown":   strings.Replace(entryText("terreni", nobody, soundCapacity, ""), "ready", "resting", 1),
		"type-other":      `{"service":7,"address":["a"],"capacity":"much"}`,
		"not-utf8":        "\xff\xfe\x00\x80",
		"not-utf8-field":  entryText("terreni", nobody, soundCapacity, `,"version":"`+"\xff\xc0"+`"`),
		"empty":           "",
		"null":            "null",
		"large":           entryText("terreni", nobody, soundCapacity, `,"version":"`+strings.Repeat("v", 900_000)+`"`),
		strings.Repeat("k", 200-len(registry.ExecutorPrefix)): "{",
	}
}

// callersOf asks each instance for the state of a job and for its readiness.
type callersOf struct {
	*serveSite
	unanswered, notReady, ended []string
}

// check records which instances have ended, are not ready or don't answer for one of the jobs.
func (c *callersOf) check(jobs int) {
	for _, p := range c.processes {
		select {
		case err := <-p.exited:
			c.ended = append(c.ended, fmt.Sprintf("%s: %v", p.name, err))
			continue
		default:
		}
		if !p.isReady() {
			c.notReady = append(c.notReady, p.name)
		}
		for i := range jobs {
			if status, _, text := p.call(http.MethodGet, jobPath(i), ""); status != http.StatusOK {
				c.unanswered = append(c.unanswered, fmt.Sprintf("%s, job %d: %d %s", p.name, i, status, text))
			}
		}
	}
}

// Another writer leaves odd entries among those of the executors: before the instances start, and, while
// jobs run, added under ever new keys, changed, overwriting sound ones and removed. They must end no
// process, lose no job and no answer, and start no task twice.
func TestOddExecutorEntriesEndNoProcessAndLoseNoJob(t *testing.T) {
	t.Parallel()
	s := newServeSite(t, 400*time.Millisecond, terreni)
	executors := s.fleet.Executors()
	odd := oddEntries(t, executors[0].Registration.Address)
	for name, value := range odd {
		s.fleet.Store.Put(registry.ExecutorPrefix+name, []byte(value))
	}
	s.startAll("pa-0", "pa-1")
	callers := &callersOf{serveSite: s}
	stopChanges := changeEntries(s.fleet.Store, odd)
	names := slices.Sorted(maps.Keys(odd))
	for i, name := range names {
		s.submit(i, 6, false)
		overwritten := executors[(i+1)%len(executors)]
		key, sound, err := overwritten.Entry()
		assert.NilError(t, err)
		s.fleet.Store.Put(key, []byte(asOf(odd[name], overwritten.Registration.Born)))
		time.Sleep(overwrittenFor)
		callers.check(i + 1)
		s.fleet.Store.Put(key, sound)
		s.fleet.Store.Delete(registry.ExecutorPrefix + name)
	}
	stopChanges()
	for i := range names {
		s.awaitJobState(i, "completed")
	}
	callers.check(len(names))
	assert.Equal(t, len(callers.ended), 0, "%v", callers.ended)
	assert.Equal(t, len(callers.notReady), 0, "%v", callers.notReady)
	assert.Equal(t, len(callers.unanswered), 0, "%v", callers.unanswered)
	assert.Equal(t, s.fleet.Overlaps(), 0)
	assert.Equal(t, s.fleet.Repeats(), 0)
	s.assertStarts(1)
}

// asOf returns the value of an entry with the birth of an executor.
func asOf(value string, born cluster.Birth) string {
	return strings.Replace(value, `"sequence":1`, fmt.Sprintf(`"sequence":1,"born":%d`, born), 1)
}

// overwrittenFor is how long an odd entry stands in the place of a sound one: above the time for which
// owners let changes of entries accumulate.
const overwrittenFor = 350 * time.Millisecond

// changeEntries adds odd entries under ever new keys, changes and removes them, until the returned
// function is called.
func changeEntries(store *standin.Store, odd map[string]string) (stop func()) {
	stopped := make(chan struct{})
	var changing sync.WaitGroup
	changing.Go(func() {
		for i := 0; ; i++ {
			for name, value := range odd {
				if len(value) > 10_000 || len(name) > 100 {
					continue // they would fill the history of the stand-in's store
				}
				key := fmt.Sprintf("%s%s-%d", registry.ExecutorPrefix, name, i)
				store.Put(key, []byte(value))
				store.Put(key, []byte(odd["executor-absent"]))
				store.Delete(fmt.Sprintf("%s%s-%d", registry.ExecutorPrefix, name, i-changedRounds))
			}
			select {
			case <-stopped:
				return
			case <-time.After(changePause):
			}
		}
	})
	return func() { close(stopped); changing.Wait() }
}

const (
	// changePause is the time between two rounds of changes, each of all odd entries.
	changePause = 50 * time.Millisecond
	// changedRounds is the number of rounds for which an added entry stays.
	changedRounds = 10
)

// The entries of executors at work are overwritten for a while: each names the address of another one, or
// another service. Their runs must go on, none may start twice, and the executors must get new work
// afterwards.
func TestOverwrittenEntriesEndNoRun(t *testing.T) {
	t.Parallel()
	other := standin.PoolSpec{Service: "sportello", Machines: 2, Prefix: "/sportello/"}
	for name, odd := range map[string]func(e, next cluster.Executor) string{
		"address": func(_, next cluster.Executor) string { return entryText("terreni", next.Address, soundCapacity, "") },
		"service": func(e, _ cluster.Executor) string { return entryText("sportello", e.Address, soundCapacity, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServeSite(t, time.Hour, terreni, other)
			s.startAll("pa-0", "pa-1")
			s.owner("sportello")
			const tasks = 24
			s.submit(1, tasks, true)
			s.await("all tasks to run", func() bool { return s.running() == tasks })
			executors := slices.DeleteFunc(s.fleet.Executors(), func(e *standin.Executor) bool { return e.Registration.Service != "terreni" })
			for i, e := range executors {
				key, _, err := e.Entry()
				assert.NilError(t, err)
				next := executors[(i+1)%len(executors)].Registration
				s.fleet.Store.Put(key, []byte(asOf(odd(e.Registration, next), e.Registration.Born)))
			}
			const longestPoll = 2 * time.Second // so that each executor is polled meanwhile
			time.Sleep(longestPoll)
			for _, e := range executors {
				key, sound, err := e.Entry()
				assert.NilError(t, err)
				s.fleet.Store.Put(key, sound)
			}
			s.submit(2, 6, true)
			s.await("the tasks of the next job to run", func() bool { return s.running() == tasks+6 })
			assert.Equal(t, s.fleet.Overlaps(), 0)
			s.assertStarts(1)
		})
	}
}

// running returns the number of runs on all executors.
func (s *serveSite) running() int {
	n := 0
	for _, e := range s.fleet.Executors() {
		n += e.Running()
	}
	return n
}

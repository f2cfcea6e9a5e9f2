package owner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/registry"
)

const executorPrefix = registry.ExecutorPrefix

// executorList holds the executors of one service by the keys of their store entries.
type executorList struct {
	service cluster.Service
	entries map[string]cluster.Executor
	skipped skippedEntries
}

func newExecutorList(service cluster.Service, logger *slog.Logger) *executorList {
	return &executorList{service: service, entries: map[string]cluster.Executor{}, skipped: skippedEntries{keys: map[string]bool{}, logger: logger}}
}

// apply applies a change and reports whether it concerns this service.
func (l *executorList) apply(c follow.Change) bool {
	changed := c.Reset
	if c.Reset {
		clear(l.entries)
		l.skipped.retain(c)
	}
	for _, event := range c.Events {
		if event.Removed {
			_, known := l.entries[event.Key]
			delete(l.entries, event.Key)
			delete(l.skipped.keys, event.Key)
			changed = changed || known
			continue
		}
		changed = l.put(event.Key, event.Value) || changed
	}
	l.skipped.log(time.Now())
	return changed
}

func (l *executorList) put(key string, value []byte) bool {
	_, known := l.entries[key]
	e, err := registry.Executor(key, value)
	if err != nil || e.Service != l.service {
		if err != nil {
			l.skipped.add(key, err)
		}
		delete(l.entries, key)
		return known
	}
	delete(l.skipped.keys, key)
	l.entries[key] = e
	return true
}

func (l *executorList) list() []cluster.Executor {
	var list []cluster.Executor
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		list = append(list, l.entries[key])
	}
	return list
}

const (
	// skippedLogInterval is the minimum time between two log lines about skipped entries.
	skippedLogInterval = 10 * time.Second
	// maxSkippedExamples bounds the errors in one of these lines.
	maxSkippedExamples = 4
	// maxSkippedText bounds the text of one of these errors, in bytes.
	maxSkippedText = 256
)

// skippedEntries holds which entries can't be read, each counted once while it stays so. The log gets
// a summary, since another writer may change such entries at any rate.
type skippedEntries struct {
	keys     map[string]bool
	added    int      // since the last line
	examples []string // errors of some of them
	loggedAt time.Time
	logger   *slog.Logger
}

func (s *skippedEntries) add(key string, err error) {
	if s.keys[key] {
		return
	}
	s.keys[key] = true
	s.added++
	if len(s.examples) < maxSkippedExamples {
		text := err.Error()
		s.examples = append(s.examples, text[:min(len(text), maxSkippedText)])
	}
}

// retain forgets the entries that a listing lacks.
func (s *skippedEntries) retain(listing follow.Change) {
	listed := make(map[string]bool, len(s.keys))
	for _, event := range listing.Events {
		if s.keys[event.Key] {
			listed[event.Key] = true
		}
	}
	s.keys = listed
}

// log logs the entries that were added since the last line, unless that was written just now.
func (s *skippedEntries) log(now time.Time) {
	if s.added == 0 || now.Sub(s.loggedAt) < skippedLogInterval {
		return
	}
	s.logger.Warn("executor entries skipped: not readable", "new", s.added, "present", len(s.keys), "errors", s.examples)
	s.added, s.examples, s.loggedAt = 0, nil, now
}

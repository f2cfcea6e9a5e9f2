package owner

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/registry"
)

const executorPrefix = registry.ExecutorPrefix

// executorList holds the executors of one service by the keys of their store entries.
type executorList struct {
	service cluster.Service
	entries map[string]cluster.Executor
	skipped *follow.Skipped
}

func newExecutorList(service cluster.Service, logger *slog.Logger) *executorList {
	return &executorList{service: service, entries: map[string]cluster.Executor{}, skipped: follow.NewSkipped(logger, "executor entries skipped: not readable")}
}

// apply applies a change and reports whether it concerns this service.
func (l *executorList) apply(c follow.Change) bool {
	changed := c.Reset
	if c.Reset {
		clear(l.entries)
	}
	l.skipped.Begin(c)
	for _, event := range c.Events {
		if event.Removed {
			_, known := l.entries[event.Key]
			delete(l.entries, event.Key)
			changed = changed || known
			continue
		}
		changed = l.put(event.Key, event.Value) || changed
	}
	l.skipped.Log()
	return changed
}

func (l *executorList) put(key string, value []byte) bool {
	_, known := l.entries[key]
	e, err := registry.Executor(key, value)
	if err != nil || e.Service != l.service {
		if err != nil {
			l.skipped.Add(key, err)
		}
		delete(l.entries, key)
		return known
	}
	l.skipped.Used(key)
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

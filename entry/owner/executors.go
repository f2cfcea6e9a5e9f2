package owner

import (
	"fmt"
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
	skipped *follow.Skipped
	// origins holds which service the entries of all services have named, by key. An executor stays with its
	// service for its life: a later entry that names another service is not its own, and the owner of
	// that service would stop what runs there.
	origins map[string]*origin
}

// settledAfter is how long entries must name another service, without one that names the former, until
// they count as the executor's own: above the heartbeat intervals after which the platform removes the
// entry of an executor that is silent.
const settledAfter = 5 * time.Second

// origin is the service of an executor's incarnation.
type origin struct {
	service cluster.Service
	born    cluster.Birth

	claimed   cluster.Service // the other service that the latest entry names; empty if it names none
	claimedAt time.Time       // when the first of these entries was seen
}

// accepts reports whether the entry may be of the same executor. One that names another service is not,
// unless it is of a later incarnation, or has been there for settledAfter.
func (o *origin) accepts(e cluster.Executor, now time.Time) bool {
	later := e.Born > o.born && o.born != 0
	switch {
	case o.service == e.Service || later:
		*o = origin{service: e.Service, born: max(o.born, e.Born)}
		return true
	case o.claimed != e.Service:
		o.claimed, o.claimedAt = e.Service, now
		return false
	case now.Sub(o.claimedAt) < settledAfter:
		return false
	}
	*o = origin{service: e.Service, born: e.Born}
	return true
}

func newExecutorList(service cluster.Service, logger *slog.Logger) *executorList {
	return &executorList{
		service: service, entries: map[string]cluster.Executor{}, origins: map[string]*origin{},
		skipped: follow.NewSkipped(logger, "executor entries skipped: not readable"),
	}
}

// apply applies a change and reports whether it concerns this service.
func (l *executorList) apply(c follow.Change) bool {
	changed := c.Reset
	if c.Reset {
		clear(l.entries)
		l.retainOrigins(c)
	}
	l.skipped.Begin(c)
	for _, event := range c.Events {
		if event.Removed {
			_, known := l.entries[event.Key]
			delete(l.entries, event.Key)
			delete(l.origins, event.Key)
			changed = changed || known
			continue
		}
		changed = l.put(event.Key, event.Value) || changed
	}
	l.skipped.Log()
	return changed
}

// retainOrigins forgets the executors that a listing lacks.
func (l *executorList) retainOrigins(listing follow.Change) {
	origins := make(map[string]*origin, len(listing.Events))
	for _, event := range listing.Events {
		if o, known := l.origins[event.Key]; known {
			origins[event.Key] = o
		}
	}
	l.origins = origins
}

func (l *executorList) put(key string, value []byte) bool {
	_, known := l.entries[key]
	e, err := l.read(key, value)
	if err != nil {
		l.skipped.Add(key, err)
	} else {
		l.skipped.Used(key)
	}
	if err != nil || e.Service != l.service {
		delete(l.entries, key)
		return known
	}
	l.entries[key] = e
	return true
}

// read decodes an entry and checks that its service is the one that the executor began with.
func (l *executorList) read(key string, value []byte) (cluster.Executor, error) {
	e, err := registry.Executor(key, value)
	if err != nil {
		return e, err
	}
	o := l.origins[key]
	if o == nil {
		l.origins[key] = &origin{service: e.Service, born: e.Born}
		return e, nil
	}
	if !o.accepts(e, time.Now()) {
		return e, fmt.Errorf("executor entry %s: of service %s, was of %s", key, e.Service, o.service)
	}
	return e, nil
}

func (l *executorList) list() []cluster.Executor {
	var list []cluster.Executor
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		list = append(list, l.entries[key])
	}
	return list
}

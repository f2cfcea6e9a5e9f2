package config

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// naiveObject is one object of the naive log.
type naiveObject struct {
	weight   int
	revision object.Revision
}

// naiveLog is a single map with the rules of the log, and nothing else.
type naiveLog struct {
	revision object.Revision
	objects  map[string]naiveObject
	past     []map[string]int // weights at each revision
}

func (l *naiveLog) put(name string, weight int, base object.Revision) bool {
	if l.objects[name].revision != base {
		return false
	}
	l.revision++
	l.objects[name] = naiveObject{weight, l.revision}
	l.remember()
	return true
}

func (l *naiveLog) remove(name string, base object.Revision) bool {
	held, ok := l.objects[name]
	if !ok || held.revision != base {
		return false
	}
	l.revision++
	delete(l.objects, name)
	l.remember()
	return true
}

func (l *naiveLog) remember() { l.past = append(l.past, l.weights()) }

func (l *naiveLog) weights() map[string]int {
	out := map[string]int{}
	for name, held := range l.objects {
		out[name] = held.weight
	}
	return out
}

func weightsOf(c *object.Config) map[string]int {
	out := map[string]int{}
	for name, tenant := range c.Tenants {
		out[name] = tenant.Spec.Weight
	}
	return out
}

// TestLogMatchesANaiveMap runs the same edits, some on a stale base, through several
// logs that share a store and through one map.
func TestLogMatchesANaiveMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := memory.New(time.Now)
		var logs []*Log
		for range 3 {
			_, log := newPair(store)
			log.kept, log.compactEvery = 4, 3
			logs = append(logs, log)
		}
		naive := &naiveLog{objects: map[string]naiveObject{}, past: []map[string]int{{}}}
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		for i := range steps {
			log := rapid.SampledFrom(logs).Draw(rt, "log")
			edit(rt, t, fmt.Sprint(i), log, naive)
			assert.DeepEqual(rt, weightsOf(log.follower.Current()), naive.weights())
		}
		checkPast(rt, t, logs[0], naive)
	})
}

// edit sends one change or deletion as seen on a log that may be behind.
func edit(rt *rapid.T, t *testing.T, id string, log *Log, naive *naiveLog) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
	weight := rapid.IntRange(0, 9).Draw(rt, "weight")
	seen := log.follower.Current()
	base := seen.Tenants[name].Revision
	var want bool
	change := putTenant(id, name, weight, seen)
	if base > 0 && rapid.Bool().Draw(rt, "delete") {
		change = WithBase(object.Change{ID: id, Delete: []object.Key{{Kind: object.KindTenant, Name: name}}}, seen)
		want = naive.remove(name, base)
	} else {
		want = naive.put(name, weight, base)
	}
	revision, err := log.Accept(t.Context(), change)
	if want {
		assert.NilError(rt, err)
		assert.Equal(rt, revision, naive.revision)
		return
	}
	var conflict *object.Conflict
	assert.Assert(rt, errors.As(err, &conflict), "%v", err)
}

// checkPast compares earlier revisions as far as the log still reaches.
func checkPast(rt *rapid.T, t *testing.T, log *Log, naive *naiveLog) {
	_, err := log.follower.refresh(t.Context())
	assert.NilError(rt, err)
	assert.Equal(rt, log.follower.Current().Revision, naive.revision)
	for back := range min(naive.revision, log.kept) {
		revision := naive.revision - back
		config, err := log.At(t.Context(), revision)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, weightsOf(config), naive.past[revision])
	}
}

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

// referenceObject is one object of the reference log.
type referenceObject struct {
	weight   int
	revision object.Revision
}

// referenceLog is a single map with the rules of the log, as a reference model.
type referenceLog struct {
	revision          object.Revision
	objects           map[string]referenceObject
	weightsByRevision []map[string]int // index is the revision
}

func (l *referenceLog) put(name string, weight int, base object.Revision) bool {
	if l.objects[name].revision != base {
		return false
	}
	l.revision++
	l.objects[name] = referenceObject{weight, l.revision}
	l.recordWeights()
	return true
}

func (l *referenceLog) remove(name string, base object.Revision) bool {
	stored, ok := l.objects[name]
	if !ok || stored.revision != base {
		return false
	}
	l.revision++
	delete(l.objects, name)
	l.recordWeights()
	return true
}

func (l *referenceLog) recordWeights() {
	l.weightsByRevision = append(l.weightsByRevision, l.weights())
}

func (l *referenceLog) weights() map[string]int {
	out := map[string]int{}
	for name, stored := range l.objects {
		out[name] = stored.weight
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

// TestLogMatchesReferenceMap applies the same edits, some with a stale base, to several
// logs that share a store and to one map.
func TestLogMatchesReferenceMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := memory.New(time.Now)
		var logs []*Log
		for range 3 {
			_, log := newFollowerAndLog(store)
			log.retainedRevisions, log.compactEvery = 4, 3
			logs = append(logs, log)
		}
		reference := &referenceLog{objects: map[string]referenceObject{}, weightsByRevision: []map[string]int{{}}}
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		for i := range steps {
			log := rapid.SampledFrom(logs).Draw(rt, "log")
			applyEdit(rt, t, fmt.Sprint(i), log, reference)
			assert.DeepEqual(rt, weightsOf(log.follower.Current()), reference.weights())
		}
		checkEarlierRevisions(rt, t, logs[0], reference)
	})
}

// applyEdit sends one change or deletion, based on the current revision of a log that
// may be behind the others.
func applyEdit(rt *rapid.T, t *testing.T, id string, log *Log, reference *referenceLog) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
	weight := rapid.IntRange(0, 9).Draw(rt, "weight")
	seen := log.follower.Current()
	base := seen.Tenants[name].Revision
	var wantAccepted bool
	change := putTenant(id, name, weight, seen)
	if base > 0 && rapid.Bool().Draw(rt, "delete") {
		change = WithBase(object.Change{ID: id, Delete: []object.Key{{Kind: object.KindTenant, Name: name}}}, seen)
		wantAccepted = reference.remove(name, base)
	} else {
		wantAccepted = reference.put(name, weight, base)
	}
	revision, err := log.Accept(t.Context(), change)
	if wantAccepted {
		assert.NilError(rt, err)
		assert.Equal(rt, revision, reference.revision)
		return
	}
	var conflict *object.Conflict
	assert.Assert(rt, errors.As(err, &conflict), "%v", err)
}

// checkEarlierRevisions compares the earlier revisions that the log still contains.
func checkEarlierRevisions(rt *rapid.T, t *testing.T, log *Log, reference *referenceLog) {
	_, err := log.follower.refresh(t.Context())
	assert.NilError(rt, err)
	assert.Equal(rt, log.follower.Current().Revision, reference.revision)
	for back := range min(reference.revision, log.retainedRevisions) {
		revision := reference.revision - back
		config, err := log.At(t.Context(), revision)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, weightsOf(config), reference.weightsByRevision[revision])
	}
}

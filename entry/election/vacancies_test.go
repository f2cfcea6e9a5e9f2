package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// holderEvent is the event of a write of a duty's holder.
func holderEvent(created, revision kv.Revision) kv.Event {
	return kv.Event{Item: kv.Item{Key: "owners/a", Created: created, Revision: revision}}
}

// A term counts from its first observation: later observations of the same term, and older
// listings, don't change that. Terms that were never observed are unknown.
func TestTermCountsFromItsFirstObservation(t *testing.T) {
	v := newVacancies()
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	v.apply(follow.Change{Reset: true, Events: []kv.Event{holderEvent(5, 5)}}, at(0))
	v.apply(follow.Change{Events: []kv.Event{holderEvent(5, 6)}}, at(1))
	v.apply(follow.Change{Events: []kv.Event{{Item: kv.Item{Key: "owners/a"}, Removed: true}}}, at(2))
	v.apply(follow.Change{Events: []kv.Event{holderEvent(9, 9)}}, at(3))
	v.apply(follow.Change{Reset: true, Events: []kv.Event{holderEvent(5, 6)}}, at(4))
	for token, want := range map[kv.Revision]time.Time{5: at(0), 9: at(3)} {
		began, known := v.began("owners/a", token)
		assert.Assert(t, known)
		assert.Equal(t, began, want)
	}
	_, known := v.began("owners/a", 7)
	assert.Assert(t, !known)
}

// The memory of past terms is bounded.
func TestOldTermsAreForgotten(t *testing.T) {
	v := newVacancies()
	for revision := kv.Revision(1); revision <= 10*maxTermStarts; revision++ {
		v.apply(follow.Change{Events: []kv.Event{holderEvent(revision, revision)}}, time.Unix(int64(revision), 0))
	}
	assert.Equal(t, len(v.terms["owners/a"]), maxTermStarts)
	_, known := v.began("owners/a", 1)
	assert.Assert(t, !known)
}

package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// What an owner published counts for nothing once its term is over, also before a successor has
// published anything; a term that is not observed yet counts as lasting.
func TestOverTerms(t *testing.T) {
	e := New(nil, "i", "palermo", 1, nil)
	key := layout.OwnerKey("s")
	assert.Assert(t, !e.Over("s", 5))
	event := func(token kv.Revision, removed bool) {
		e.vacancies.apply(follow.Change{Events: []kv.Event{{Item: kv.Item{Key: key, Created: token}, Removed: removed}}}, time.Unix(1, 0))
	}
	event(5, false)
	assert.Assert(t, !e.Over("s", 5))
	assert.Assert(t, !e.Over("s", 6), "observed later than its admission")
	assert.Assert(t, e.Over("s", 4))
	event(5, true)
	assert.Assert(t, e.Over("s", 5))
	event(9, false)
	assert.Assert(t, e.Over("s", 5) && !e.Over("s", 9))
}

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
	duty := layout.ServiceDuty("s")
	key := layout.OwnerKey(duty)
	assert.Assert(t, !e.Over(duty, 5))
	event := func(token kv.Revision, removed bool) {
		e.vacancies.apply(follow.Change{Events: []kv.Event{{Item: kv.Item{Key: key, Created: token}, Removed: removed}}}, time.Unix(1, 0))
	}
	event(5, false)
	assert.Assert(t, !e.Over(duty, 5))
	assert.Assert(t, !e.Over(duty, 6), "observed later than its admission")
	assert.Assert(t, e.Over(duty, 4))
	event(5, true)
	assert.Assert(t, e.Over(duty, 5))
	event(9, false)
	assert.Assert(t, e.Over(duty, 5) && !e.Over(duty, 9))
}

// A service that nobody led was not to be told from one that is led, since its key has a holder.
func TestLeaderlessDuties(t *testing.T) {
	service := layout.ServiceDuty("s")
	for name, c := range map[string]struct {
		holder string // the value of the key; empty if it has none
		want   bool
	}{
		"no holder":                        {"", true},
		"a holder":                         {`{"instance":"n-1","kind":"service"}`, false},
		"a holder of an earlier version":   {`{"instance":"n-1"}`, false},
		"the holder of the fleet's duty":   {`{"instance":"n-1","kind":"fleet"}`, true},
		"a holder that is not readable":    {`7`, false},
		"a holder of a kind not known yet": {`{"instance":"n-1","kind":"later"}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(nil, "i", "palermo", 1, nil)
			_, leaderless := e.Leaderless(service)
			assert.Assert(t, !leaderless, "nothing is known yet")
			seen := time.Unix(1, 0)
			change := follow.Change{Reset: true}
			if c.holder != "" {
				change.Events = []kv.Event{{Item: kv.Item{Key: layout.OwnerKey(service), Value: []byte(c.holder), Created: 5}}}
			}
			e.vacancies.apply(change, seen)
			found, leaderless := e.Leaderless(service)
			assert.Equal(t, leaderless, c.want)
			if leaderless {
				assert.Equal(t, found.Since, seen)
			}
		})
	}
}

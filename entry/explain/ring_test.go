package explain

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
)

func decision(name string, second int) explain.Record {
	return explain.Record{
		At: time.Unix(int64(second), 0), Subject: explain.Pool(name), Action: explain.ActionSize,
		Outcome: explain.Applied, Reason: explain.ReasonTargetMet,
	}
}

func TestRepeatedDecisionsAreCounted(t *testing.T) {
	r := NewRing(4, nil)
	for second := range 3 {
		r.Record(decision("a", second))
	}
	got := r.About(explain.Pool("a"))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Count, 3)
	assert.Equal(t, got[0].Last, time.Unix(2, 0))
	assert.Equal(t, r.Total(), int64(3))
}

func TestRingKeepsTheLatestRecords(t *testing.T) {
	r := NewRing(3, nil)
	for i := range 10 {
		r.Record(decision(fmt.Sprint(i), i))
	}
	all := r.Find(func(explain.Record) bool { return true })
	assert.Equal(t, len(all), 3)
	assert.Equal(t, all[0].Subject.Name, "9")
	assert.Equal(t, len(r.latestSlot), 3, "evicted subjects must be removed from the index")
	r.Record(decision("9", 11))
	assert.Equal(t, r.About(explain.Pool("9"))[0].Count, 2)
}

func TestDecisionsAreCountedByReason(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	r := NewRing(3, TallyMetrics{scope})
	r.Record(decision("a", 1))
	r.Record(decision("a", 2))
	counter := scope.Snapshot().Counters()["decisions+action=size,outcome=applied,reason=target-met"]
	assert.Equal(t, counter.Value(), int64(2))
}

package submission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

func TestMemoryIsBounded(t *testing.T) {
	m := newMemory(memoryShards*4, 100)
	now := time.Unix(1_000_000, 0)
	var refused int
	for i := range 10_000 {
		key := tenantKey(fmt.Sprint(i))
		grant := newGrant()
		result, _ := m.begin(beginParams{key: key, grant: grant, expires: now.Add(time.Minute)}, now)
		if result == beginRefusedFull {
			refused++
			continue
		}
		m.end(key, grant, Outcome{Verdict: verdict.Ran, Body: make([]byte, 30)}, now)
	}
	assert.Equal(t, m.size(), memoryShards*4)
	assert.Equal(t, refused, 10_000-memoryShards*4)
	assert.Assert(t, m.responseBytes.Load() <= 100)
	for i := range 10_000 {
		m.lookup(tenantKey(fmt.Sprint(i)), now.Add(time.Hour))
	}
	assert.Equal(t, m.size(), 0)
	assert.Equal(t, m.responseBytes.Load(), int64(0))
}

func TestRecordInProgressOutlivesItsExpiry(t *testing.T) {
	m := newMemory(memoryShards, 0)
	now := time.Unix(1_000_000, 0)
	key, grant := tenantKey("order-1"), newGrant()
	m.begin(beginParams{key: key, grant: grant, expires: now.Add(time.Minute)}, now)
	later := now.Add(time.Hour)
	seen, known := m.lookup(key, later)
	assert.Assert(t, known)
	assert.Equal(t, seen.phase, PhaseInProgress)
	assert.Assert(t, m.end(key, grant, ran, later))
	_, known = m.lookup(key, later.Add(2*inProgressExtension))
	assert.Assert(t, !known)
}

// TestMemoryMatchesModel compares the memory of one key with a plain map of its
// grants.
func TestMemoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory(memoryShards, 0)
		now := time.Unix(1_000_000, 0)
		key := tenantKey("order-1")
		grants := make([]grantID, 4)
		for i := range grants {
			grants[i] = newGrant()
		}
		phases := map[grantID]Phase{}
		var current grantID
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			grant := rapid.SampledFrom(grants).Draw(t, "grant")
			if rapid.Bool().Draw(t, "begin") {
				result, _ := m.begin(beginParams{key: key, grant: grant, expires: now.Add(time.Hour)}, now)
				isTaken := phases[current] == PhaseInProgress || phases[current] == PhaseEnded
				isSame := current == grant && phases[grant] == PhaseInProgress
				assert.Equal(t, result == beginGranted, !isTaken || isSame)
				if result == beginGranted {
					current, phases[grant] = grant, PhaseInProgress
				}
				continue
			}
			outcome := rapid.SampledFrom([]Outcome{ran, outcomeNotRun}).Draw(t, "outcome")
			isCurrent := current == grant && phases[grant] == PhaseInProgress
			assert.Equal(t, m.end(key, grant, outcome, now), isCurrent)
			if isCurrent {
				phases[grant] = phaseOf(outcome)
			}
		}
	})
}

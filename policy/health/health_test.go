package health

import (
	"testing"
	"time"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func TestConsecutiveFailuresEject(t *testing.T) {
	s := DefaultSettings()
	pool := Pool{Members: 10}
	few := Window{Successes: 100, Failures: 4, Consecutive: 4}
	assert.Equal(t, s.OnFailure(Member{}, few, pool, start).Reason, Unchanged)
	d := s.OnFailure(Member{}, Window{Failures: 5, Consecutive: 5}, pool, start)
	assert.Equal(t, d.Reason, ConsecutiveFailures)
	assert.Equal(t, d.Member.Until, start.Add(s.BaseEjection))
}

func TestFailureRatioEjects(t *testing.T) {
	s := DefaultSettings()
	d := s.OnFailure(Member{}, Window{Successes: 5, Failures: 5, Consecutive: 1}, Pool{Members: 10}, start)
	assert.Equal(t, d.Reason, FailureRatio)
}

func TestEjectionsGrowAndEnd(t *testing.T) {
	s := DefaultSettings()
	m := Member{}
	now := start
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		m = s.OnFailure(m, Window{Consecutive: 5}, Pool{Members: 10}, now).Member
		assert.Equal(t, m.Until.Sub(now), want*time.Second)
		now = m.Until
		m = s.OnTick(m, now).Member
		assert.Equal(t, m.State, Probation)
	}
	for range s.ReturnSuccesses {
		m = s.OnSuccess(m).Member
	}
	assert.Equal(t, m.State, Healthy)
	m = s.OnTick(m, now.Add(3*s.MaxEjection)).Member
	assert.Equal(t, m.Ejections, 0)
}

func TestCorrelatedFailuresDoNotGrowEjections(t *testing.T) {
	s := DefaultSettings()
	m := Member{State: Probation, Ejections: 3}
	m = s.OnFailure(m, Window{}, Pool{Members: 10, Ejected: 4}, start).Member
	assert.Equal(t, m.Until, start.Add(s.BaseEjection))
}

func TestNeverMoreThanTheShareIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		n := rapid.IntRange(1, 20).Draw(t, "members")
		members := make([]Member, n)
		now := start
		unhealthy := func(except int) (count int) {
			for i, m := range members {
				if i != except && m.State != Healthy {
					count++
				}
			}
			return count
		}
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "i")
				members[i] = s.OnFailure(members[i], Window{Consecutive: 9}, Pool{n, unhealthy(i)}, now).Member
			},
			"succeed": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "i")
				members[i] = s.OnSuccess(members[i]).Member
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				for i := range members {
					members[i] = s.OnTick(members[i], now).Member
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(unhealthy(-1)) <= s.MaxEjectedShare*float64(n))
				for _, m := range members {
					assert.Assert(t, m.State != Ejected || m.Until.Sub(now) <= s.MaxEjection)
				}
			},
		})
	})
}

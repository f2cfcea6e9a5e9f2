package fleetplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// Demand goes by turns; once the order is known the next peak is expected in time.
func TestTurnsPredictTheNextPeak(t *testing.T) {
	turns := newTurns()
	start := time.Unix(1000, 0)
	for i, service := range []cluster.Service{"a", "b", "c", "a", "b"} {
		turns.known[service] = true
		turns.begin(service, start.Add(time.Duration(i)*4*time.Second))
	}
	next := start.Add(5 * 4 * time.Second)
	lead := 2 * time.Second
	expects := func(service cluster.Service, at time.Time) bool {
		_, expected := turns.expects(service, at, lead)
		return expected
	}
	assert.Assert(t, !expects("c", next.Add(-3*time.Second)))
	assert.Assert(t, expects("c", next.Add(-time.Second)))
	assert.Assert(t, !expects("c", next.Add(overdue)))
	assert.Assert(t, !expects("a", next.Add(-time.Second)))
}

// Five jobs within half a second are a peak; two large ones are none.
func TestPeaksAreToldFromChance(t *testing.T) {
	arrivals := func(jobs, work int64) *demand {
		d := &demand{}
		now := time.Unix(1000, 0)
		d.take(sample{at: now})
		now = now.Add(5 * time.Second)
		d.take(sample{at: now})
		for i := range jobs {
			now = now.Add(100 * time.Millisecond)
			d.take(sample{at: now, work: (i + 1) * work, jobs: i + 1})
		}
		return d
	}
	assert.Assert(t, arrivals(6, 7000).hot)
	assert.Assert(t, !arrivals(2, 60000).hot)
}

// A rotation that is seen for the first time ends: the service that began it is next.
func TestTurnsPredictTheSecondRotation(t *testing.T) {
	turns := newTurns()
	start := time.Unix(1000, 0)
	for i, service := range []cluster.Service{"a", "b", "c"} {
		turns.known[service] = true
		turns.begin(service, start.Add(time.Duration(i)*4*time.Second))
	}
	at, predicted := turns.next("a")
	assert.Assert(t, predicted)
	assert.Equal(t, at, start.Add(12*time.Second))
	_, predicted = turns.next("b")
	assert.Assert(t, !predicted)
}

// A service gets a new owner, which counts from zero, in the middle of its peak, or a
// peak begins just then: with the mean known it is seen within half a second.
func TestPeakIsSeenThroughAChangeOfOwner(t *testing.T) {
	for _, hot := range []bool{true, false} {
		d := &demand{mean: 2000, hot: hot, hotFrom: time.Unix(999, 0)}
		now := time.Unix(1000, 0)
		begun := false
		for i := range int64(6) {
			d.take(sample{at: now, work: i * 2000, jobs: i * 2}) // 20,000 thousandths of a core
			begun = begun || d.hot
			assert.Assert(t, !hot || d.hot)
			now = now.Add(100 * time.Millisecond)
		}
		assert.Assert(t, begun)
	}
}

// One turn is seen seconds late, after an outage: the rhythm of the others holds.
func TestTurnSeenLateDoesNotShiftTheRhythm(t *testing.T) {
	turns := newTurns()
	start := time.Unix(1000, 0)
	for i, late := range []time.Duration{300, -200, 6500, 100} {
		service := cluster.Service(rune('a' + i))
		turns.known[service] = true
		turns.begin(service, start.Add(time.Duration(i)*10*time.Second+late*time.Millisecond))
	}
	at, predicted := turns.next("a")
	assert.Assert(t, predicted)
	assert.Assert(t, at.Sub(start.Add(40*time.Second)).Abs() <= time.Second, "%s", at.Sub(start))
}

// The duty changes its holder while a first peak rises: what it has reached so far is not
// its height.
func TestRisingPeakIsHandedOverAsSuch(t *testing.T) {
	p := New(yardLimits)
	now := time.Unix(1000, 0)
	p.turns.known["a"], p.turns.known["b"] = true, true
	p.demandOf("b")
	p.turns.noteHeight("b", 600_000)
	*p.demandOf("a") = demand{mean: 9_000, hot: true, notable: true, hotFrom: now, top: 110_000}
	next := New(yardLimits)
	next.RestoreDemandHistory(p.DemandHistory())
	assert.Equal(t, next.turns.peak("a"), 600_000.0)
	assert.Equal(t, next.demandOf("a").top, 110_000.0)
}

// Evidence of a holder whose clock differed, or that can't be true, must not upset the
// needs.
func TestEvidenceOutOfOrderIsHarmless(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, gap := range []time.Duration{0, -10 * time.Second, time.Nanosecond} {
		y := newYard(t, map[cluster.Service]int{"a": 4, "b": 4}, 8)
		y.planner.RestoreDemandHistory(DemandHistory{
			PeakStarts: []PeakStart{{"a", at}, {"b", at.Add(gap)}, {"a", at.Add(2 * gap)}},
			Services:   map[cluster.Service]DemandProfile{"a": {MeanRate: 1000, LastPeakRate: 64_000, PeakSince: y.now}, "b": {MeanRate: 1000, LastPeakRate: 64_000}},
		})
		assert.Assert(t, y.planner.turns.rise() >= onset)
		for range 50 {
			y.step(agree)
			for _, n := range y.planner.lastNeeds {
				assert.Assert(t, n.inTime >= 0 && n.inTime <= 16, "%+v", n)
			}
		}
	}
}

// The first peak of all has no precedent: it is taken to go on rising until a machine
// called now has come, by no more than mostGrowth; one with a precedent by its height.
func TestPeakWithoutPrecedentIsTakenToGoOnRising(t *testing.T) {
	begun := time.Unix(1000, 0)
	d := demand{hot: true, hotFrom: begun, rate: 1000}
	lead := 2400 * time.Millisecond
	at := func(since time.Duration, peak float64) float64 {
		return d.expected(begun.Add(since), peak, onset, lead)
	}
	assert.Equal(t, at(100*time.Millisecond, 0), mostGrowth*1000)
	assert.Equal(t, at(2*time.Second, 0), 2200.0)
	assert.Equal(t, at(lead, 0), 1000.0)
	assert.Equal(t, at(time.Second, 1500), 1500.0)
	d.hot = false
	assert.Equal(t, at(time.Second, 0), 0.0)
}

// Five small jobs come together by chance, in a service whose demand is a small share of
// the others': no turn, and no height to expect of its next peak.
func TestSmallPeaksAreNoTurns(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 8, "b": 8}, 8)
	p := y.planner
	p.turns.noteHeight("a", 20*16000)
	arrive := func(service cluster.Service, jobs, size int64) {
		for range jobs {
			load := y.loads[service]
			load.ArrivedJobs++
			load.ArrivedWork += size
			y.loads[service] = load
			y.step(agree)
		}
	}
	for range 50 {
		y.step(agree)
	}
	arrive("b", 8, 2000)
	assert.Assert(t, p.demandOf("b").hot)
	for range 100 {
		y.step(agree)
	}
	assert.Equal(t, len(p.turns.history), 0)
	assert.Equal(t, p.turns.peaks["b"], 0.0)
	arrive("b", 16, 200_000)
	assert.Equal(t, len(p.turns.history), 1)
}

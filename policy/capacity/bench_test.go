package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// quantileSizer sizes pools by the estimator, the spread over zones and the history of
// needs.
type quantileSizer struct {
	deployment deployment
	quantile   float64
	domain     FailureDomain
	spread     func(zones []ZoneDemand, total float64, domain FailureDomain) []int
	estimators [][]*Estimator
	totals     []*Estimator
	histories  [][]*History
	hysteresis Hysteresis
}

func newQuantileSizer(d deployment) *quantileSizer {
	q := &quantileSizer{deployment: d, quantile: DefaultQuantile, domain: DomainZone, spread: Spread, hysteresis: DefaultHysteresis()}
	q.estimators = make([][]*Estimator, simulatedServices)
	q.histories = make([][]*History, simulatedServices)
	for s := range simulatedServices {
		q.totals = append(q.totals, NewEstimator(DefaultHalfLife))
		for range d.zones {
			q.estimators[s] = append(q.estimators[s], NewEstimator(DefaultHalfLife))
			q.histories[s] = append(q.histories[s], &History{})
		}
	}
	return q
}

func (q *quantileSizer) observe(demand [][]float64, now time.Time) {
	for s := range demand {
		zones := make([]ZoneDemand, q.deployment.zones)
		total := 0.0
		for z, value := range demand[s] {
			total += value
			q.estimators[s][z].Observe(value, simulationStep, now)
			zones[z] = ZoneDemand{Demand: q.estimators[s][z].Quantile(q.quantile), Limit: 50, LargestRack: 1}
		}
		q.totals[s].Observe(total, simulationStep, now)
		for z, need := range q.spread(zones, q.totals[s].Quantile(q.quantile), q.domain) {
			q.histories[s][z].Update(need, now, q.hysteresis)
		}
	}
}

func (q *quantileSizer) pools(zone int, now time.Time) []Pool {
	pools := make([]Pool, simulatedServices)
	for s := range pools {
		history := q.histories[s][zone]
		pools[s] = Pool{
			Name: fmt.Sprint("service-", s), Need: history.Need(),
			MoveWeight: q.deployment.moveWeight, BufferWeight: q.deployment.bufferWeight,
			IdleDays: func(size int) float64 { return history.IdleDays(size, start, now) },
		}
	}
	return pools
}

// sizeZonesAlone sizes each zone for its own demand and its share of a lost zone's
// demand.
func sizeZonesAlone(zones []ZoneDemand, _ float64, _ FailureDomain) []int {
	sizes := make([]int, len(zones))
	for i, zone := range zones {
		sizes[i] = SizeWithoutPeers(zone, len(zones), DomainZone)
	}
	return sizes
}

// fixedBufferSizer keeps 20% above the highest demand of each zone within the window and
// follows it at once.
type fixedBufferSizer struct {
	deployment deployment
	window     time.Duration
	past       [][][]float64
	demand     [][]float64
}

func (f *fixedBufferSizer) observe(demand [][]float64, _ time.Time) {
	f.past = append(f.past, demand)
	f.past = f.past[max(0, len(f.past)-int(f.window/simulationStep)):]
	f.demand = make([][]float64, simulatedServices)
	for s := range f.demand {
		f.demand[s] = make([]float64, f.deployment.zones)
		for _, past := range f.past {
			for z := range f.demand[s] {
				f.demand[s][z] = max(f.demand[s][z], past[s][z])
			}
		}
	}
}

func (f *fixedBufferSizer) pools(zone int, _ time.Time) []Pool {
	pools := make([]Pool, simulatedServices)
	for s := range pools {
		need := int(math.Ceil(1.2 * f.demand[s][zone]))
		pools[s] = Pool{Name: fmt.Sprint("service-", s), Need: need, MoveWeight: 1, BufferWeight: 1e3}
	}
	return pools
}

func (s score) report(b *testing.B) {
	b.ReportMetric(s.bufferPercent, "%buffer")
	b.ReportMetric(s.costPerDay, "cost/day")
	b.ReportMetric(s.movesPerDay, "moves/day")
	b.ReportMetric(s.shortMinutes, "short-min/day")
	b.ReportMetric(s.lossMinutes, "short-min/zone-losses")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFleetCapacity reports buffer cost, moves and shortage of both deployments
// with their own weights, with these swapped, with pools that survive the loss of a rack
// only, with each zone sized alone, and with a fixed buffer of 20%.
func BenchmarkFleetCapacity(b *testing.B) {
	for _, d := range []deployment{agrisportello, magnolia} {
		swapped := d
		swapped.moveWeight, swapped.bufferWeight = d.bufferWeight, d.moveWeight
		b.Run(d.name+"/own-weights", func(b *testing.B) { d.run(newQuantileSizer(d)).report(b) })
		b.Run(d.name+"/swapped-weights", func(b *testing.B) { d.run(newQuantileSizer(swapped)).report(b) })
		b.Run(d.name+"/survives-rack-only", func(b *testing.B) {
			q := newQuantileSizer(d)
			q.domain = DomainRack
			d.run(q).report(b)
		})
		b.Run(d.name+"/each-zone-alone", func(b *testing.B) {
			q := newQuantileSizer(d)
			q.spread = sizeZonesAlone
			d.run(q).report(b)
		})
		b.Run(d.name+"/fixed-20%-over-hour", func(b *testing.B) { d.run(&fixedBufferSizer{deployment: d, window: time.Hour}).report(b) })
		b.Run(d.name+"/fixed-20%-over-day", func(b *testing.B) { d.run(&fixedBufferSizer{deployment: d, window: 24 * time.Hour}).report(b) })
	}
}

// BenchmarkFleetCapacityCurve reports moves and buffer cost for several ratios of the
// weights.
func BenchmarkFleetCapacityCurve(b *testing.B) {
	for _, ratio := range []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10} {
		for _, d := range []deployment{agrisportello, magnolia} {
			b.Run(fmt.Sprintf("%s/move-over-buffer=%g", d.name, ratio), func(b *testing.B) {
				d.moveWeight, d.bufferWeight = ratio, 1
				d.run(newQuantileSizer(d)).report(b)
			})
		}
	}
}

// TestWeightsTradeMovesAgainstBuffer checks the effect of the weights: a high move
// weight reduces moves, and a high buffer weight reduces the buffer.
func TestWeightsTradeMovesAgainstBuffer(t *testing.T) {
	moveAverse := agrisportello
	moveAverse.days = 1
	bufferAverse := moveAverse
	bufferAverse.moveWeight, bufferAverse.bufferWeight = magnolia.moveWeight, magnolia.bufferWeight
	fewMoves, smallBuffer := moveAverse.run(newQuantileSizer(moveAverse)), bufferAverse.run(newQuantileSizer(bufferAverse))
	assert.Assert(t, 2*fewMoves.movesPerDay < smallBuffer.movesPerDay, "%+v %+v", fewMoves, smallBuffer)
	assert.Assert(t, smallBuffer.bufferPercent < 0.9*fewMoves.bufferPercent, "%+v %+v", fewMoves, smallBuffer)
}

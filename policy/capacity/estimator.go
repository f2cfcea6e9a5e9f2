package capacity

import (
	"math"
	"time"
)

const (
	// smallestDemand is the upper bound of the first bucket, in instances.
	smallestDemand = 0.05
	// bucketGrowth is the ratio of the upper bounds of neighbouring buckets.
	bucketGrowth = 1.05
	bucketCount  = 256
	// rescaleExponent is the exponent of a new weight above which all weights are scaled
	// down.
	rescaleExponent = 30
)

const (
	// DefaultHalfLife is the time in which the weight of a sample halves. With
	// DefaultQuantile, a need then follows the demand of about the last hour and a half.
	DefaultHalfLife = 20 * time.Minute
	// DefaultQuantile is the share of the demand samples that a pool's size covers.
	DefaultQuantile = 0.95
)

// Estimator is a histogram of observed demand whose older samples weigh less. The
// zero Estimator is not ready; use NewEstimator.
type Estimator struct {
	halfLife time.Duration
	start    time.Time // time at which a sample of one second weighs one
	weights  [bucketCount]float32
	total    float64
}

// NewEstimator returns an estimator in which a sample's weight halves each halfLife.
func NewEstimator(halfLife time.Duration) *Estimator {
	return &Estimator{halfLife: halfLife}
}

// Observe adds a sample of demand, in instances, that lasted for duration.
func (e *Estimator) Observe(demand float64, duration time.Duration, now time.Time) {
	if e.start.IsZero() {
		e.start = now
	}
	exponent := float64(now.Sub(e.start)) / float64(e.halfLife)
	if exponent > rescaleExponent {
		e.rescale(exponent)
		e.start, exponent = now, 0
	}
	weight := math.Exp2(exponent) * duration.Seconds()
	e.weights[bucketOf(demand)] += float32(weight)
	e.total += weight
}

func (e *Estimator) rescale(exponent float64) {
	factor := math.Exp2(-exponent)
	for i := range e.weights {
		e.weights[i] *= float32(factor)
	}
	e.total *= factor
}

func bucketOf(demand float64) int {
	if demand <= smallestDemand {
		return 0
	}
	bucket := 1 + int(math.Log(demand/smallestDemand)/math.Log(bucketGrowth))
	return min(bucket, bucketCount-1)
}

// Quantile returns a demand that the given share of the weighted samples does not
// exceed, rounded up by at most one bucket. It is zero if there are no samples or the
// demand falls into the first bucket.
func (e *Estimator) Quantile(share float64) float64 {
	if e.total == 0 {
		return 0
	}
	limit, sum := share*e.total, 0.0
	for i, weight := range e.weights {
		sum += float64(weight)
		if sum >= limit && weight > 0 {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func upperBound(bucket int) float64 {
	if bucket == 0 {
		return 0
	}
	return smallestDemand * math.Pow(bucketGrowth, float64(bucket))
}

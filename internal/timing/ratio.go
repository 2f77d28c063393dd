package timing

import (
	"math"
	"time"
)

const (
	// ratioHalfLife is the time after which the observations of an engine count half.
	ratioHalfLife = 3 * time.Second
	// maxOwnRatios bounds the number of observations of one host that count, so that the newest prevail.
	maxOwnRatios = 4.0
	// priorRatios is the number of observations that the expectation counts for that an engine is as fast as the others.
	priorRatios = 1.5
	// minSlowness and maxSlowness bound the factor of an engine, and maxRatio the ratio of one observation.
	minSlowness = 0.5
	maxSlowness = 6.0
	maxRatio    = 8.0
)

// Ratio is the mean ratio of measured to expected times, on a logarithmic scale. Ratios of several hosts can be added up.
type Ratio struct {
	// Weight is the number of observations, less those that have aged, and Sum that of the logarithms of their ratios.
	Weight, Sum float64
}

// Add adds other ratios.
func (ra *Ratio) Add(other Ratio) {
	ra.Weight += other.Weight
	ra.Sum += other.Sum
}

func (ra *Ratio) observe(ratio float64) {
	limit := math.Log(maxRatio)
	ra.Weight++
	ra.Sum += min(max(math.Log(ratio), -limit), limit)
	if ra.Weight > maxOwnRatios {
		ra.decay(maxOwnRatios / ra.Weight)
	}
}

func (ra *Ratio) decay(factor float64) {
	ra.Weight *= factor
	ra.Sum *= factor
}

// slowness returns the expected ratio.
func (ra Ratio) slowness() float64 {
	return min(max(math.Exp(ra.Sum/(ra.Weight+priorRatios)), minSlowness), maxSlowness)
}

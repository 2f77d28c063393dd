package timing

import (
	"math"
	"time"
)

const (
	// terms is the number of terms of the time to first token: a constant, the request's own prompt tokens, those pending
	// before it, and the running requests.
	terms = 4
	// tokenUnit and requestUnit scale the terms to similar sizes.
	tokenUnit   = 1000.0
	requestUnit = 10.0
	// relativeFloorMs is the least time to which an error is related.
	relativeFloorMs = 15.0
	// maxRelativeError bounds the pull of an observation: one that differs more from the expectation pulls as if it
	// differed by this share of it.
	maxRelativeError = 0.5
	// priorWeight is the number of observations that the defaults count for.
	priorWeight = 4.0
	// sweeps is the number of passes over the coefficients in a solution.
	sweeps = 30
	// maxSum bounds the sums that are taken over from other hosts.
	maxSum = 1e9
)

// Bounds of the coefficients, in milliseconds, and their defaults.
var (
	minCoefficients     = coefficients{1, 0.5, 0, 0}
	maxCoefficients     = coefficients{2000, 500, 500, 200}
	defaultCoefficients = coefficients{
		defaultIdleFirstTokenMs, tokenUnit / defaultPrefillTokensPerMs, tokenUnit / defaultPrefillTokensPerMs, 0,
	}
)

type (
	// row holds the terms of one observation, and coefficients the milliseconds for each.
	row          [terms]float64
	coefficients [terms]float64

	// Sums are the weighted sums of a least-squares fit. Sums of several hosts can be added up.
	Sums struct {
		// Weight is the number of observations, less those that have aged.
		Weight float64
		// Squares is the upper triangle of the matrix of the terms' products, by rows, and Products are those of the terms
		// and the time.
		Squares  [terms * (terms + 1) / 2]float64
		Products [terms]float64
	}
)

func newRow(prefillTokens, pendingTokens, running int) row {
	return row{1, float64(prefillTokens) / tokenUnit, float64(pendingTokens) / tokenUnit, float64(running) / requestUnit}
}

// expect returns the time for the terms of a row.
func (co coefficients) expect(ro row) float64 {
	sum := 0.0
	for i, x := range ro {
		sum += x * co[i]
	}
	return sum
}

// engine returns the times of an engine with these coefficients.
func (co coefficients) engine() Engine {
	return Engine{
		PrefillTokensPerMs:     tokenUnit / co[1],
		PendingTokensPerMs:     tokenUnit / max(co[2], minCoefficients[1]),
		IdleFirstTokenMs:       co[0],
		FirstTokenPerRequestMs: co[3] / requestUnit,
	}
}

// Add adds other sums.
func (su *Sums) Add(other Sums) {
	su.Weight += other.Weight
	for i, x := range other.Squares {
		su.Squares[i] += x
	}
	for i, x := range other.Products {
		su.Products[i] += x
	}
}

// Numbers returns the sums as a list, for other hosts.
func (su Sums) Numbers() []float64 {
	return append(append([]float64{su.Weight}, su.Squares[:]...), su.Products[:]...)
}

// SumsOf returns the sums of a list; ok is false if they can't be those of observations.
func SumsOf(numbers []float64) (su Sums, ok bool) {
	if len(numbers) != 1+len(su.Squares)+len(su.Products) {
		return Sums{}, false
	}
	for _, x := range numbers {
		// The comparison also fails for numbers that are none.
		if !(math.Abs(x) <= maxSum) {
			return Sums{}, false
		}
	}
	su.Weight = numbers[0]
	copy(su.Squares[:], numbers[1:])
	copy(su.Products[:], numbers[1+len(su.Squares):])
	for _, x := range numbers[:len(numbers)-len(su.Products)] {
		if x < 0 {
			return Sums{}, false
		}
	}
	return su, true
}

// observe adds an observation. Errors count in relation to the expected time, and large ones as if they were
// maxRelativeError.
func (su *Sums) observe(ro row, ms, expectedMs float64) {
	scale := max(expectedMs, relativeFloorMs)
	weight := 1 / (scale * scale)
	if relative := math.Abs(ms-expectedMs) / scale; relative > maxRelativeError {
		weight *= maxRelativeError / relative
	}
	su.add(ro, ms, weight)
	su.Weight++
}

func (su *Sums) add(ro row, ms, weight float64) {
	k := 0
	for i := range ro {
		for j := i; j < terms; j++ {
			su.Squares[k] += weight * ro[i] * ro[j]
			k++
		}
		su.Products[i] += weight * ro[i] * ms
	}
}

func (su *Sums) decay(factor float64) {
	su.Weight *= factor
	for i := range su.Squares {
		su.Squares[i] *= factor
	}
	for i := range su.Products {
		su.Products[i] *= factor
	}
}

// solve returns the coefficients within their bounds that fit the sums best, starting from others.
func (su Sums) solve(from coefficients) coefficients {
	for i, ms := range defaultCoefficients {
		var ro row
		ro[i] = 1
		// Errors of the defaults count in relation to the time, like those of observations.
		scale := max(from[i], defaultIdleFirstTokenMs)
		su.add(ro, ms, priorWeight/(scale*scale))
	}
	var matrix [terms][terms]float64
	k := 0
	for i := range terms {
		for j := i; j < terms; j++ {
			matrix[i][j], matrix[j][i] = su.Squares[k], su.Squares[k]
			k++
		}
	}
	out := from
	for range sweeps {
		for i := range terms {
			rest := su.Products[i]
			for j := range terms {
				if j != i {
					rest -= matrix[i][j] * out[j]
				}
			}
			out[i] = min(max(rest/matrix[i][i], minCoefficients[i]), maxCoefficients[i])
		}
	}
	return out
}

// decayFactor returns what is left of a weight after a time.
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, d)) / float64(halfLife))
}

package benchcmd

import (
	"math"

	"github.com/cockroachdb/errors"
)

// sample is a measured value at one size.
type sample struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// line is the least-squares line through samples.
type line struct {
	Slope      float64 `json:"slope"`
	SlopeError float64 `json:"slope_error"` // standard error of Slope
	Intercept  float64 `json:"intercept"`
}

// fitLine fits a line through at least three samples of at least two sizes. Two samples would leave no
// degree of freedom for estimating the error.
func fitLine(samples []sample) (line, error) {
	n := float64(len(samples))
	var meanSize, meanValue float64
	for _, s := range samples {
		meanSize += s.Size / n
		meanValue += s.Value / n
	}
	var sizes, products float64
	for _, s := range samples {
		sizes += (s.Size - meanSize) * (s.Size - meanSize)
		products += (s.Size - meanSize) * (s.Value - meanValue)
	}
	if len(samples) < 3 || sizes == 0 {
		return line{}, errors.New("a fit needs three samples of two sizes; measure more sizes")
	}
	l := line{Slope: products / sizes}
	l.Intercept = meanValue - l.Slope*meanSize
	l.SlopeError = math.Sqrt(l.residualSumOfSquares(samples) / (n - 2) / sizes)
	return l, nil
}

// residualSumOfSquares returns the sum of the squared residuals of the samples.
func (l line) residualSumOfSquares(samples []sample) float64 {
	sum := 0.0
	for _, s := range samples {
		d := s.Value - l.Intercept - l.Slope*s.Size
		sum += d * d
	}
	return sum
}

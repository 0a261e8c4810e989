package slope

import "math"

// Fit is a line fitted to points by least squares.
type Fit struct {
	slope     float64
	intercept float64
	residual  float64
}

// NewFit fits a line to the points (sizes[i], values[i]). It requires at least two different
// sizes.
func NewFit(sizes, values []float64) Fit {
	count := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for index, size := range sizes {
		sumX += size
		sumY += values[index]
		sumXX += size * size
		sumXY += size * values[index]
	}
	fit := Fit{slope: (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)}
	fit.intercept = (sumY - fit.slope*sumX) / count
	largest := 0.0
	for index, size := range sizes {
		fit.residual = math.Max(fit.residual, math.Abs(values[index]-fit.At(size)))
		largest = math.Max(largest, math.Abs(values[index]))
	}
	if largest > 0 {
		fit.residual /= largest
	}
	return fit
}

// Slope returns the increase of the value per unit of size.
func (fit Fit) Slope() float64 { return fit.slope }

// Intercept returns the value of the line at size 0.
func (fit Fit) Intercept() float64 { return fit.intercept }

// Residual returns the largest absolute deviation of a value from the line, as a fraction of the
// largest absolute value.
func (fit Fit) Residual() float64 { return fit.residual }

// At returns the value of the line at a size.
func (fit Fit) At(size float64) float64 { return fit.intercept + fit.slope*size }

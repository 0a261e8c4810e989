package slope

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name      string
		sizes     []float64
		values    []float64
		slope     float64
		intercept float64
		residual  float64
	}{
		{"line", []float64{1, 2, 4}, []float64{5, 7, 11}, 2, 3, 0},
		{"flat", []float64{1, 2, 3}, []float64{4, 4, 4}, 0, 4, 0},
		{"nothing", []float64{1, 2, 3}, []float64{0, 0, 0}, 0, 0, 0},
		{"bent", []float64{0, 1, 2}, []float64{0, 2, 2}, 1, 1.0 / 3, 1.0 / 3},
	}
	near := func(left, right float64) bool { return math.Abs(left-right) < 1e-9 }
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fit := NewFit(test.sizes, test.values)
			is.True(near(fit.Slope(), test.slope))
			is.True(near(fit.Intercept(), test.intercept))
			is.True(near(fit.Residual(), test.residual))
		})
	}
}

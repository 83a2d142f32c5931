package capacity

import (
	"errors"
	"math"
)

// ErrTooFewSizes means that a line cannot be laid through the samples.
var ErrTooFewSizes = errors.New("fewer than three different sizes")

// minSizes is the least number of different sizes of a fit.
const minSizes = 3

// Sample is what was measured at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Line is a least-squares fit; Residual is the root of the mean square of the deviations, in the unit of the values.
type Line struct {
	Intercept float64
	Slope     float64
	Residual  float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit lays a line through samples of at least three different sizes; its error is ErrTooFewSizes.
func Fit(samples []Sample) (Line, error) {
	if sizes(samples) < minSizes {
		return Line{}, ErrTooFewSizes
	}
	size, value := means(samples)
	var covariance, variance float64
	for _, s := range samples {
		covariance += (s.Size - size) * (s.Value - value)
		variance += (s.Size - size) * (s.Size - size)
	}
	l := Line{Slope: covariance / variance}
	l.Intercept = value - l.Slope*size
	l.Residual = l.residual(samples)
	return l, nil
}

func sizes(samples []Sample) int {
	seen := map[float64]bool{}
	for _, s := range samples {
		seen[s.Size] = true
	}
	return len(seen)
}

func means(samples []Sample) (size, value float64) {
	n := float64(len(samples))
	for _, s := range samples {
		size += s.Size / n
		value += s.Value / n
	}
	return size, value
}

func (l Line) residual(samples []Sample) float64 {
	sum := 0.0
	for _, s := range samples {
		d := s.Value - l.At(s.Size)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(samples)))
}

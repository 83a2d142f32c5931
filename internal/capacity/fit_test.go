package capacity

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)+math.Abs(b)) }

// TestFit has the expectations worked out by hand: sizes 1, 2, 3 and values 1, 2, 4 have means 2 and 7/3, covariance 3 and variance 2.
func TestFit(t *testing.T) {
	got, err := Fit([]Sample{{1, 1}, {2, 2}, {3, 4}})
	if err != nil {
		t.Fatal(err)
	}
	// The deviations are 1/6, -1/3 and 1/6; their mean square is 1/18.
	want := Line{Intercept: -2.0 / 3, Slope: 1.5, Residual: math.Sqrt(1.0 / 18)}
	if !near(got.Intercept, want.Intercept) || !near(got.Slope, want.Slope) || !near(got.Residual, want.Residual) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestFitFindsALine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Line{
			Intercept: rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept"),
			Slope:     rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"),
		}
		var samples []Sample
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(1, 1000), 3, 8, rapid.ID).Draw(t, "sizes") {
			samples = append(samples, Sample{float64(n), want.At(float64(n))})
		}
		got, err := Fit(samples)
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(got.Slope-want.Slope) > 1e-3 || math.Abs(got.Intercept-want.Intercept) > 1 || got.Residual > 1e-3 {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

func TestFitRefuses(t *testing.T) {
	for name, samples := range map[string][]Sample{
		"nothing":     nil,
		"two sizes":   {{1, 1}, {2, 2}},
		"one doubled": {{1, 1}, {2, 2}, {2, 3}},
	} {
		if _, err := Fit(samples); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("%s: got %v, want %v", name, err, ErrTooFewSizes)
		}
	}
}

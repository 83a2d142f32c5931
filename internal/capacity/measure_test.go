package capacity

import (
	"context"
	"errors"
	"os"
	"testing"
)

func TestMeasured(t *testing.T) {
	m := measure{
		slopes: []Slope{{ID: "a"}, {ID: "b"}},
		sizes:  []int{1, 2, 3},
		run: func(_ context.Context, n int) ([]float64, error) {
			return []float64{float64(2 * n), 7}, nil
		},
	}
	got, err := m.measured(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if a, b := got[0].Line, got[1].Line; !near(a.Slope, 2) || !near(a.Intercept, 0) || !near(b.Slope, 0) || !near(b.Intercept, 7) {
		t.Errorf("got %v and %v, want slopes 2 and 0, intercepts 0 and 7", a, b)
	}
	broken := errors.New("broken")
	m.run = func(context.Context, int) ([]float64, error) { return nil, broken }
	if _, err := m.measured(context.Background()); !errors.Is(err, broken) {
		t.Errorf("got %v, want %v", err, broken)
	}
}

func TestEveryMeasureHasThreeSizesAndOneName(t *testing.T) {
	seen := map[SlopeID]bool{}
	for _, m := range measures() {
		if len(m.sizes) < minSizes {
			t.Errorf("%s: got %d sizes, want at least %d", m.slopes[0].ID, len(m.sizes), minSizes)
		}
		for _, s := range m.slopes {
			if seen[s.ID] {
				t.Errorf("got %s twice, want once", s.ID)
			}
			seen[s.ID] = true
		}
	}
}

// TestQuestionBytes finds the same bytes in each question.
func TestQuestionBytes(t *testing.T) {
	got, err := questionBytes().measured(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if l := got[0].Line; l.Slope <= 0 || l.Residual > 1e-6 {
		t.Errorf("got %v, want bytes that are the same for each question", l)
	}
}

// TestSmallRuns runs the parts that leave something running at their smallest size.
func TestSmallRuns(t *testing.T) {
	for _, m := range []measure{heartbeats(), questions(), statements(reads), statements(writes)} {
		got, err := m.run(context.Background(), m.sizes[0])
		if err != nil || len(got) != len(m.slopes) {
			t.Errorf("%s: got %v and %v, want %d values", m.slopes[0].ID, got, err, len(m.slopes))
		}
	}
}

// TestPageTakesTheTables keeps the page in step with the command.
func TestPageTakesTheTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Rewrite(page, Tables(Run{}, nil, nil)); err != nil {
		t.Error(err)
	}
}

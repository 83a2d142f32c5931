package position

import "testing"

func TestOrder(t *testing.T) {
	tests := []struct {
		name   string
		p, q   Point
		before bool
	}{
		{"equal", Point{1, 5}, Point{1, 5}, false},
		{"position", Point{1, 4}, Point{1, 5}, true},
		{"term beats position", Point{1, 900}, Point{2, 5}, true},
		{"later term", Point{2, 5}, Point{1, 900}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.p.Before(tt.q); got != tt.before {
				t.Errorf("got %v, want %v", got, tt.before)
			}
			if got := tt.p.Reaches(tt.q); got == tt.before {
				t.Errorf("got reaches %v, want %v", got, !tt.before)
			}
		})
	}
}

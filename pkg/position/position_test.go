package position

import "testing"

func TestPointOrder(t *testing.T) {
	tests := []struct {
		name   string
		p, q   Point
		before bool
	}{
		{"equal", Point{1, 5}, Point{1, 5}, false},
		{"lower position", Point{1, 4}, Point{1, 5}, true},
		{"lower term with higher position", Point{1, 900}, Point{2, 5}, true},
		{"higher term with lower position", Point{2, 5}, Point{1, 900}, false},
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

package trial

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// BenchmarkWrite compares a write that a majority must hold with one acknowledged at once, one caller at a time.
func BenchmarkWrite(b *testing.B) {
	tests := []struct {
		name  string
		alter func(*caller.Seams)
	}{
		{"majority", nil},
		{"at-once", confirmNothing},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s, err := NewEnvironment(ctx, &Config{Alter: tt.alter}, clock.System(), zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			if err := s.awaitReady(ctx); err != nil {
				b.Fatal(err)
			}
			c, err := connect(ctx, s.Addresses()[0], "")
			if err != nil {
				b.Fatal(err)
			}
			for n := 0; b.Loop(); n++ {
				sql := fmt.Sprintf(`INSERT INTO quotes VALUES('w%d', 'a', 1) /*request='quote.create'*/`, n)
				if a := run(ctx, c, Statement{SQL: sql, Simple: true}); a.Fate != Acknowledged {
					b.Fatalf("got %+v", a)
				}
			}
		})
	}
}

package trial

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// BenchmarkWrite compares a write that waits for a majority with one that is acknowledged without waiting, with one caller.
func BenchmarkWrite(b *testing.B) {
	tests := []struct {
		name  string
		alter func(*caller.Dependencies)
	}{
		{"majority", nil},
		{"at-once", skipConfirm},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			env, err := NewEnvironment(ctx, &Config{Alter: tt.alter}, clock.System(), zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer env.Close()
			if err := env.awaitReady(ctx); err != nil {
				b.Fatal(err)
			}
			c, err := connect(ctx, env.Addresses()[0], "")
			if err != nil {
				b.Fatal(err)
			}
			for n := 0; b.Loop(); n++ {
				sql := fmt.Sprintf(`INSERT INTO quotes VALUES('w%d', 'a', 1) /*request='quote.create'*/`, n)
				if reply := run(ctx, c, Statement{SQL: sql, Simple: true}); reply.Outcome != Acknowledged {
					b.Fatalf("got reply %+v, want outcome acknowledged", reply)
				}
			}
		})
	}
}

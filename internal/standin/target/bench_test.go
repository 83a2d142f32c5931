package target

import (
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func BenchmarkStatements(b *testing.B) {
	for _, bm := range []struct{ name, sql string }{
		{"read", "SELECT name FROM item WHERE id = $1"},
		{"write", "INSERT INTO item (id, name) VALUES ($1, 'x') ON CONFLICT (id) DO UPDATE SET name = 'y'"},
	} {
		b.Run(bm.name, func(b *testing.B) {
			n := NewNetwork(clock.System())
			tg, err := n.Start(b.Context(), Config{ID: "a"})
			if err != nil {
				b.Fatal(err)
			}
			if _, err := n.Start(b.Context(), Config{ID: "b"}); err != nil {
				b.Fatal(err)
			}
			if err := n.Bootstrap(b.Context(), "a", 1, schema); err != nil {
				b.Fatal(err)
			}
			b.RunParallel(func(pb *testing.PB) {
				c, err := pgx.Connect(b.Context(), "postgres://caller@"+tg.Address()+"/precios?sslmode=disable")
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close(b.Context())
				for i := 0; pb.Next(); i++ {
					if _, err := c.Exec(b.Context(), bm.sql, i%1000); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

package caller

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkStatement compares pgx straight to a scripted target with pgx through the server: the difference is the proxy's own cost.
func BenchmarkStatement(b *testing.B) {
	h := newHarness(b)
	for _, f := range append([]*fakeTarget{h.primary}, h.replicas...) {
		f.logDisabled = true
	}
	paths := []struct{ name, url string }{
		{"straight", "postgres://proxy@" + h.replicas[0].listener.Addr().String() + "/shop?sslmode=disable"},
		{"through", h.url()},
	}
	kinds := []struct {
		name string
		sql  string
		mode pgx.QueryExecMode
	}{
		{"read simple", readSQL, pgx.QueryExecModeSimpleProtocol},
		{"read prepared", readSQL, pgx.QueryExecModeCacheStatement},
		{"write simple", writeSQL, pgx.QueryExecModeSimpleProtocol},
		{"write prepared", writeSQL, pgx.QueryExecModeCacheStatement},
	}
	for _, k := range kinds {
		for _, p := range paths {
			b.Run(k.name+"/"+p.name, func(b *testing.B) { benchmark(b, p.url, k.sql, k.mode) })
		}
	}
}

func benchmark(b *testing.B, url, sql string, mode pgx.QueryExecMode) {
	ctx := context.Background()
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		b.Fatal(err)
	}
	cfg.DefaultQueryExecMode = mode
	c, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close(ctx)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		rows, err := c.Query(ctx, sql)
		if err != nil {
			b.Fatal(err)
		}
		rows.Close()
		if rows.Err() != nil {
			b.Fatal(rows.Err())
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkRows relays an answer of many rows.
func BenchmarkRows(b *testing.B) {
	h := newHarness(b)
	for _, f := range h.replicas {
		f.logDisabled, f.rows = true, 1000
	}
	b.Run("straight", func(b *testing.B) {
		benchmark(b, "postgres://proxy@"+h.replicas[0].listener.Addr().String()+"/shop?sslmode=disable", readSQL, pgx.QueryExecModeSimpleProtocol)
	})
	b.Run("through", func(b *testing.B) { benchmark(b, h.url(), readSQL, pgx.QueryExecModeSimpleProtocol) })
}

// BenchmarkCallers keeps several callers busy at once, for the statements a second that the server relays.
func BenchmarkCallers(b *testing.B) {
	h := newHarness(b)
	for _, f := range append([]*fakeTarget{h.primary}, h.replicas...) {
		f.logDisabled = true
	}
	paths := []struct{ name, url string }{
		{"straight", "postgres://proxy@" + h.replicas[0].listener.Addr().String() + "/shop?sslmode=disable"},
		{"through", h.url()},
	}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			b.SetParallelism(2)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				ctx := context.Background()
				c, err := pgx.Connect(ctx, p.url)
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close(ctx)
				for pb.Next() {
					if _, err := c.Exec(ctx, readSQL, pgx.QueryExecModeCacheStatement); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
		})
	}
}

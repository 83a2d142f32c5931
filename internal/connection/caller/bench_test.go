package caller

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkStatement measures statements from pgx directly to a fake target and through the server; the difference is the proxy's overhead.
func BenchmarkStatement(b *testing.B) {
	h := newHarness(b)
	for _, f := range append([]*fakeTarget{h.primary}, h.replicas...) {
		f.logDisabled = true
	}
	paths := []struct{ name, url string }{
		{"direct", "postgres://proxy@" + h.replicas[0].listener.Addr().String() + "/shop?sslmode=disable"},
		{"proxy", h.url()},
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

// BenchmarkRows measures a reply of 1000 rows, directly and through the server.
func BenchmarkRows(b *testing.B) {
	h := newHarness(b)
	for _, f := range h.replicas {
		f.logDisabled, f.rows = true, 1000
	}
	b.Run("direct", func(b *testing.B) {
		benchmark(b, "postgres://proxy@"+h.replicas[0].listener.Addr().String()+"/shop?sslmode=disable", readSQL, pgx.QueryExecModeSimpleProtocol)
	})
	b.Run("proxy", func(b *testing.B) { benchmark(b, h.url(), readSQL, pgx.QueryExecModeSimpleProtocol) })
}

// BenchmarkCallers measures the statements per second of several concurrent callers, directly and through the server.
func BenchmarkCallers(b *testing.B) {
	h := newHarness(b)
	for _, f := range append([]*fakeTarget{h.primary}, h.replicas...) {
		f.logDisabled = true
	}
	paths := []struct{ name, url string }{
		{"direct", "postgres://proxy@" + h.replicas[0].listener.Addr().String() + "/shop?sslmode=disable"},
		{"proxy", h.url()},
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

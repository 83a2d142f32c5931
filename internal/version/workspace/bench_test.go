package workspace

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkFind measures the look-up of a key, and reports the memory of a key in a directory of 100,000.
func BenchmarkFind(b *testing.B) {
	const keys = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := NewDirectory()
	for n := range keys / 100 {
		list := make([]Digest, 100)
		for i := range list {
			list[i] = DigestOf(fmt.Sprint("key-", n, "-", i))
		}
		if errs := d.AddDigests(&Workspace{ID: ID(fmt.Sprint("w", n))}, list); len(errs) > 0 {
			b.Fatal(errs)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	digest := DigestOf("key-7-7")
	for b.Loop() {
		if d.Find(digest) == nil {
			b.Fatal("got no workspace, want one")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
}

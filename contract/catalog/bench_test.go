package catalog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
)

func profilesDocument(tb testing.TB, shard, perShard int, version int64) fuchsiaspoke.Document {
	tb.Helper()
	items := make([]fuchsiaspoke.Profile, perShard)
	for i := range items {
		n := shard*perShard + i
		items[i] = fuchsiaspoke.Profile{
			Name: fmt.Sprintf("adapter-profile-%06d", n), ClientAccounts: []string{"saathi", "hosts"}, BaseModel: "base-7b",
			Adapter: fuchsiaspoke.Adapter{Name: fmt.Sprintf("adapter-%06d", n), Version: version}, MaxOutputTokens: 512,
		}
	}
	body, err := json.Marshal(map[string]any{"kind": "profiles", "items": items})
	if err != nil {
		tb.Fatal(err)
	}
	return fuchsiaspoke.Document{Name: fmt.Sprintf("profiles_%02d", shard), Revision: version, Body: body}
}

func newCatalog(tb testing.TB, profiles, shards int) catalog.Catalog {
	tb.Helper()
	var c catalog.Catalog
	for shard := range shards {
		next, err := c.With(profilesDocument(tb, shard, profiles/shards, 1))
		if err != nil {
			tb.Fatal(err)
		}
		c = next
	}
	return c
}

var sizes = []struct{ profiles, shards int }{{3000, 1}, {160_000, 40}}

func BenchmarkProfile(b *testing.B) {
	for _, size := range sizes {
		c := newCatalog(b, size.profiles, size.shards)
		lookups := make([]string, 4096)
		for i := range lookups {
			lookups[i] = fmt.Sprintf("adapter-profile-%06d", i*7919%size.profiles)
		}
		b.Run(fmt.Sprint(size.profiles), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := c.Profile(lookups[i%len(lookups)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkWith replaces one shard: by one with other adapter versions, or by one without its first profile, which shifts the
// position of all others.
func BenchmarkWith(b *testing.B) {
	for _, size := range sizes {
		c := newCatalog(b, size.profiles, size.shards)
		versions := profilesDocument(b, size.shards-1, size.profiles/size.shards, 2)
		shifted := versions
		head, tail, _ := bytes.Cut(versions.Body, []byte("[{"))
		_, tail, _ = bytes.Cut(tail, []byte("},{"))
		shifted.Body = slices.Concat(head, []byte("[{"), tail)
		for name, doc := range map[string]fuchsiaspoke.Document{"versions": versions, "moved": shifted} {
			b.Run(fmt.Sprint(name, "/", size.profiles), func(b *testing.B) {
				b.ReportAllocs()
				b.SetBytes(int64(len(doc.Body)))
				for b.Loop() {
					if _, err := c.With(doc); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkFill builds a whole catalog, as a VM does after a restart, and reports its memory per profile.
func BenchmarkFill(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.profiles), func(b *testing.B) {
			docs := make([]fuchsiaspoke.Document, size.shards)
			for i := range docs {
				docs[i] = profilesDocument(b, i, size.profiles/size.shards, 1)
			}
			var c catalog.Catalog
			before := heapBytes()
			for b.Loop() {
				c = catalog.Catalog{}
				for _, doc := range docs {
					c, _ = c.With(doc)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(size.profiles), "B/profile")
			b.ReportMetric(float64(len(docs[0].Body)), "B/document")
			runtime.KeepAlive(c)
			runtime.KeepAlive(docs)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

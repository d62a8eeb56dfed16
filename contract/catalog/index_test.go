package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// TestIndexHasOneSlotPerNameAfterManyRevisions guards against slots that are not removed when a revision adds, removes or
// shifts names, with which the index would grow with each publication.
func TestIndexHasOneSlotPerNameAfterManyRevisions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var c Catalog
	for revision := range int64(500) {
		doc := fuchsiaspoke.Document{Name: fmt.Sprint("keys_", random.IntN(4)), Revision: revision + 1}
		doc.Body = []byte(`{"kind":"keys","items":[`)
		separator := ""
		for i := range 20 {
			if random.IntN(2) == 0 {
				doc.Body = fmt.Appendf(doc.Body, `%s{"sha256":"%064x","client_account":"a"}`, separator, i)
				separator = ","
			}
		}
		doc.Body = append(doc.Body, "]}"...)
		next, err := c.With(doc)
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	want, got := 0, 0
	for _, s := range c.inForce {
		want += s.nameCount()
	}
	for _, bucket := range c.keys.buckets {
		got += len(bucket)
	}
	if got != want || len(c.keys.shards) != len(c.inForce) {
		t.Errorf("index has %d slots for %d names, %d shards for %d documents", got, want, len(c.keys.shards), len(c.inForce))
	}
}

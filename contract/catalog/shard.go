package catalog

import (
	"cmp"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// shard is one document in force; snapshots share it.
type shard struct {
	doc     fuchsiaspoke.Document
	content fuchsiaspoke.Content
	// at maps the name of a profile or client account, or the hash of a key, to its position.
	at map[string]int32
}

func newShard(doc fuchsiaspoke.Document, content fuchsiaspoke.Content) *shard {
	s := &shard{doc: doc, content: content}
	s.at = make(map[string]int32, len(content.Profiles)+len(content.Accounts)+len(content.Keys))
	for i, p := range content.Profiles {
		s.at[p.Name] = int32(i)
	}
	for i, a := range content.Accounts {
		s.at[a.Name] = int32(i)
	}
	for i, k := range content.Keys {
		s.at[k.Hash] = int32(i)
	}
	return s
}

func (s *shard) compareName(name string) int {
	return cmp.Compare(s.doc.Name, name)
}

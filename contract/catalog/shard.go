package catalog

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// minPackedBytes is the size of a body from which it is worth compressing.
const minPackedBytes = 4096

// writers keeps compressors, each of which takes hundreds of kilobytes to make.
var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// shard is one document in force; snapshots share it.
type shard struct {
	// doc has no body; packed holds it.
	doc     fuchsiaspoke.Document
	content fuchsiaspoke.Content
	packed  []byte
	size    int
	sum     uint64
}

func newShard(doc fuchsiaspoke.Document, content fuchsiaspoke.Content) *shard {
	s := &shard{content: content, packed: pack(doc.Body), size: len(doc.Body), sum: xxhash.Sum64(doc.Body)}
	s.doc = fuchsiaspoke.Document{Name: doc.Name, Revision: doc.Revision}
	return s
}

// name returns the name of the profile or client account, or the hash of the key, at the position.
func (s *shard) name(at int) string {
	switch s.content.Kind {
	case fuchsiaspoke.ProfilesDocument:
		return s.content.Profiles[at].Name
	case fuchsiaspoke.AccountsDocument:
		return s.content.Accounts[at].Name
	case fuchsiaspoke.KeysDocument:
		return s.content.Keys[at].Hash
	}
	return ""
}

// names returns how many names the index knows; a nil shard has none.
func (s *shard) names() int {
	if s == nil {
		return 0
	}
	return len(s.content.Profiles) + len(s.content.Accounts) + len(s.content.Keys)
}

// document returns the document as it was published, with a body of the caller's own.
func (s *shard) document() fuchsiaspoke.Document {
	doc := s.doc
	doc.Body = unpack(s.packed, s.size)
	return doc
}

func (s *shard) sameBody(body []byte) bool {
	return len(body) == s.size && xxhash.Sum64(body) == s.sum
}

func (s *shard) compareName(name string) int {
	return cmp.Compare(s.doc.Name, name)
}

// pack compresses a body, which is kept for peers alone; at 160,000 profiles it would be a third of the memory.
func pack(body []byte) []byte {
	if len(body) < minPackedBytes {
		return bytes.Clone(body)
	}
	var packed bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	// A buffer in memory can't fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return bytes.Clone(packed.Bytes())
}

func unpack(packed []byte, size int) []byte {
	if size < minPackedBytes {
		return bytes.Clone(packed)
	}
	body := make([]byte, size)
	_, _ = io.ReadFull(flate.NewReader(bytes.NewReader(packed)), body)
	return body
}

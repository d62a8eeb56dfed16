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

// minCompressBytes is the size from which a body is stored compressed.
const minCompressBytes = 4096

// compressors pools compressors, since creating one allocates hundreds of kilobytes.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// shard is one document in force. It is immutable, and snapshots share it.
type shard struct {
	// doc has no body; compressed holds it.
	doc        fuchsiaspoke.Document
	content    fuchsiaspoke.Content
	compressed []byte
	bodySize   int
	bodyHash   uint64
}

func newShard(doc fuchsiaspoke.Document, content fuchsiaspoke.Content) *shard {
	s := &shard{content: content, compressed: compress(doc.Body), bodySize: len(doc.Body), bodyHash: xxhash.Sum64(doc.Body)}
	s.doc = fuchsiaspoke.Document{Name: doc.Name, Revision: doc.Revision}
	return s
}

// name returns the name under which the index holds the item at that position of the document: the name of a profile or
// client account, or the hash of a key.
func (s *shard) name(item int) string {
	switch s.content.Kind {
	case fuchsiaspoke.ProfilesDocument:
		return s.content.Profiles[item].Name
	case fuchsiaspoke.AccountsDocument:
		return s.content.Accounts[item].Name
	case fuchsiaspoke.KeysDocument:
		return s.content.Keys[item].Hash
	}
	return ""
}

// nameCount returns the number of indexed items. It is 0 for a nil shard.
func (s *shard) nameCount() int {
	if s == nil {
		return 0
	}
	return len(s.content.Profiles) + len(s.content.Accounts) + len(s.content.Keys)
}

// document returns the document as it was published, with a copy of the body.
func (s *shard) document() fuchsiaspoke.Document {
	doc := s.doc
	doc.Body = decompress(s.compressed, s.bodySize)
	return doc
}

func (s *shard) sameBody(body []byte) bool {
	return len(body) == s.bodySize && xxhash.Sum64(body) == s.bodyHash
}

func (s *shard) compareName(name string) int {
	return cmp.Compare(s.doc.Name, name)
}

// compress compresses a body, which is kept only to be sent to peers. Uncompressed, the bodies of 160,000 profiles would take
// a third of the catalog's memory.
func compress(body []byte) []byte {
	if len(body) < minCompressBytes {
		return bytes.Clone(body)
	}
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return bytes.Clone(compressed.Bytes())
}

func decompress(compressed []byte, size int) []byte {
	if size < minCompressBytes {
		return bytes.Clone(compressed)
	}
	body := make([]byte, size)
	_, _ = io.ReadFull(flate.NewReader(bytes.NewReader(compressed)), body)
	return body
}

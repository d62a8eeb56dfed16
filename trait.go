package fuchsiaspoke

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// contentBit is set in the hashes of whole requests, and not in those of parts of prompts.
const contentBit = 1

// Trait is something that requests have in common and on which replicas may crash: a part of their prompts, or all that they are.
type Trait struct {
	// PartID is the id of a part of a prompt; empty for the whole request.
	PartID string
	// Hash is the number by which VMs name the trait.
	Hash uint64
	// Index is the part's place in the prompt.
	Index uint8
}

// NewPartTrait returns the trait of requests with a part of a prompt.
func NewPartTrait(id string, index int) Trait {
	return Trait{PartID: id, Hash: xxhash.Sum64String(id) &^ contentBit, Index: uint8(min(index, math.MaxUint8))}
}

// NewRequestTrait returns the trait of a request that comes again: with the same method, host, target, client account, model, prompt and body,
// whatever its attempt.
func NewRequestTrait(account string, d Demand, m Message) Trait {
	h := sha256.New()
	for _, text := range []string{m.Method, m.Host, m.Target, account, d.Model, d.Adapter} {
		writeText(h, text)
	}
	writeLength(h, len(d.Parts))
	for _, part := range d.Parts {
		writeText(h, part.ID)
	}
	_, _ = h.Write(m.Body)
	return Trait{Hash: binary.BigEndian.Uint64(h.Sum(nil)) | contentBit, Index: math.MaxUint8}
}

// Traits returns the traits of a request: the parts of its prompt, and last the request itself.
func Traits(r AdmittedRequest, m Message) []Trait {
	out := make([]Trait, 0, len(r.Demand.Parts)+1)
	for i, part := range r.Demand.Parts {
		out = append(out, NewPartTrait(part.ID, i))
	}
	return append(out, NewRequestTrait(r.Account, r.Demand, m))
}

// IsRequest reports whether the trait is that of one request that comes again.
func (t Trait) IsRequest() bool { return IsRequestHash(t.Hash) }

// IsRequestHash reports whether the hash is that of one request that comes again.
func IsRequestHash(hash uint64) bool { return hash&contentBit != 0 }

// String returns the trait as logs name it.
func (t Trait) String() string { return strconv.FormatUint(t.Hash, 16) }

// writeText writes a text and its length, so that the texts before and after it can't run into it.
func writeText(h hash.Hash, text string) {
	writeLength(h, len(text))
	_, _ = h.Write([]byte(text))
}

func writeLength(h hash.Hash, n int) {
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(n)))
}

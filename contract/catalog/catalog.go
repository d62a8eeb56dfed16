// Package catalog keeps what is in force of the published documents, as immutable snapshots.
package catalog

import (
	"cmp"
	"iter"
	"reflect"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/parser"
	"github.com/pkg/errors"
)

// Catalog is a snapshot of what is in force; its zero value holds nothing, and its slices must not be changed.
//
// For each document name the highest revision without faults is in force, whatever the order of arrival, provided
// that the platform gives one body alone to each name and revision.
type Catalog struct {
	// held is in the order of names.
	held      []*shard
	profiles  index
	accounts  index
	keys      index
	upstreams []fuchsiaspoke.Upstream
	vms       fuchsiaspoke.VMList
	refused   []fuchsiaspoke.RefusedDocument
	digest    fuchsiaspoke.Digest
}

// With returns a copy with the document in force if it has no faults and a higher revision than its predecessor.
// An older or equal revision changes nothing; a faulty one is only remembered, and its fuchsiaspoke.DocumentFaults
// are returned.
func (c Catalog) With(doc fuchsiaspoke.Document) (Catalog, error) {
	old := c.shard(doc.Name)
	if old != nil && doc.Revision < old.doc.Revision {
		return c, nil
	}
	if old != nil && doc.Revision == old.doc.Revision {
		return c.withEqual(old, doc)
	}
	content, err := parser.Parser{}.Parse(doc)
	if err != nil {
		var faults fuchsiaspoke.DocumentFaults
		errors.As(err, &faults)
		return c.withRefused(doc, faults), err
	}
	return c.withShard(old, newShard(doc, content)), nil
}

// withEqual tells operators when the platform gave two contents to one name and revision; the first one stays.
func (c Catalog) withEqual(old *shard, doc fuchsiaspoke.Document) (Catalog, error) {
	if old.sameBody(doc.Body) {
		return c, nil
	}
	content, err := parser.Parser{}.Parse(doc)
	if err == nil && reflect.DeepEqual(content, old.content) {
		return c, nil
	}
	faults := fuchsiaspoke.DocumentFaults{{
		Document: doc.Name, Field: "revision", Reason: "is in force with another content",
	}}
	return c.withRefused(doc, faults), faults
}

func (c Catalog) withShard(old, next *shard) Catalog {
	c.held = withShardIn(c.held, next)
	switch next.content.Kind {
	case fuchsiaspoke.ProfilesDocument:
		c.profiles = c.profiles.with(old, next)
	case fuchsiaspoke.AccountsDocument:
		c.accounts = c.accounts.with(old, next)
	case fuchsiaspoke.KeysDocument:
		c.keys = c.keys.with(old, next)
	case fuchsiaspoke.UpstreamsDocument:
		c.upstreams = mergeUpstreams(c.held)
	case fuchsiaspoke.VMsDocument:
		c.vms = fuchsiaspoke.VMList{Revision: next.doc.Revision, VMs: next.content.VMs}
	}
	c.refused = slices.DeleteFunc(slices.Clone(c.refused), func(r fuchsiaspoke.RefusedDocument) bool {
		return r.Name == next.doc.Name && r.Revision <= next.doc.Revision
	})
	c.digest = digestOf(c.held)
	return c
}

// withRefused remembers the highest refused revision of each name.
func (c Catalog) withRefused(doc fuchsiaspoke.Document, faults fuchsiaspoke.DocumentFaults) Catalog {
	next := fuchsiaspoke.RefusedDocument{Name: doc.Name, Revision: doc.Revision, Faults: faults}
	i, found := slices.BinarySearchFunc(c.refused, doc.Name, func(r fuchsiaspoke.RefusedDocument, name string) int {
		return cmp.Compare(r.Name, name)
	})
	switch {
	case !found:
		c.refused = slices.Insert(slices.Clone(c.refused), i, next)
	case c.refused[i].Revision < doc.Revision:
		c.refused = slices.Clone(c.refused)
		c.refused[i] = next
	}
	return c
}

// Profile returns the profile of that name; of two documents that hold it, the one with the lowest name decides.
func (c Catalog) Profile(name string) (fuchsiaspoke.Profile, bool) {
	s, at := c.profiles.find(name)
	if s == nil {
		return fuchsiaspoke.Profile{}, false
	}
	return s.content.Profiles[at], true
}

// Account returns the client account of that name; the document with the lowest name decides.
func (c Catalog) Account(name string) (fuchsiaspoke.ClientAccount, bool) {
	s, at := c.accounts.find(name)
	if s == nil {
		return fuchsiaspoke.ClientAccount{}, false
	}
	return s.content.Accounts[at], true
}

// Key returns the key with that SHA-256 hash in lower-case hexadecimal; it is withdrawn if any document withdraws it.
func (c Catalog) Key(hash string) (fuchsiaspoke.Key, bool) {
	s, at := c.keys.find(hash)
	if s == nil {
		return fuchsiaspoke.Key{}, false
	}
	key := s.content.Keys[at]
	key.Withdrawn = c.keys.any(hash, func(s *shard, at int) bool { return s.content.Keys[at].Withdrawn })
	return key, true
}

// Upstreams returns the upstreams in the order of their ids; of two with one id, the document with the lowest name decides.
func (c Catalog) Upstreams() []fuchsiaspoke.Upstream { return c.upstreams }

// VMList returns the list of VMs with the revision of its document; revision 0 means that none came yet.
func (c Catalog) VMList() fuchsiaspoke.VMList { return c.vms }

// Digest returns the summary of the revisions in force.
func (c Catalog) Digest() fuchsiaspoke.Digest { return c.digest }

// Refused returns for each name the highest refused revision that the one in force doesn't exceed, in the order of names.
func (c Catalog) Refused() []fuchsiaspoke.RefusedDocument { return c.refused }

// Revision returns the revision in force of the document, or 0.
func (c Catalog) Revision(document string) int64 {
	if s := c.shard(document); s != nil {
		return s.doc.Revision
	}
	return 0
}

// Documents returns the documents in force in the order of their names, for a peer that has none.
func (c Catalog) Documents() []fuchsiaspoke.Document {
	return slices.Collect(c.Newer(nil))
}

// Newer yields the documents in force whose revision is above the one that a peer has, in the order of their names.
// Bodies are kept compressed, and each is unpacked only when it is its turn.
func (c Catalog) Newer(have map[string]int64) iter.Seq[fuchsiaspoke.Document] {
	return func(yield func(fuchsiaspoke.Document) bool) {
		for _, s := range c.held {
			if s.doc.Revision > have[s.doc.Name] && !yield(s.document()) {
				return
			}
		}
	}
}

func (c Catalog) shard(name string) *shard {
	i, found := slices.BinarySearchFunc(c.held, name, (*shard).compareName)
	if !found {
		return nil
	}
	return c.held[i]
}

func withShardIn(held []*shard, next *shard) []*shard {
	i, found := slices.BinarySearchFunc(held, next.doc.Name, (*shard).compareName)
	held = slices.Clone(held)
	if found {
		held[i] = next
		return held
	}
	return slices.Insert(held, i, next)
}

func mergeUpstreams(held []*shard) []fuchsiaspoke.Upstream {
	var merged []fuchsiaspoke.Upstream
	for _, s := range held {
		merged = append(merged, s.content.Upstreams...)
	}
	byID := func(a, b fuchsiaspoke.Upstream) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortStableFunc(merged, byID)
	return slices.CompactFunc(merged, func(a, b fuchsiaspoke.Upstream) bool { return a.ID == b.ID })
}

func digestOf(held []*shard) fuchsiaspoke.Digest {
	var d fuchsiaspoke.Digest
	h := xxhash.New()
	var line []byte
	for _, s := range held {
		line = append(line[:0], s.doc.Name...)
		line = append(line, ' ')
		line = strconv.AppendInt(line, s.doc.Revision, 10)
		line = append(line, '\n')
		_, _ = h.Write(line)
		d.Highest = max(d.Highest, s.doc.Revision)
	}
	if len(held) > 0 {
		d.Hash = h.Sum64()
	}
	return d
}

// Package catalog holds the published documents in force as immutable snapshots.
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

// Catalog is a snapshot of the documents in force. Its zero value is empty. Callers must not modify the slices it returns.
//
// For each document name the highest valid revision is in force, whatever the order of arrival, provided that the
// platform publishes only one body under each name and revision.
type Catalog struct {
	// inForce holds the documents in force, sorted by name.
	inForce   []*shard
	profiles  index
	accounts  index
	keys      index
	upstreams []fuchsiaspoke.Upstream
	vms       fuchsiaspoke.VMList
	refused   []fuchsiaspoke.RefusedDocument
	digest    fuchsiaspoke.Digest
}

// With returns a copy in which the document is in force, if it is valid and newer than the revision in force. An older
// revision, or the same one with equal content, changes nothing. An invalid document, or the same revision with different
// content, is recorded as refused and leaves the documents in force unchanged; its fuchsiaspoke.DocumentFaults are returned.
func (c Catalog) With(doc fuchsiaspoke.Document) (Catalog, error) {
	old := c.shard(doc.Name)
	if old != nil && doc.Revision < old.doc.Revision {
		return c, nil
	}
	if old != nil && doc.Revision == old.doc.Revision {
		return c.withSameRevision(old, doc)
	}
	content, err := parser.Parser{}.Parse(doc)
	if err != nil {
		var faults fuchsiaspoke.DocumentFaults
		errors.As(err, &faults)
		return c.withRefused(doc, faults), err
	}
	return c.withShard(old, newShard(doc, content)), nil
}

// withSameRevision reports a fault if the platform published different content under the name and revision in force. The
// content in force stays.
func (c Catalog) withSameRevision(old *shard, doc fuchsiaspoke.Document) (Catalog, error) {
	if old.sameBody(doc.Body) {
		return c, nil
	}
	content, err := parser.Parser{}.Parse(doc)
	if err == nil && reflect.DeepEqual(content, old.content) {
		return c, nil
	}
	faults := fuchsiaspoke.DocumentFaults{{
		Document: doc.Name, Field: "revision", Reason: "is already in force with different content",
	}}
	return c.withRefused(doc, faults), faults
}

func (c Catalog) withShard(old, next *shard) Catalog {
	c.inForce = insertOrReplace(c.inForce, next)
	switch next.content.Kind {
	case fuchsiaspoke.ProfilesDocument:
		c.profiles = c.profiles.with(old, next)
	case fuchsiaspoke.AccountsDocument:
		c.accounts = c.accounts.with(old, next)
	case fuchsiaspoke.KeysDocument:
		c.keys = c.keys.with(old, next)
	case fuchsiaspoke.UpstreamsDocument:
		c.upstreams = mergeUpstreams(c.inForce)
	case fuchsiaspoke.VMsDocument:
		c.vms = fuchsiaspoke.VMList{Revision: next.doc.Revision, VMs: next.content.VMs}
	}
	c.refused = slices.DeleteFunc(slices.Clone(c.refused), func(r fuchsiaspoke.RefusedDocument) bool {
		return r.Name == next.doc.Name && r.Revision <= next.doc.Revision
	})
	c.digest = computeDigest(c.inForce)
	return c
}

// withRefused records the highest refused revision of each name.
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

// Profile returns the profile of that name. If several documents hold it, the one with the lowest document name takes
// precedence.
func (c Catalog) Profile(name string) (fuchsiaspoke.Profile, bool) {
	s, i := c.profiles.find(name)
	if s == nil {
		return fuchsiaspoke.Profile{}, false
	}
	return s.content.Profiles[i], true
}

// Account returns the client account of that name. If several documents hold it, the one with the lowest document name
// takes precedence.
func (c Catalog) Account(name string) (fuchsiaspoke.ClientAccount, bool) {
	s, i := c.accounts.find(name)
	if s == nil {
		return fuchsiaspoke.ClientAccount{}, false
	}
	return s.content.Accounts[i], true
}

// Key returns the key with that SHA-256 hash in lower-case hexadecimal. The key is withdrawn if any document withdraws it.
func (c Catalog) Key(hash string) (fuchsiaspoke.Key, bool) {
	s, i := c.keys.find(hash)
	if s == nil {
		return fuchsiaspoke.Key{}, false
	}
	key := s.content.Keys[i]
	key.Withdrawn = c.keys.anyMatch(hash, func(s *shard, i int) bool { return s.content.Keys[i].Withdrawn })
	return key, true
}

// Upstreams returns the upstreams sorted by id. If several documents hold an id, the one with the lowest document name takes
// precedence.
func (c Catalog) Upstreams() []fuchsiaspoke.Upstream { return c.upstreams }

// VMList returns the VMs with the revision of their document, which is 0 before the first one is in force.
func (c Catalog) VMList() fuchsiaspoke.VMList { return c.vms }

// Digest returns the summary of the names and revisions in force.
func (c Catalog) Digest() fuchsiaspoke.Digest { return c.digest }

// Refused returns the highest refused revision of each name, unless a higher one is in force, sorted by name.
func (c Catalog) Refused() []fuchsiaspoke.RefusedDocument { return c.refused }

// Revision returns the revision in force of the document, or 0 if there is none.
func (c Catalog) Revision(document string) int64 {
	if s := c.shard(document); s != nil {
		return s.doc.Revision
	}
	return 0
}

// Documents returns all documents in force, sorted by name.
func (c Catalog) Documents() []fuchsiaspoke.Document {
	return slices.Collect(c.Newer(nil))
}

// Newer yields the documents in force whose revision is higher than the one a peer has, sorted by name. Bodies are stored
// compressed, and each is decompressed only when it is yielded.
func (c Catalog) Newer(have map[string]int64) iter.Seq[fuchsiaspoke.Document] {
	return func(yield func(fuchsiaspoke.Document) bool) {
		for _, s := range c.inForce {
			if s.doc.Revision > have[s.doc.Name] && !yield(s.document()) {
				return
			}
		}
	}
}

func (c Catalog) shard(name string) *shard {
	i, found := slices.BinarySearchFunc(c.inForce, name, (*shard).compareName)
	if !found {
		return nil
	}
	return c.inForce[i]
}

func insertOrReplace(shards []*shard, next *shard) []*shard {
	i, found := slices.BinarySearchFunc(shards, next.doc.Name, (*shard).compareName)
	shards = slices.Clone(shards)
	if found {
		shards[i] = next
		return shards
	}
	return slices.Insert(shards, i, next)
}

func mergeUpstreams(shards []*shard) []fuchsiaspoke.Upstream {
	var merged []fuchsiaspoke.Upstream
	for _, s := range shards {
		merged = append(merged, s.content.Upstreams...)
	}
	byID := func(a, b fuchsiaspoke.Upstream) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortStableFunc(merged, byID)
	return slices.CompactFunc(merged, func(a, b fuchsiaspoke.Upstream) bool { return a.ID == b.ID })
}

func computeDigest(shards []*shard) fuchsiaspoke.Digest {
	var d fuchsiaspoke.Digest
	h := xxhash.New()
	var line []byte
	for _, s := range shards {
		line = append(line[:0], s.doc.Name...)
		line = append(line, ' ')
		line = strconv.AppendInt(line, s.doc.Revision, 10)
		line = append(line, '\n')
		_, _ = h.Write(line)
		d.Highest = max(d.Highest, s.doc.Revision)
	}
	if len(shards) > 0 {
		d.Hash = h.Sum64()
	}
	return d
}

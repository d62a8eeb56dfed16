package catalog

import (
	"iter"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Accounts yields the client accounts in force, each once.
func (c Catalog) Accounts() iter.Seq[fuchsiaspoke.ClientAccount] {
	return func(yield func(fuchsiaspoke.ClientAccount) bool) {
		for _, s := range c.inForce {
			for i, account := range s.content.Accounts {
				if preferred, preferredItem := c.accounts.find(account.Name); preferred != s || preferredItem != i {
					continue
				}
				if !yield(account) {
					return
				}
			}
		}
	}
}

// Profiles yields the profiles in force, each once.
func (c Catalog) Profiles() iter.Seq[fuchsiaspoke.Profile] {
	return func(yield func(fuchsiaspoke.Profile) bool) {
		for _, s := range c.inForce {
			for i, profile := range s.content.Profiles {
				if preferred, preferredItem := c.profiles.find(profile.Name); preferred != s || preferredItem != i {
					continue
				}
				if !yield(profile) {
					return
				}
			}
		}
	}
}

// Revisions returns the revision in force of each document.
func (c Catalog) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(c.inForce))
	for _, s := range c.inForce {
		revisions[s.doc.Name] = s.doc.Revision
	}
	return revisions
}

package catalog

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Warnings returns probable mistakes in the documents in force: names that several documents hold, and client accounts that
// are referred to but not published. It scans all documents, so it must not be called for each request.
func (c Catalog) Warnings() []fuchsiaspoke.DocumentFault {
	var w []fuchsiaspoke.DocumentFault
	for _, s := range c.inForce {
		w = append(w, c.duplicates(s)...)
		w = append(w, c.unknownAccounts(s)...)
	}
	return w
}

func (c Catalog) duplicates(s *shard) []fuchsiaspoke.DocumentFault {
	var w []fuchsiaspoke.DocumentFault
	warn := func(x index, field, name string) {
		if preferred, _ := x.find(name); preferred != s {
			w = append(w, fuchsiaspoke.DocumentFault{
				Document: s.doc.Name, Field: field, Reason: "is also in document " + preferred.doc.Name + ", which takes precedence",
			})
		}
	}
	for _, p := range s.content.Profiles {
		warn(c.profiles, "profile "+p.Name, p.Name)
	}
	for _, a := range s.content.Accounts {
		warn(c.accounts, "client account "+a.Name, a.Name)
	}
	for _, k := range s.content.Keys {
		warn(c.keys, "key "+k.Hash, k.Hash)
	}
	for _, u := range s.content.Upstreams {
		if preferred := c.shardOfUpstream(u.ID); preferred != s {
			w = append(w, fuchsiaspoke.DocumentFault{
				Document: s.doc.Name, Field: "upstream " + u.ID, Reason: "is also in document " + preferred.doc.Name + ", which takes precedence",
			})
		}
	}
	return w
}

func (c Catalog) shardOfUpstream(id string) *shard {
	for _, s := range c.inForce {
		for _, u := range s.content.Upstreams {
			if u.ID == id {
				return s
			}
		}
	}
	return nil
}

func (c Catalog) unknownAccounts(s *shard) []fuchsiaspoke.DocumentFault {
	var w []fuchsiaspoke.DocumentFault
	warn := func(field, account string) {
		if _, ok := c.Account(account); !ok && account != "" {
			w = append(w, fuchsiaspoke.DocumentFault{
				Document: s.doc.Name, Field: field, Reason: "refers to client account " + account + ", which no document defines",
			})
		}
	}
	for _, p := range s.content.Profiles {
		warn("profile "+p.Name, p.OpenAccount)
		for _, account := range p.ClientAccounts {
			warn("profile "+p.Name, account)
		}
	}
	for _, k := range s.content.Keys {
		warn("key "+k.Hash, k.Account)
	}
	return w
}

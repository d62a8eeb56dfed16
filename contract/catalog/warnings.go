package catalog

import "github.com/fuchsiaspoke/fuchsiaspoke"

// Warnings returns what is in force but looks like a slip: names that two documents hold, and client accounts
// that are named but not published. It reads everything, so it is for operators and not for requests.
func (c Catalog) Warnings() []fuchsiaspoke.DocumentFault {
	var w []fuchsiaspoke.DocumentFault
	for _, s := range c.held {
		w = append(w, c.duplicates(s)...)
		w = append(w, c.unknownAccounts(s)...)
	}
	return w
}

func (c Catalog) duplicates(s *shard) []fuchsiaspoke.DocumentFault {
	var w []fuchsiaspoke.DocumentFault
	warn := func(x index, field, name string) {
		if first, _ := x.find(name); first != s {
			w = append(w, fuchsiaspoke.DocumentFault{
				Document: s.doc.Name, Field: field, Reason: "is also in document " + first.doc.Name + ", which decides",
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
		if first := c.upstreamHolder(u.ID); first != s {
			w = append(w, fuchsiaspoke.DocumentFault{
				Document: s.doc.Name, Field: "upstream " + u.ID, Reason: "is also in document " + first.doc.Name + ", which decides",
			})
		}
	}
	return w
}

func (c Catalog) upstreamHolder(id string) *shard {
	for _, s := range c.held {
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
				Document: s.doc.Name, Field: field, Reason: "names client account " + account + ", which no document holds",
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

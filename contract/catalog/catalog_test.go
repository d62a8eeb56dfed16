package catalog_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/parser"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func ExampleCatalog_With() {
	var c catalog.Catalog
	body := `{"kind":"client_accounts","items":[{"name":"saathi","rate_tokens_per_second":%d,"burst_tokens":100}]}`
	for _, revision := range []int64{7, 9, 8} {
		c, _ = c.With(fuchsiaspoke.Document{
			Name: "client_accounts", Revision: revision, Body: fmt.Appendf(nil, body, revision),
		})
	}
	c, err := c.With(fuchsiaspoke.Document{Name: "client_accounts", Revision: 10, Body: []byte(`{"kind":"client_accounts"}`)})
	account, _ := c.Account("saathi")
	fmt.Println(account.RateTokensPerSecond, c.Revision("client_accounts"), err)
	fmt.Println(c.Refused())
	// Output:
	// 9 9 client_accounts: items: is missing
	// [{client_accounts 10 [client_accounts: items: is missing]}]
}

const (
	revisionsPerName = 6
	itemsPerKind     = 5
)

var documentNames = []string{
	"vms", "upstreams", "upstreams_b", "profiles", "profiles_01", "profiles_02",
	"client_accounts", "client_accounts_z", "keys", "keys_a", "keys_b",
}

// generateDocument returns the document with that number, which gives its name and revision. The seed determines the
// content; a quarter of the documents are invalid.
func generateDocument(documentSeed int64, number int) fuchsiaspoke.Document {
	name, revision := documentNames[number/revisionsPerName], int64(number%revisionsPerName+1)
	r := rand.New(rand.NewPCG(uint64(documentSeed), uint64(number)))
	doc := fuchsiaspoke.Document{Name: name, Revision: revision}
	if r.IntN(4) == 0 {
		doc.Body = json.RawMessage(`{"kind":"keys","items":[{"sha256":"no"}]}`)
		return doc
	}
	kind := kindOf(name)
	items := []any{}
	for i := range itemsPerKind {
		if r.IntN(2) == 0 || i == 0 && kind == fuchsiaspoke.VMsDocument {
			items = append(items, itemFor(kind, i, name, revision, r.IntN(3) == 0))
		}
	}
	doc.Body, _ = json.Marshal(map[string]any{"kind": kind, "items": items})
	return doc
}

func kindOf(name string) fuchsiaspoke.DocumentKind {
	for _, kind := range []fuchsiaspoke.DocumentKind{"vms", "upstreams", "profiles", "client_accounts", "keys"} {
		if len(name) >= len(kind) && name[:len(kind)] == string(kind) {
			return kind
		}
	}
	panic(name)
}

func itemFor(kind fuchsiaspoke.DocumentKind, i int, document string, revision int64, withdrawn bool) any {
	id := fmt.Sprint("n", i)
	switch kind {
	case fuchsiaspoke.VMsDocument:
		return fuchsiaspoke.VM{ID: id, Zone: "a", CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i), LinkAddress: fmt.Sprint("127.0.0.1:", 2000+i)}
	case fuchsiaspoke.UpstreamsDocument:
		return fuchsiaspoke.Upstream{ID: id, Kind: "service", Service: document, Zone: "a", Address: fmt.Sprint("127.0.0.1:", 3000+i)}
	case fuchsiaspoke.ProfilesDocument:
		return fuchsiaspoke.Profile{
			Name: id, ClientAccounts: []string{document}, BaseModel: "base",
			Adapter: fuchsiaspoke.Adapter{Name: "x", Version: revision}, MaxOutputTokens: 1,
		}
	case fuchsiaspoke.AccountsDocument:
		return fuchsiaspoke.ClientAccount{Name: id, RateTokensPerSecond: float64(revision), BurstTokens: 1}
	}
	return fuchsiaspoke.Key{Hash: hash(i), Account: document, Withdrawn: withdrawn}
}

func hash(i int) string { return fmt.Sprintf("%064x", i) }

// view holds the results of the catalog queries that depend on the documents in force only. Refused also depends on refused
// documents and is compared separately.
type view struct {
	Profiles  [itemsPerKind]fuchsiaspoke.Profile
	Accounts  [itemsPerKind]fuchsiaspoke.ClientAccount
	Keys      [itemsPerKind]fuchsiaspoke.Key
	Upstreams []fuchsiaspoke.Upstream
	VMs       fuchsiaspoke.VMList
	Documents []fuchsiaspoke.Document
	Warnings  []fuchsiaspoke.DocumentFault
	Digest    fuchsiaspoke.Digest
}

func (v view) upstream(id string) *fuchsiaspoke.Upstream {
	for i := range v.Upstreams {
		if v.Upstreams[i].ID == id {
			return &v.Upstreams[i]
		}
	}
	return nil
}

func readView(c catalog.Catalog) view {
	v := view{Upstreams: c.Upstreams(), VMs: c.VMList(), Documents: c.Documents(), Warnings: c.Warnings(), Digest: c.Digest()}
	for i := range itemsPerKind {
		v.Profiles[i], _ = c.Profile(fmt.Sprint("n", i))
		v.Accounts[i], _ = c.Account(fmt.Sprint("n", i))
		v.Keys[i], _ = c.Key(hash(i))
	}
	return v
}

// expected computes the view from the valid documents, without a catalog.
func expected(documentSeed int64, order []int) view {
	var v view
	var withdrawn [itemsPerKind]bool
	for n, name := range documentNames {
		best, content := highestValid(documentSeed, n, order)
		if best.Revision == 0 {
			continue
		}
		if name == "vms" {
			v.VMs = fuchsiaspoke.VMList{Revision: best.Revision, VMs: content.VMs}
		}
		for i := range itemsPerKind {
			id := fmt.Sprint("n", i)
			for _, p := range content.Profiles {
				if p.Name == id && v.Profiles[i].Name == "" {
					v.Profiles[i] = p
				}
			}
			for _, a := range content.Accounts {
				if a.Name == id && v.Accounts[i].Name == "" {
					v.Accounts[i] = a
				}
			}
			for _, u := range content.Upstreams {
				if u.ID == id && v.upstream(id) == nil {
					v.Upstreams = append(v.Upstreams, u)
				}
			}
			for _, k := range content.Keys {
				withdrawn[i] = withdrawn[i] || k.Hash == hash(i) && k.Withdrawn
				if k.Hash == hash(i) && v.Keys[i].Hash == "" {
					v.Keys[i] = k
				}
			}
		}
	}
	for i := range itemsPerKind {
		v.Keys[i].Withdrawn = withdrawn[i]
	}
	return v
}

func highestValid(documentSeed int64, nameIndex int, order []int) (best fuchsiaspoke.Document, content fuchsiaspoke.Content) {
	for _, number := range order {
		doc := generateDocument(documentSeed, number)
		if number/revisionsPerName != nameIndex || doc.Revision <= best.Revision {
			continue
		}
		if c, err := (parser.Parser{}).Parse(doc); err == nil {
			best, content = doc, c
		}
	}
	return best, content
}

// TestCatalogIsIndependentOfArrivalOrder applies the same documents in two orders, one of them with repetitions. Older
// revisions can arrive after newer ones in either.
func TestCatalogIsIndependentOfArrivalOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*seed)
	parameters.MinSuccessfulTests = 100
	parameters.MaxSize = 60
	properties := gopter.NewProperties(parameters)
	orders := gen.SliceOf(gen.IntRange(0, len(documentNames)*revisionsPerName-1))
	properties.Property("order and repetition", prop.ForAll(func(documentSeed int64, order []int, shuffle int64) string {
		r := rand.New(rand.NewPCG(uint64(shuffle), 0))
		other := slices.Concat(order, order[:r.IntN(len(order)+1)])
		r.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		one, problem := applyInOrder(documentSeed, order)
		two, problem2 := applyInOrder(documentSeed, other)
		if problem+problem2 != "" {
			return problem + problem2
		}
		if a, b := readView(one), readView(two); !reflect.DeepEqual(a, b) {
			return fmt.Sprintf("views differ by arrival order:\n%+v\n%+v", a, b)
		}
		if !reflect.DeepEqual(one.Refused(), two.Refused()) && len(one.Refused())+len(two.Refused()) > 0 {
			return fmt.Sprintf("refused documents differ by arrival order: %v %v", one.Refused(), two.Refused())
		}
		return compareExpected(readView(one), expected(documentSeed, order))
	}, gen.Int64(), orders, gen.Int64()))
	properties.TestingRun(t)
}

// applyInOrder adds the documents to an empty catalog. At each step it checks that no revision goes back, that a refused
// document leaves the view unchanged, that the earlier snapshot is unchanged, and that the digest changes only with the documents.
func applyInOrder(documentSeed int64, order []int) (catalog.Catalog, string) {
	var c catalog.Catalog
	for _, number := range order {
		doc := generateDocument(documentSeed, number)
		before := readView(c)
		next, err := c.With(doc)
		for _, name := range documentNames {
			if next.Revision(name) < c.Revision(name) {
				return c, fmt.Sprintf("revision of %s decreased from %d to %d", name, c.Revision(name), next.Revision(name))
			}
		}
		if err != nil && !reflect.DeepEqual(before, readView(next)) {
			return c, fmt.Sprintf("refused document %s, revision %d, changed the view", doc.Name, doc.Revision)
		}
		if !reflect.DeepEqual(before, readView(c)) {
			return c, "adding a document changed the earlier snapshot"
		}
		if same := reflect.DeepEqual(c.Documents(), next.Documents()); same != (c.Digest() == next.Digest()) {
			return c, fmt.Sprintf("digests before %+v and after %+v, documents equal: %v", c.Digest(), next.Digest(), same)
		}
		c = next
	}
	return c, ""
}

func compareExpected(got, want view) string {
	if !reflect.DeepEqual(got.Profiles, want.Profiles) || !reflect.DeepEqual(got.Accounts, want.Accounts) ||
		!reflect.DeepEqual(got.Keys, want.Keys) || !reflect.DeepEqual(got.VMs, want.VMs) ||
		len(got.Upstreams) != len(want.Upstreams) {
		return fmt.Sprintf("got %+v\nwant %+v", got, want)
	}
	for i, u := range got.Upstreams {
		if u != *want.upstream(u.ID) || i > 0 && got.Upstreams[i-1].ID >= u.ID {
			return fmt.Sprintf("got upstreams %+v\nwant %+v", got.Upstreams, want.Upstreams)
		}
	}
	return ""
}

func TestSameRevisionWithDifferentContentIsRefused(t *testing.T) {
	var c catalog.Catalog
	first := fuchsiaspoke.Document{Name: "keys", Revision: 4, Body: []byte(`{"kind":"keys","items":[]}`)}
	spaced := fuchsiaspoke.Document{Name: "keys", Revision: 4, Body: []byte(`{"items": [], "kind": "keys"}`)}
	other := fuchsiaspoke.Document{Name: "keys", Revision: 4, Body: []byte(`{"kind":"keys","items":[{"sha256":"` + hash(1) + `","client_account":"x"}]}`)}
	c, _ = c.With(first)
	c, err := c.With(spaced)
	if err != nil || len(c.Refused()) != 0 {
		t.Errorf("equal content with other whitespace and field order: err %v, want it accepted", err)
	}
	c, err = c.With(other)
	if _, found := c.Key(hash(1)); err == nil || found || len(c.Refused()) != 1 {
		t.Errorf("different content: err %v, key found %v, refused %v; want it refused", err, found, c.Refused())
	}
}

// TestDocumentsReturnsBodiesUnchanged covers bodies below and above the compression threshold, and callers that modify a body
// after it was added or returned.
func TestDocumentsReturnsBodiesUnchanged(t *testing.T) {
	var c catalog.Catalog
	want := map[string]string{}
	for shard, profiles := range []int{0, 3, 23, 24, 25, 4000} {
		doc := profilesDocument(t, shard, profiles, int64(shard+1))
		want[doc.Name] = string(doc.Body)
		next, err := c.With(doc)
		if err != nil {
			t.Fatal(err)
		}
		c = next
		doc.Body[2] = 'x'
		c.Documents()[0].Body[2] = 'x'
	}
	for _, doc := range c.Documents() {
		if string(doc.Body) != want[doc.Name] {
			t.Errorf("%s: body of %d bytes differs from the published one", doc.Name, len(want[doc.Name]))
		}
	}
	newer := slices.Collect(c.Newer(map[string]int64{"profiles_00": 1, "profiles_01": 1, "profiles_02": 9}))
	if len(newer) != 4 || newer[0].Name != "profiles_01" {
		t.Errorf("got %d newer documents, want 4 from profiles_01 on", len(newer))
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	c := newCatalog(t, 300, 3)
	c, _ = c.With(generateDocument(1, slices.Index(documentNames, "keys")*revisionsPerName))
	key := hash(1)
	allocs := testing.AllocsPerRun(100, func() {
		_, _ = c.Profile("adapter-profile-000123")
		_, _ = c.Account("saathi")
		_, _ = c.Key(key)
		_, _, _ = c.Upstreams(), c.VMList(), c.Digest()
		_ = c.Refused()
	})
	if allocs != 0 {
		t.Errorf("got %v allocations, want 0", allocs)
	}
}

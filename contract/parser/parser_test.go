package parser_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func ExampleParser_Parse() {
	_, err := parser.Parser{}.Parse(fuchsiaspoke.Document{
		Name: "client_accounts", Revision: 3,
		Body: []byte(`{"kind":"client_accounts","items":[{"name":"saathi","rate_tokens_per_second":0,"burst":1}]}`),
	})
	fmt.Println(err)
	// Output:
	// client_accounts: items[0].burst: unknown field
	// client_accounts: items[0].rate_tokens_per_second: must be above 0 and at most 1099511627776
	// client_accounts: items[0].burst_tokens: must be above 0 and at most 1099511627776
}

func TestParseMatchesGoldenFiles(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	if err != nil || len(inputs) == 0 {
		t.Fatalf("no input files in testdata: %v", err)
	}
	for _, input := range inputs {
		name := strings.TrimSuffix(filepath.Base(input), ".json")
		t.Run(name, func(t *testing.T) {
			body, err := os.ReadFile(input)
			if err != nil {
				t.Fatal(err)
			}
			got := parseResult(t, fuchsiaspoke.Document{Name: name, Revision: 1, Body: body})
			compareGolden(t, strings.TrimSuffix(input, ".json")+".golden", got)
		})
	}
}

func parseResult(t *testing.T, doc fuchsiaspoke.Document) string {
	t.Helper()
	content, err := parser.Parser{}.Parse(doc)
	if err == nil {
		text, err := json.MarshalIndent(content, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return "accepted\n" + string(text) + "\n"
	}
	if !reflect.DeepEqual(content, fuchsiaspoke.Content{}) {
		t.Errorf("refused document returned content: %v", content)
	}
	return "refused\n" + err.Error() + "\n"
}

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs, got:\n%s", path, got)
	}
}

func TestParseEnforcesHeaderRulesAndLimits(t *testing.T) {
	valid := fuchsiaspoke.Document{Name: "keys", Revision: 1, Body: []byte(`{"kind":"keys","items":[]}`)}
	appendZeroBytes := func(n int) []byte { return append(append([]byte{}, valid.Body...), make([]byte, n)...) }
	blanks := strings.Repeat(" ", 1<<20-len(valid.Body))
	cases := []struct {
		name  string
		doc   fuchsiaspoke.Document
		fault string
	}{
		{"good", valid, ""},
		{"largest", fuchsiaspoke.Document{Name: "keys", Revision: 1, Body: []byte(string(valid.Body) + blanks)}, ""},
		{"no name", fuchsiaspoke.Document{Revision: 1, Body: valid.Body}, ": name: is missing or empty"},
		{"no revision", fuchsiaspoke.Document{Name: "keys", Body: valid.Body}, "keys: revision: must be at least 1, is 0"},
		{"too large", fuchsiaspoke.Document{Name: "keys", Revision: 1, Body: appendZeroBytes(1 << 20)}, "keys: body: has 1048602 bytes, at most 1048576 are allowed"},
		{"not UTF-8", fuchsiaspoke.Document{Name: "keys", Revision: 1, Body: []byte("{\"kind\":\"keys\",\"items\":[]}\xff")}, "keys: body: is not valid UTF-8"},
	}
	for _, c := range cases {
		_, err := parser.Parser{}.Parse(c.doc)
		if got := fmt.Sprint(err); err == nil && c.fault != "" || err != nil && got != c.fault {
			t.Errorf("%s: %s, want %q", c.name, got, c.fault)
		}
	}
	invalidItems := `{"kind":"keys","items":[` + strings.Repeat("1,", 1500) + `1]}`
	_, err := parser.Parser{}.Parse(fuchsiaspoke.Document{Name: "keys", Revision: 1, Body: []byte(invalidItems)})
	faults, _ := err.(fuchsiaspoke.DocumentFaults)
	if len(faults) != 1001 {
		t.Errorf("got %d faults, want 1000 and a last one that counts the omitted faults", len(faults))
	}
}

// FuzzParse checks that an accepted document decodes to the same items as with encoding/json, that it is accepted again
// with the same content after re-encoding, and that each fault has a document, a field and a reason.
func FuzzParse(f *testing.F) {
	inputs, _ := filepath.Glob("testdata/*.json")
	for _, input := range inputs {
		body, err := os.ReadFile(input)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(strings.TrimSuffix(filepath.Base(input), ".json"), body)
	}
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		doc := fuchsiaspoke.Document{Name: name, Revision: 1, Body: body}
		content, err := parser.Parser{}.Parse(doc)
		if err != nil {
			requireCompleteFaults(t, name, err)
			return
		}
		items, _ := json.Marshal(itemsOf(content))
		if want := decodeWithEncodingJSON(t, content.Kind, body); string(items) != want {
			t.Fatalf("parsed items:\n%s\nwant, from encoding/json:\n%s", items, want)
		}
		doc.Body = []byte(`{"items":` + string(items) + `,"kind":"` + string(content.Kind) + `"}`)
		again, err := parser.Parser{}.Parse(doc)
		if err != nil && len(doc.Body) <= 1<<20 {
			t.Fatalf("re-encoded document refused: %v", err)
		}
		first, _ := json.Marshal(content)
		second, _ := json.Marshal(again)
		if err == nil && string(first) != string(second) {
			t.Fatalf("content before re-encoding:\n%s\nafter:\n%s", first, second)
		}
	})
}

func requireCompleteFaults(t *testing.T, name string, err error) {
	t.Helper()
	faults, ok := err.(fuchsiaspoke.DocumentFaults)
	if !ok || len(faults) == 0 {
		t.Fatalf("got error of type %T, want DocumentFaults with at least one fault", err)
	}
	for _, fault := range faults {
		if fault.Document != name || fault.Field == "" || fault.Reason == "" {
			t.Fatalf("incomplete fault or wrong document name: %+v", fault)
		}
	}
}

func decodeWithEncodingJSON(t *testing.T, kind fuchsiaspoke.DocumentKind, body []byte) string {
	t.Helper()
	var document struct{ Items json.RawMessage }
	if err := json.Unmarshal(body, &document); err != nil {
		t.Fatal(err)
	}
	c := fuchsiaspoke.Content{Kind: kind}
	targets := map[fuchsiaspoke.DocumentKind]any{
		"vms": &c.VMs, "upstreams": &c.Upstreams, "profiles": &c.Profiles, "client_accounts": &c.Accounts, "keys": &c.Keys,
	}
	if err := json.Unmarshal(document.Items, targets[kind]); err != nil {
		t.Fatal(err)
	}
	for i := range c.Keys {
		c.Keys[i].Hash = strings.ToLower(c.Keys[i].Hash)
	}
	for i := range c.Profiles {
		if len(c.Profiles[i].Routes) == 0 {
			c.Profiles[i].Routes = nil
		}
	}
	items, _ := json.Marshal(itemsOf(c))
	return string(items)
}

func itemsOf(c fuchsiaspoke.Content) any {
	switch c.Kind {
	case fuchsiaspoke.VMsDocument:
		return c.VMs
	case fuchsiaspoke.UpstreamsDocument:
		return append([]fuchsiaspoke.Upstream{}, c.Upstreams...)
	case fuchsiaspoke.ProfilesDocument:
		return append([]fuchsiaspoke.Profile{}, c.Profiles...)
	case fuchsiaspoke.AccountsDocument:
		return append([]fuchsiaspoke.ClientAccount{}, c.Accounts...)
	}
	return append([]fuchsiaspoke.Key{}, c.Keys...)
}

package checker_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/checker"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var fixtures = map[string]string{
	"good/keys.json":            `{"kind":"keys","items":[{"sha256":"` + strings.Repeat("ab", 32) + `","client_account":"saathi"}]}`,
	"good/client_accounts.json": `{"kind":"client_accounts","items":[{"name":"saathi","rate_tokens_per_second":5,"burst_tokens":10}]}`,
	"good/client_accounts_2":    `{"kind":"client_accounts","items":[{"name":"saathi","rate_tokens_per_second":6,"burst_tokens":10}]}`,
	"bad/keys.json":             `{"kind":"keys","items":[{"sha256":"abc"},{"sha256":"abd","client_account":"x","rate":1}]}`,
	"bad/profiles.json":         `{"kind":"profiles","items":[`,
}

func TestCheckMatchesGoldenFiles(t *testing.T) {
	cases := map[string][]string{
		"accepted":   {"good/keys.json", "good/client_accounts.json"},
		"warnings":   {"good/keys.json", "good/client_accounts_2", "good/client_accounts.json"},
		"unknown":    {"good/keys.json"},
		"faults":     {"good/client_accounts.json", "bad/keys.json", "bad/profiles.json"},
		"same_name":  {"good/keys.json", "bad/keys.json"},
		"unreadable": {"bad/keys.json", "missing.json", "good/client_accounts.json"},
		"usage":      {},
	}
	for name, paths := range cases {
		var got bytes.Buffer
		code := checker.Checker{Open: openFixture}.Check(&got, paths...)
		fmt.Fprintf(&got, "exit code %d\n", code)
		path := "testdata/" + name + ".golden"
		if *update {
			if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got.String() != string(want) {
			t.Errorf("%s differs, got:\n%s", path, got.String())
		}
	}
	if code := (checker.Checker{}).Check(io.Discard, "testdata/missing.json"); code != 2 {
		t.Errorf("exit code %d for a missing file, want 2", code)
	}
}

func openFixture(path string) (io.ReadCloser, error) {
	text, ok := fixtures[path]
	if !ok {
		return nil, fmt.Errorf("%s: no such file", path)
	}
	return io.NopCloser(strings.NewReader(text)), nil
}

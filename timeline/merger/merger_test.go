package merger_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/merger"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMergedTableMatchesGoldenFilePerFilter(t *testing.T) {
	input, err := os.ReadFile("testdata/processes.json")
	if err != nil {
		t.Fatal(err)
	}
	var processes [][]fuchsiaspoke.Event
	if err := json.Unmarshal(input, &processes); err != nil {
		t.Fatal(err)
	}
	filters := map[string]fuchsiaspoke.EventFilter{
		"all":     {},
		"request": {RequestID: "r1"},
		"account": {Account: "hosts"},
		"kind":    {Kind: fuchsiaspoke.EventSent},
		"none":    {RequestID: "r1", Account: "hosts"},
	}
	for name, filter := range filters {
		m := merger.Merger{Filter: filter}
		var got bytes.Buffer
		if err := m.Write(&got, m.Merge(processes...)); err != nil {
			t.Fatal(err)
		}
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
}

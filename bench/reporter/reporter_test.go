package reporter_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/reporter"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestTableAndJSONMatchGoldenFilesAndPlotsAreComplete(t *testing.T) {
	var r reporter.Reporter
	figures, err := os.ReadFile("testdata/runs.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(figures, &r.Runs); err != nil {
		t.Fatal(err)
	}
	var table, encoded, plots bytes.Buffer
	if err := r.Table(&table); err != nil {
		t.Error(err)
	}
	compareGolden(t, "testdata/table.golden", table.Bytes())
	if err := r.JSON(&encoded); err != nil {
		t.Error(err)
	}
	compareGolden(t, "testdata/runs.json", encoded.Bytes())
	if err := r.FirstTokenSVG(&plots); err != nil {
		t.Error(err)
	}
	if err := r.WaitSVG(&plots); err != nil {
		t.Error(err)
	}
	if strings.Count(plots.String(), "</svg>") != 2 || !strings.Contains(plots.String(), "saathi") {
		t.Error("the plots are not two complete SVG documents with the scenario's name")
	}
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("output differs from %s; got:\n%s", name, got)
	}
}

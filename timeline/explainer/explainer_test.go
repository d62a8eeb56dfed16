package explainer_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/explainer"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// testdata/cut.log holds out-of-order log lines of a run of the real program; each is prefixed with the run's own time in
// seconds and a host name.
func TestWriteRequestLinesMatchGoldenFile(t *testing.T) {
	raw, err := os.ReadFile("testdata/cut.log")
	if err != nil {
		t.Fatal(err)
	}
	e := explainer.Explainer{ID: "7c812a5beb80c764"}
	if err := e.Read(bytes.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if found, err := e.Write(&out); err != nil || !found {
		t.Fatal(found, err)
	}
	const path = "testdata/cut.golden"
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("output differs from the golden file, got:\n%s", out.String())
	}
}

func TestWriteReportsUnknownRequestAsNotFound(t *testing.T) {
	e := explainer.Explainer{ID: "other"}
	if err := e.Read(strings.NewReader(`{"msg":"started"}` + "\nnot a line\n{broken\n")); err != nil {
		t.Fatal(err)
	}
	if found, err := e.Write(&strings.Builder{}); found || err != nil {
		t.Fatal(found, err)
	}
}

package fuchsiaspoke_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
)

// Guards against messages with fields that VMs of older builds do not know: what concerns the connection to a replica is not sent.
func TestMessageBetweenVMsHasNoFieldsOfConnections(t *testing.T) {
	raw, err := cbor.Marshal(fuchsiaspoke.Message{ID: "a", Alone: true, Method: http.MethodGet, Target: "/x", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	if want := []string{"Body", "Header", "Host", "Method", "Target"}; !slices.Equal(names, want) {
		t.Errorf("fields %q, want %q", names, want)
	}
}

package fuchsiaspoke_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
)

// maxReadingBytes is the size that a reading of a VM which has read for eight hours may add to a heartbeat.
const maxReadingBytes = 11

func TestReadingIsShortInHeartbeats(t *testing.T) {
	size := func(r fuchsiaspoke.Reading) int {
		raw, err := cbor.Marshal(fuchsiaspoke.VMState{Reading: r.Report()})
		if err != nil {
			t.Fatal(err)
		}
		var decoded fuchsiaspoke.VMState
		if err := cbor.Unmarshal(raw, &decoded); err != nil || !reflect.DeepEqual(decoded.Reading, r.Report()) {
			t.Errorf("reading %+v was decoded as %+v, error %v", r, decoded.Reading, err)
		}
		return len(raw)
	}
	empty, err := cbor.Marshal(fuchsiaspoke.VMState{})
	if err != nil {
		t.Fatal(err)
	}
	if n := size(fuchsiaspoke.Reading{}.WithAge(time.Second)) - len(empty); n != 0 {
		t.Errorf("no reading takes %d bytes, want none", n)
	}
	full := fuchsiaspoke.Reading{Reader: 1<<16 - 1, Number: 1<<16 - 1}.WithAge(time.Minute)
	if n := size(full) - len(empty); n > maxReadingBytes {
		t.Errorf("a reading takes %d bytes, want at most %d", n, maxReadingBytes)
	}
}

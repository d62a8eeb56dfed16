package recordkeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/recordkeeper"
)

func record(n int, ttl time.Duration) fuchsiaspoke.StreamRecord {
	return fuchsiaspoke.StreamRecord{
		Key: fuchsiaspoke.NewStreamKey(fmt.Sprint("attempt-", n)), TTL: ttl,
		Origin: fuchsiaspoke.StreamOrigin{Service: "texts", SoftwareVersion: "v1"},
	}
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	k := recordkeeper.RecordKeeper{Capacity: 100}
	for n := range 1000 {
		k.Put(time.Second, record(n, time.Hour))
		k.Put(time.Second, record(n, time.Hour))
	}
	if k.Len() != 100 {
		t.Errorf("%d records, want 100", k.Len())
	}
	if _, known := k.Get(time.Second, record(999, 0).Key); !known {
		t.Error("the newest record was dropped")
	}
	if _, known := k.Get(time.Second, record(0, 0).Key); known {
		t.Error("the oldest record was kept")
	}
	if _, known := k.Get(time.Hour, record(999, 0).Key); known {
		t.Error("a record outlives its longest time")
	}
	k.Put(time.Hour, record(1, time.Second))
	if k.Len() != 1 {
		t.Errorf("%d records after all others have expired, want 1", k.Len())
	}
}

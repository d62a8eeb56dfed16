package durationmeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/durationmeter"
)

func ExampleDurationMeter_Usual() {
	var m durationmeter.DurationMeter
	for n := range 7 {
		m.Record("chat", time.Duration(n+1)*time.Second)
	}
	fmt.Println(m.Usual("chat"))
	for n := range 3 {
		m.Record("chat", time.Duration(n+8)*time.Second)
	}
	fmt.Println(m.Usual("chat"), m.Usual("read"))
	// Output:
	// 0s
	// 9s 0s
}

func TestOldDurationsAreForgotten(t *testing.T) {
	var m durationmeter.DurationMeter
	for range 100 {
		m.Record("chat", time.Minute)
	}
	for range 32 {
		m.Record("chat", time.Second)
	}
	if got := m.Usual("chat"); got != time.Second {
		t.Errorf("usual duration %v, want 1 s", got)
	}
}

func TestNumberOfKindsIsBounded(t *testing.T) {
	var m durationmeter.DurationMeter
	for n := range 5000 {
		for range 8 {
			m.Record(fmt.Sprint("kind-", n), time.Second)
		}
	}
	if m.Usual("kind-0") != time.Second || m.Usual("kind-4999") != 0 {
		t.Error("want the first kinds alone")
	}
}

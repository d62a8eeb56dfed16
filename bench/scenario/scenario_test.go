package scenario_test

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
)

func ExampleScenario_WithTimes() {
	s, _ := scenario.Find("saathi_faults")
	s = s.WithTimes(5*time.Second, 10*time.Second)
	for _, i := range s.Incidents {
		fmt.Println(i.At, i.Target, i.Index)
	}
	// Output:
	// 7s engine 0
	// 8s engine 1
	// 9s service 0
	// 10s platform 0
	// 11s stop_vm 5
	// 14s platform 0
}

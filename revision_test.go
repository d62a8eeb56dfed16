package fuchsiaspoke_test

import (
	"fmt"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleRevision_NewerThan() {
	before := fuchsiaspoke.Revision{Era: 1, Number: 937}
	after := fuchsiaspoke.Revision{Era: 2, Number: 66}
	fmt.Println(after.NewerThan(before), before.NewerThan(fuchsiaspoke.Revision{}))
	fmt.Println(after)
	// Output:
	// true true
	// 2.66
}

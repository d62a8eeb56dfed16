package fuchsiaspoke_test

import (
	"fmt"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleRevision_NewerThan() {
	before := fuchsiaspoke.Revision{Epoch: 1, Number: 937}
	after := fuchsiaspoke.Revision{Epoch: 2, Number: 66}
	fmt.Println(after.NewerThan(before), before.NewerThan(fuchsiaspoke.Revision{}))
	fmt.Println(after)
	// Output:
	// true true
	// 2.66
}

package bytelender_test

import (
	"fmt"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
)

func ExampleLender() {
	l := bytelender.Lender{Limit: 10}
	fmt.Println(l.Lend(6), l.Lend(6), l.Lend(4), l.Lent())
	l.TakeBack(6)
	fmt.Println(l.Lend(6), l.Lent())
	// Output:
	// true false true 10
	// true 10
}

package fuchsiaspoke_test

import (
	"fmt"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleResponseHead_Fault() {
	for _, status := range []int{http.StatusOK, 0, http.StatusSwitchingProtocols, 600} {
		fmt.Println(fuchsiaspoke.ResponseHead{Status: status}.Fault())
	}
	// Output:
	// <nil>
	// status 000 is none of a response
	// status 101 is none of a response
	// status 600 is none of a response
}

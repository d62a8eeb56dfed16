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
	fmt.Println(fuchsiaspoke.ResponseHead{Status: http.StatusOK, Header: http.Header{"Transfer-Encoding ": {"chunked"}}}.Fault())
	// Output:
	// <nil>
	// status 000 is none of a response
	// status 101 is none of a response
	// status 600 is none of a response
	// field name "Transfer-Encoding " is none of a header
}

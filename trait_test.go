package fuchsiaspoke_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func ExampleNewRequestTrait() {
	read := fuchsiaspoke.Message{Method: http.MethodGet, Host: "desk.example", Target: "/read/7", Header: http.Header{"X-Try": {"1"}}}
	again := read
	again.Header = http.Header{"X-Try": {"2"}}
	first := fuchsiaspoke.NewRequestTrait("school", fuchsiaspoke.Demand{}, read)
	fmt.Println(first == fuchsiaspoke.NewRequestTrait("school", fuchsiaspoke.Demand{}, again))
	fmt.Println(first == fuchsiaspoke.NewRequestTrait("shop", fuchsiaspoke.Demand{}, read))
	// Output:
	// true
	// false
}

// Fields must not run into each other, or a caller could name another's request.
func TestRequestTraitsOfDifferentRequestsDiffer(t *testing.T) {
	seen := make(map[uint64]string)
	add := func(account string, d fuchsiaspoke.Demand, m fuchsiaspoke.Message) {
		name := fmt.Sprintf("%q %+v %+v", account, d, m)
		trait := fuchsiaspoke.NewRequestTrait(account, d, m)
		if other, known := seen[trait.Hash]; known {
			t.Errorf("%s has the trait of %s", name, other)
		}
		if !trait.IsRequest() {
			t.Errorf("%s: the trait is that of a part", name)
		}
		seen[trait.Hash] = name
	}
	add("a", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/x"})
	add("", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/xa"})
	add("xa", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/"})
	add("a", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "GET", Host: "h/", Target: "x"})
	add("a", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "POST", Host: "h", Target: "/x"})
	add("a", fuchsiaspoke.Demand{}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/x", Body: []byte("b")})
	add("a", fuchsiaspoke.Demand{Model: "b"}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/x"})
	add("a", fuchsiaspoke.Demand{Parts: []fuchsiaspoke.PromptPart{{ID: "p"}}}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/x"})
	add("a", fuchsiaspoke.Demand{Parts: []fuchsiaspoke.PromptPart{{ID: "p"}, {ID: "q"}}}, fuchsiaspoke.Message{Method: "GET", Host: "h", Target: "/x"})
	if fuchsiaspoke.NewPartTrait("p", 0).IsRequest() {
		t.Error("a part's trait is that of a request")
	}
}

package issuer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/issuer"
)

const (
	secret = "0123456789abcdef0123456789abcdef"
	// pinned was issued by vm.1/\n, incarnation i7, to saathi; a change of the format must not go unnoticed.
	pinned = "fs1.dm0uMS8K.aTc.10.v6_XzjdLdUvKIYbN2DRk3Q.37mrAghm2ulcKJR5m2i0EGUwiKjYz7YW-hUJGdjs0UQ"
)

func newIssuer(vm, incarnation string) *issuer.Issuer {
	return &issuer.Issuer{
		VM: vm, Incarnation: incarnation, Secret: []byte(secret),
		Clock: func() time.Duration { return 36 * time.Millisecond },
	}
}

func ExampleIssuer() {
	a, b := newIssuer("vm-1", "i7"), newIssuer("vm-2", "i9")
	key, err := a.Issue("saathi")
	fmt.Println(strings.HasPrefix(key, "fs1.dm0tMQ.aTc.10."), err)
	fmt.Println(b.Parse(key, "saathi"))
	_, _, err = b.Parse(key, "other")
	fmt.Println(err)
	_, err = b.Age(key, "saathi")
	fmt.Println(err)
	// Output:
	// true <nil>
	// vm-1 i7 <nil>
	// idempotency_key_not_issued: the idempotency key was not issued to this client account
	// outcome_unknown: the process that issued the idempotency key is gone
}

func TestIssuerWithoutSecretIssuesNothing(t *testing.T) {
	if _, err := (&issuer.Issuer{VM: "a", Incarnation: "b"}).Issue("c"); err == nil {
		t.Fatal("issued without a secret")
	}
}

// FuzzParse asserts that no spelling but the issued one is accepted, for no account but its own.
func FuzzParse(f *testing.F) {
	is := newIssuer("vm.1/\n", "i7")
	for _, seed := range []string{pinned, pinned + "\n", pinned + "=", pinned[1:], strings.ToUpper(pinned), "fs1.....", ""} {
		f.Add(seed, "saathi")
	}
	f.Add(pinned, "")
	f.Fuzz(func(t *testing.T, text, account string) {
		vm, incarnation, err := is.Parse(text, account)
		if text == pinned && account == "saathi" {
			if err != nil || vm != is.VM || incarnation != is.Incarnation {
				t.Fatalf("own key refused: %q %q %v", vm, incarnation, err)
			}
			return
		}
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || refusal.Code != fuchsiaspoke.CodeKeyNotIssued {
			t.Fatalf("%q for %q: %v", text, account, err)
		}
	})
}

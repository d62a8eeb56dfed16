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
	// goldenKey was issued by VM "vm.1/\n", incarnation i7, to client account saathi. The tests parse it, so that
	// a change of the key format fails them.
	goldenKey = "fs1.dm0uMS8K.aTc.10.v6_XzjdLdUvKIYbN2DRk3Q.37mrAghm2ulcKJR5m2i0EGUwiKjYz7YW-hUJGdjs0UQ"
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
	// outcome_unknown: the idempotency key was issued by another process, which alone knows the outcome of its call
}

func TestIssuerWithoutSecretIssuesNothing(t *testing.T) {
	if _, err := (&issuer.Issuer{VM: "a", Incarnation: "b"}).Issue("c"); err == nil {
		t.Fatal("a key was issued without a secret")
	}
}

// FuzzParse checks that a key is accepted only in its exact encoding and only for the client account it was issued to.
func FuzzParse(f *testing.F) {
	keyIssuer := newIssuer("vm.1/\n", "i7")
	for _, seed := range []string{goldenKey, goldenKey + "\n", goldenKey + "=", goldenKey[1:], strings.ToUpper(goldenKey), "fs1.....", ""} {
		f.Add(seed, "saathi")
	}
	f.Add(goldenKey, "")
	f.Fuzz(func(t *testing.T, text, account string) {
		vm, incarnation, err := keyIssuer.Parse(text, account)
		if text == goldenKey && account == "saathi" {
			if err != nil || vm != keyIssuer.VM || incarnation != keyIssuer.Incarnation {
				t.Fatalf("issued key refused: VM %q, incarnation %q, error %v", vm, incarnation, err)
			}
			return
		}
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || refusal.Code != fuchsiaspoke.CodeKeyNotIssued {
			t.Fatalf("key %q for account %q: error %v, want idempotency_key_not_issued", text, account, err)
		}
	})
}

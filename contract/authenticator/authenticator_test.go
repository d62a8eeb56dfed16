package authenticator_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
)

const (
	hostsKey     = "hosts-key"
	withdrawnKey = "withdrawn-key"
)

func newCatalog(t testing.TB) catalog.Catalog {
	t.Helper()
	hosts, _ := authenticator.Authenticator{}.KeyHash("Bearer " + hostsKey)
	withdrawn, _ := authenticator.Authenticator{}.KeyHash("Bearer " + withdrawnKey)
	bodies := map[string]string{
		"keys": `{"kind":"keys","items":[{"sha256":"` + hosts + `","client_account":"hosts"},
			{"sha256":"` + withdrawn + `","client_account":"hosts"}]}`,
		"keys_withdrawn": `{"kind":"keys","items":[{"sha256":"` + strings.ToUpper(withdrawn) + `","withdrawn":true}]}`,
		"profiles": `{"kind":"profiles","items":[
			{"name":"prompts","client_accounts":["hosts"],"base_model":"m","adapter":{"name":"a","version":1},"max_output_tokens":9},
			{"name":"desk","client_accounts":["makers"],"service":"desk","routes":[{"method":"GET","path_prefix":"/","cost_tokens":1}]},
			{"name":"status","open":true,"open_account":"public","service":"desk","routes":[{"method":"GET","path_prefix":"/","cost_tokens":1}]}]}`,
	}
	var c catalog.Catalog
	for name, body := range bodies {
		next, err := c.With(fuchsiaspoke.Document{Name: name, Revision: 1, Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	return c
}

func TestAuthorizeReturnsAccountOrRefusal(t *testing.T) {
	c := newCatalog(t)
	var a authenticator.Authenticator
	cases := []struct{ header, profile, want string }{
		{"Bearer " + hostsKey, "prompts", "hosts"},
		{"bearer  " + hostsKey + " ", "prompts", "hosts"},
		{"", "status", "public"},
		{"Bearer " + hostsKey, "status", "public"},
		{"Bearer " + withdrawnKey, "status", "public"},
		{"", "prompts", "401 unauthenticated not_run"},
		{"", "missing", "401 unauthenticated not_run"},
		{"Bearer other", "missing", "401 unauthenticated not_run"},
		{"Bearer ", "prompts", "401 unauthenticated not_run"},
		{"Bearer", "prompts", "401 unauthenticated not_run"},
		{"Basic " + hostsKey, "prompts", "401 unauthenticated not_run"},
		{"Bearer " + withdrawnKey, "prompts", "401 key_withdrawn not_run"},
		{"Bearer " + withdrawnKey, "missing", "401 key_withdrawn not_run"},
		{"Bearer " + hostsKey, "desk", "403 profile_not_allowed not_run"},
		{"Bearer " + hostsKey, "missing", "404 profile_not_found not_run"},
	}
	for _, test := range cases {
		hash, err := a.KeyHash(test.header)
		var account string
		if err == nil {
			_, account, err = a.Authorize(c, hash, test.profile)
		}
		var refusal *fuchsiaspoke.Refusal
		if errors.As(err, &refusal) {
			account = fmt.Sprint(refusal.Status, " ", refusal.Code, " ", refusal.Run)
			if strings.Contains(refusal.Message, "-key") {
				t.Errorf("refusal message contains the key: %s", refusal.Message)
			}
		}
		if account != test.want {
			t.Errorf("Authorization %q, profile %s: got %s, want %s", test.header, test.profile, account, test.want)
		}
	}
}

func ExampleAuthenticator_KeyHash() {
	hash, err := authenticator.Authenticator{}.KeyHash("Bearer test")
	fmt.Println(hash, err)
	// Output: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 <nil>
}

func BenchmarkAuthorize(b *testing.B) {
	c := newCatalog(b)
	var a authenticator.Authenticator
	b.ReportAllocs()
	for b.Loop() {
		hash, _ := a.KeyHash("Bearer " + hostsKey)
		if _, _, err := a.Authorize(c, hash, "prompts"); err != nil {
			b.Fatal(err)
		}
	}
}

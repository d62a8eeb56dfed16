package authorizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/ratelimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/authorizer"
)

func newAuthorizer(c *fuchsiaspoke.Contract) *authorizer.Authorizer {
	return &authorizer.Authorizer{
		Published:   func() *fuchsiaspoke.PublishedState { return &fuchsiaspoke.PublishedState{Contract: c} },
		RateLimiter: &ratelimiter.RateLimiter{},
		Clock:       func() time.Duration { return time.Minute },
	}
}

func contract() *fuchsiaspoke.Contract {
	return &fuchsiaspoke.Contract{
		Version: 3,
		Routes: []fuchsiaspoke.ServiceRoute{
			{Name: "split", Host: "h", PathPrefix: "/split/", Targets: []fuchsiaspoke.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
			{Name: "open", Host: "h", PathPrefix: "/open/", Open: true, Targets: []fuchsiaspoke.WeightedService{{Service: "a", Weight: 1}}},
		},
		Accounts: map[string]fuchsiaspoke.AccountContract{
			"school": {Name: "school", TokensPerSecond: 1000, BurstTokens: 1000, DefaultTokens: 200},
		},
		Keys: map[string]string{"key": "school"},
	}
}

func TestRequestBeforeFirstContractGetsRetryAfter(t *testing.T) {
	_, refused := newAuthorizer(nil).Admit(fuchsiaspoke.Request{Host: "h", Path: "/open/x"})
	if refused == nil || refused.Status != 503 || refused.Run != fuchsiaspoke.NotRun || refused.RetryAfter <= 0 {
		t.Fatalf("refusal %+v, want status 503, not run, with Retry-After", refused)
	}
}

func TestAdmitStatusByRouteAndKey(t *testing.T) {
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/open/x", "", 0},
		{"/open/x", "unknown", 0},
		{"/split/x", "key", 0},
		{"/split/x", "", 401},
		{"/split/x", "unknown", 401},
		{"/other/x", "key", 404},
	} {
		_, refused := newAuthorizer(contract()).Admit(fuchsiaspoke.Request{Host: "h", Path: c.path, Key: c.key})
		status := 0
		if refused != nil {
			status = refused.Status
		}
		if status != c.status {
			t.Errorf("%s with key %q: status %d, want %d", c.path, c.key, status, c.status)
		}
	}
}

func TestRequestsAreSplitByServiceWeight(t *testing.T) {
	c := contract()
	c.Accounts["school"] = fuchsiaspoke.AccountContract{Name: "school"}
	g := newAuthorizer(c)
	n := 0
	for i := range 2000 {
		w, refused := g.Admit(fuchsiaspoke.Request{ID: fmt.Sprint("id-", i), Host: "h", Path: "/split/x", Key: "key"})
		if refused != nil {
			t.Fatal(refused)
		}
		if w.Service == "b" {
			n++
		}
	}
	if n < 140 || n > 260 {
		t.Fatalf("%d of 2000 requests went to a service with a tenth of the weight, want 140 to 260", n)
	}
}

func TestTokensOfRequestThatDidNotRunAreRefunded(t *testing.T) {
	g := newAuthorizer(contract())
	request := fuchsiaspoke.Request{
		ID: "1", Host: "h", Path: "/split/x", Key: "key", Demand: fuchsiaspoke.Demand{PromptTokens: 900, OutputTokens: 100},
	}
	w, refused := g.Admit(request)
	if refused != nil {
		t.Fatal(refused)
	}
	if _, refused = g.Admit(request); refused == nil || refused.Status != 429 {
		t.Fatalf("second request beyond the burst: %v, want status 429", refused)
	}
	g.Return(w)
	if _, refused = g.Admit(request); refused != nil {
		t.Fatalf("request after the refund refused: %v", refused)
	}
}

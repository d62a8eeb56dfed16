package delegator_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// A VM of an earlier build passed on a head with a status that HTTP does not have.
func TestDelegatedHeadWithStatusOutsideOfHTTPIsNotRelayed(t *testing.T) {
	for _, status := range []int{0, 99, http.StatusSwitchingProtocols, 600, 999} {
		expectHeadNotRelayed(t, fuchsiaspoke.DelegatedHead{Status: status, Length: 2})
	}
}

// A VM of an earlier build passed on a head with a blank in the name of a field.
func TestDelegatedHeadWithOddFieldNameIsNotRelayed(t *testing.T) {
	for _, name := range []string{"X-Odd Name", "Content-Length ", " X-Odd", ""} {
		expectHeadNotRelayed(t, fuchsiaspoke.DelegatedHead{Status: http.StatusOK, Header: http.Header{name: {"odd"}}, Length: 2})
	}
}

// expectHeadNotRelayed fails the test if a head that another VM sends reaches the caller.
func expectHeadNotRelayed(t *testing.T, head fuchsiaspoke.DelegatedHead) {
	t.Helper()
	links := &fakeLinks{serve: func(_ fuchsiaspoke.VM, _ fuchsiaspoke.Delegation, send func(any) error) error {
		return send(fuchsiaspoke.DelegatedPart{Head: &head, Body: []byte("ok")})
	}}
	out := &recordedResponse{}
	err := newDelegator(links, peerIn("a", "a1")).Serve(t.Context(), request(), fuchsiaspoke.Message{}, out)
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown || out.status != 0 {
		t.Errorf("head %+v: status %d reached the caller, error %v, want an unknown outcome", head, out.status, err)
	}
}

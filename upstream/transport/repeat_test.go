package transport_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

// maxIDsPerConnection is how many ids a connection remembers.
const maxIDsPerConnection = 256

// remoteAddresses sends requests with the ids one after the other to a replica, and returns the connections that carried them.
func remoteAddresses(t *testing.T, ids ...string) []string {
	t.Helper()
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.WriteString(w, q.RemoteAddr) }))
	defer replica.Close()
	var sender transport.Transport
	defer sender.Close()
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		m := fuchsiaspoke.Message{ID: id, Method: http.MethodPost, Target: "/", Host: "replica", Header: http.Header{}}
		response, err := sender.Send(context.Background(), strings.TrimPrefix(replica.URL, "http://"), m, func(http.Header) fuchsiaspoke.ResponseMatch {
			return fuchsiaspoke.ResponseOwn
		})
		if err != nil {
			t.Fatal(err)
		}
		remote, err := io.ReadAll(response)
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		out = append(out, string(remote))
	}
	return out
}

// Guards against a copy of the first response that is taken for the second, as both name the same request.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	on := remoteAddresses(t, "a", "b", "a", "c", "a", "", "")
	for _, pair := range [][2]int{{0, 2}, {0, 4}, {2, 4}} {
		if on[pair[0]] == on[pair[1]] {
			t.Errorf("sends %d and %d of one request went out on the same connection", pair[0], pair[1])
		}
	}
	if on[0] != on[1] || on[2] != on[3] || on[5] != on[6] {
		t.Errorf("connections %q: requests that a connection has not carried did not reuse it", on)
	}
}

// Guards against a connection that forgets, or that remembers ever more ids.
func TestConnectionThatCanRememberNoMoreIDsIsClosed(t *testing.T) {
	ids := make([]string, 0, maxIDsPerConnection+1)
	for n := range maxIDsPerConnection + 1 {
		ids = append(ids, fmt.Sprint("request-", n))
	}
	on := remoteAddresses(t, ids...)
	if on[0] != on[maxIDsPerConnection-1] || on[0] == on[maxIDsPerConnection] {
		t.Errorf("the first connection did not carry %d requests, and no more", maxIDsPerConnection)
	}
}

package starter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/starter"
	"go.uber.org/goleak"
)

func TestStartServesPublishedUpstreams(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := &starter.Starter{
		Engines: []*engine.Engine{{Slots: 3}, {ChecksFence: true}}, Services: []*service.Service{{}},
		BaseModel: "base", ServiceName: "booking", Zones: []fuchsiaspoke.Zone{"zone_a", "zone_b"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	if err := s.PublishAccounts([]fuchsiaspoke.ClientAccount{{Name: "guild", RateTokensPerSecond: 5}}); err != nil {
		t.Error(err)
	}
	accounts := getBody(t, "http://"+s.Address()+"/v1/values/client_accounts")
	if !strings.Contains(accounts, `"kind":"client_accounts","items":[{"name":"guild"`) {
		t.Errorf("published client accounts are %s", accounts)
	}
	for _, u := range s.Upstreams() {
		if !strings.Contains(getBody(t, "http://"+s.Address()+"/v1/values/upstreams"), fmt.Sprintf("%q", u.Address)) {
			t.Errorf("upstream %s was not published", u.ID)
		}
		getBody(t, "http://"+u.Address+"/records")
	}
	cancel()
	if err := s.Wait(); err != nil {
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
}

func getBody(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("GET %s returned status %d, body %s, error %v", url, resp.StatusCode, body, err)
	}
	return string(body)
}

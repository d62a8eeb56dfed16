package main

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/merger"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

type timelineCommand struct {
	addresses string
	requestID string
	account   string
	kind      string
}

func (t *timelineCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("timeline")
	c.Description = "merge the time lines of several VMs"
	setting(c, &t.addresses, "admin-addresses", "IP numbers and ports of the VMs' administration APIs, separated by commas")
	setting(c, &t.requestID, "request-id", "show this request alone")
	setting(c, &t.account, "client-account", "show this client account alone")
	setting(c, &t.kind, "kind", "show this kind of event alone")
	return c
}

// run writes what it could read and fails if a VM did not answer.
func (t *timelineCommand) run(ctx context.Context) error {
	if t.addresses == "" {
		return usageError{errors.New(`admin-addresses: "" is not allowed; give IP numbers and ports separated by commas`)}
	}
	query := url.Values{}
	query.Set("request_id", t.requestID)
	query.Set("client_account", t.account)
	query.Set("kind", t.kind)
	var processes [][]fuchsiaspoke.Event
	var missing error
	for _, address := range strings.Split(t.addresses, ",") {
		var events []fuchsiaspoke.Event
		err := fetch(ctx, strings.TrimSpace(address), "/admin/timeline?"+query.Encode(), func(body io.Reader) error {
			return json.NewDecoder(body).Decode(&events)
		})
		if err != nil {
			missing = err
			continue
		}
		processes = append(processes, events)
	}
	if err := (merger.Merger{}).Write(os.Stdout, merger.Merger{}.Merge(processes...)); err != nil {
		return err
	}
	return missing
}

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
	c.Description = "print the merged timelines of several VMs"
	addSetting(c, &t.addresses, "admin-addresses", "addresses of the VMs' administration APIs, as IP:PORT, separated by commas")
	addSetting(c, &t.requestID, "request-id", "print only events of this request")
	addSetting(c, &t.account, "client-account", "print only events of this client account")
	addSetting(c, &t.kind, "kind", "print only events of this kind")
	return c
}

// run prints the events of the VMs that answered and returns the last error of those that did not.
func (t *timelineCommand) run(ctx context.Context) error {
	if t.addresses == "" {
		return usageError{errors.New(`admin-addresses: "" is not allowed; give IP:PORT addresses separated by commas`)}
	}
	query := url.Values{}
	query.Set("request_id", t.requestID)
	query.Set("client_account", t.account)
	query.Set("kind", t.kind)
	var vmEvents [][]fuchsiaspoke.Event
	var lastErr error
	for _, address := range strings.Split(t.addresses, ",") {
		var events []fuchsiaspoke.Event
		err := readAdminPage(ctx, strings.TrimSpace(address), "/admin/timeline?"+query.Encode(), func(body io.Reader) error {
			return json.NewDecoder(body).Decode(&events)
		})
		if err != nil {
			lastErr = err
			continue
		}
		vmEvents = append(vmEvents, events)
	}
	if err := (merger.Merger{}).Write(os.Stdout, merger.Merger{}.Merge(vmEvents...)); err != nil {
		return err
	}
	return lastErr
}

package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// adminTimeout bounds one question to a VM's administration API.
const adminTimeout = 5 * time.Second

type statusCommand struct {
	address string
}

func (s *statusCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("status")
	c.Description = "show one VM's revisions, leases, peers and client accounts"
	setting(c, &s.address, "admin-address", "IP number and port of the VM's administration API")
	return c
}

func (s *statusCommand) run(ctx context.Context) error {
	if s.address == "" {
		return usageError{errors.New(`admin-address: "" is not allowed; give an IP number and a port`)}
	}
	return fetch(ctx, s.address, "/admin/status", func(body io.Reader) error {
		_, err := io.Copy(os.Stdout, body)
		return err
	})
}

// fetch reads a page of a VM's administration API.
func fetch(ctx context.Context, address, path string, use func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "ask VM at %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ask VM at %s: %s", address, resp.Status)
	}
	return use(resp.Body)
}

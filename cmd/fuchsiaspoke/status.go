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

// adminRequestTimeout bounds one request to a VM's administration API.
const adminRequestTimeout = 5 * time.Second

type statusCommand struct {
	address string
}

func (s *statusCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("status")
	c.Description = "print the configuration revisions, leases, peers and client accounts of one VM"
	addSetting(c, &s.address, "admin-address", "address of the VM's administration API, as IP:PORT")
	return c
}

func (s *statusCommand) run(ctx context.Context) error {
	if s.address == "" {
		return usageError{errors.New(`admin-address: "" is not allowed; give IP:PORT`)}
	}
	return readAdminPage(ctx, s.address, "/admin/status", func(body io.Reader) error {
		_, err := io.Copy(os.Stdout, body)
		return err
	})
}

// readAdminPage requests a path of a VM's administration API and passes the body of a 200 response to readBody.
func readAdminPage(ctx context.Context, address, path string, readBody func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, adminRequestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "request to administration API at %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("request to administration API at %s: status %s", address, resp.Status)
	}
	return readBody(resp.Body)
}

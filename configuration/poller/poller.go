// Package poller reads documents from the platform's configuration service over HTTP and long-polls for changes.
package poller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// maxResponseBytes bounds a response body: a document of at most 1 MB and its JSON envelope.
	maxResponseBytes = 2 << 20
	// readTimeout bounds a read, and a long poll beyond its wait time.
	readTimeout = 2 * time.Second
)

// Poller reads from one configuration service and never writes to it.
type Poller struct {
	// URL is the service's base URL.
	URL string
	// Client is the HTTP client for all requests; nil means http.DefaultClient.
	Client *http.Client
}

// Read returns the named document.
func (p *Poller) Read(ctx context.Context, name string) (fuchsiaspoke.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var doc fuchsiaspoke.Document
	err := p.get(ctx, "/v1/values/"+url.PathEscape(name), &doc)
	return doc, errors.Wrapf(err, "read document %s", name)
}

// Changes long-polls for revisions above after, for at most wait, and returns the newest revision and the revision of each
// changed document.
func (p *Poller) Changes(ctx context.Context, after int64, wait time.Duration) (int64, map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	var response struct {
		Revision int64 `json:"revision"`
		Changed  []struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"changed"`
	}
	path := fmt.Sprintf("/v1/changes?after=%d&wait_ms=%d", after, wait.Milliseconds())
	if err := p.get(ctx, path, &response); err != nil {
		return 0, nil, errors.Wrapf(err, "poll for changes after revision %d", after)
	}
	changed := make(map[string]int64, len(response.Changed))
	for _, change := range response.Changed {
		changed[change.Name] = change.Revision
	}
	return response.Revision, changed, nil
}

// get requests the path and decodes the JSON response into value; a status other than 200 is an error.
func (p *Poller) get(ctx context.Context, path string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+path, nil)
	if err != nil {
		return err
	}
	client := p.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if fault := (fuchsiaspoke.ResponseHead{Status: resp.StatusCode, Header: resp.Header}).Fault(); fault != nil {
		return errors.Wrapf(fault, "configuration service %s", p.URL)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("configuration service %s returned status %s", p.URL, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(value)
}

// Package poller reads and watches the platform's configuration service over HTTP; it never writes.
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
	// maxAnswerBytes bounds one answer: a value of a megabyte and its envelope.
	maxAnswerBytes = 2 << 20
	// readTimeout bounds a read, and a watch beyond its waiting time.
	readTimeout = 2 * time.Second
)

// Poller reads values from one configuration service.
type Poller struct {
	// URL is the service's base address.
	URL string
	// Client is used for all calls; nil means http.DefaultClient.
	Client *http.Client
}

// Read returns the document with the name.
func (p *Poller) Read(ctx context.Context, name string) (fuchsiaspoke.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var doc fuchsiaspoke.Document
	err := p.get(ctx, "/v1/values/"+url.PathEscape(name), &doc)
	return doc, errors.Wrapf(err, "read %s", name)
}

// Changes waits for a revision above after, at most for wait, and returns the newest revision and that of each changed document.
func (p *Poller) Changes(ctx context.Context, after int64, wait time.Duration) (int64, map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	var answer struct {
		Revision int64 `json:"revision"`
		Changed  []struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"changed"`
	}
	path := fmt.Sprintf("/v1/changes?after=%d&wait_ms=%d", after, wait.Milliseconds())
	if err := p.get(ctx, path, &answer); err != nil {
		return 0, nil, errors.Wrapf(err, "watch after revision %d", after)
	}
	changed := make(map[string]int64, len(answer.Changed))
	for _, change := range answer.Changed {
		changed[change.Name] = change.Revision
	}
	return answer.Revision, changed, nil
}

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
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform %s answered %s", p.URL, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(value)
}

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, path string
	// parts is the X-Prompt-Prefix, and tokens the X-Token-Count.
	parts, tokens string
	// adapter is the adapter of the model; "" is the model itself.
	adapter string
	// key is the API key; "" is callerKey.
	key string
	// deadline is how long the caller waits.
	deadline time.Duration
}

// outcome is what a caller got.
type outcome struct {
	status int
	whole  bool
	took   time.Duration
	err    error
}

// served reports whether the caller got a whole success.
func (o outcome) served() bool { return o.status == http.StatusOK && o.whole }

func (o outcome) String() string {
	switch {
	case o.served():
		return fmt.Sprintf("served in %d ms", o.took.Milliseconds())
	case o.whole:
		return fmt.Sprintf("status %d in %d ms", o.status, o.took.Milliseconds())
	}
	return fmt.Sprintf("no whole answer in %d ms: %v", o.took.Milliseconds(), o.err)
}

// send sends a call on a connection of its own.
func send(v *vm, c call) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+v.callers()+c.path, strings.NewReader(""))
	if err != nil {
		return outcome{err: err}
	}
	r.Host, r.Close = callerHost, true
	r.Header.Set("X-Attempt-Id", c.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+cmp.Or(c.key, callerKey))
	if c.parts != "" {
		r.Header.Set("X-Model", strings.TrimSuffix(modelName+"/"+c.adapter, "/"))
		r.Header.Set("X-Token-Count", c.tokens)
		r.Header.Set("X-Prompt-Prefix", c.parts)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return outcome{took: time.Since(began), err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return outcome{status: response.StatusCode, whole: err == nil, took: time.Since(began), err: err}
}

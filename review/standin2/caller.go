package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "desk.example"

// request is a request of a caller.
type request struct {
	method, path, key, model string
	deadline                 time.Duration
}

// answer is what a caller got. A status of 0 means none.
type answer struct {
	id     string
	status int
	body   string
	err    error
}

var requests atomic.Int64

// send sends a request on a connection of its own and reads the answer.
func send(v *vm, c request) answer {
	return sendBy(&http.Transport{DisableKeepAlives: true}, v, c)
}

// sendBy sends a request on a connection of a transport.
func sendBy(t *http.Transport, v *vm, c request) answer {
	out := answer{id: fmt.Sprintf("%016x", requests.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+v.front+c.path, http.NoBody)
	if err != nil {
		out.err = err
		return out
	}
	q.Host = host
	q.Header.Set("X-Attempt-Id", out.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+c.key)
	if c.model != "" {
		q.Header.Set("X-Model", c.model)
		q.Header.Set("X-Token-Count", "600,25")
		q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa:200,%s:400", out.id))
	}
	r, err := t.RoundTrip(q)
	if err != nil {
		out.err = err
		return out
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(r.Body)
	out.status, out.body, out.err = r.StatusCode, strings.TrimSpace(string(raw)), err
	return out
}

// route returns a route of a configuration.
func route(prefix, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "routeType": kind, "timeoutMs": 4000, "targetLatencyMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 2, "authExempt": false, "sticky": false, "canResume": false,
	}
	for name, value := range more {
		out[name] = value
	}
	return out
}

// tenant returns a client account with keys and an ample rate.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{
		"name": name, "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	}
}

// plainService and engineService return services of a configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 490, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["engine"] = map[string]any{
		"slots": 96, "kvCapacity": 182645, "tokenKvBytes": 131072, "linkMbps": 1100000.0, "weightsMb": 16500.0, "adapterSlots": adapterSlots,
		"loadsPerS": 2.8, "models": []any{map[string]any{
			"name": modelName, "weightsMb": 16100.0, "loadS": 0.6, "adapters": adapterCount, "adapterMb": 14.0, "warmS": 0.27, "diskS": 0.35,
		}},
	}
	return s
}

// limits are those of a configuration on the users' sheets.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

package main

import (
	"context"
	"net"
	"net/http"
)

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	largeKey      = "i9n73hh2b9wu3fexd9dn"
	smallKey      = "n2ctnfzs989anu6wsjnb"
)

// configurationVersion is the version of the one configuration.
const configurationVersion = 7

// Paths of routes.
const (
	briefMaker  = "/lohu930/"
	briefClient = "/pufi791/"
	woodNote    = "/wumi940/"
	deposit     = "/puxa403/"
	status      = "/cufi504/"
)

// configuration returns the configuration, with the routes of the sheet of liuteria-commesse and two tenants.
func configuration() map[string]any {
	stream := func(name, prefix string, timeoutMs, aimMs, priority, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "routeType": "streaming", "timeoutMs": timeoutMs, "targetLatencyMs": aimMs,
			"priority": priority, "service": engineService, "maxAttempts": attempts, "authExempt": false, "sticky": true, "canResume": resume,
			"gapAimMs": 400,
		}
	}
	plain := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "routeType": kind, "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2,
			"service": plainService, "maxAttempts": attempts, "authExempt": false,
		}
	}
	tenant := func(name, key string, priority int) map[string]any {
		return map[string]any{
			"name": name, "apiKeys": []string{key}, "priority": priority, "unit": "token_stream", "plainTokens": 200, "ratePerS": 400_000,
			"burst": 400_000,
		}
	}
	return map[string]any{
		"version": configurationVersion,
		"routes": []any{
			stream("r-maker", briefMaker, 5000, 1000, 1, 1, false), stream("r-client", briefClient, 8000, 1000, 1, 2, true),
			stream("r-note", woodNote, 15000, 800, 0, 1, false), plain("r-deposit", deposit, "non_idempotent", 1),
			plain("r-status", status, "idempotent", 2),
		},
		"services": []any{
			map[string]any{
				"name": engineService, "healthCheckPath": "/healthz", "maxConnections": heldConnections, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": engineSlots, "kvCapacity": cacheTokens, "tokenKvBytes": 131072, "linkMbps": 1100000.0, "stride": tokensPerEvent,
					"weightsMb": 16500.0, "adapterSlots": adapterSlots, "loadsPerS": 2.8,
					"models": []any{map[string]any{"name": modelName, "weightsMb": 16100.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 14.0}},
				},
			},
			map[string]any{"name": plainService, "healthCheckPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant("large", largeKey, 0), tenant("small", smallKey, 1)},
	}
}

// serve serves a handler on a free loopback port until ctx ends.
func serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

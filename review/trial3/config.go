package main

import "cmp"

// Names in the configuration of a trial.
const (
	callerHost   = "texts.example"
	textService  = "texts"
	modelName    = "m0"
	callerKey    = "key-of-school"
	fineKey      = "key-of-studio"
	engineSlots  = 96
	cacheTokens  = 182645
	contactLimit = 3000
)

// configure publishes the configuration: one route, one service and two client accounts.
func (t *trial) configure(timeoutMs int) {
	t.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-text", "host": callerHost, "prefix": "/text/", "routeType": "streaming", "timeoutMs": timeoutMs,
				"targetLatencyMs": 1000, "priority": 1, "service": textService, "maxAttempts": 1, "authExempt": false,
				"sticky": true, "canResume": false, "gapAimMs": 400,
			},
		},
		"services": []any{
			map[string]any{
				"name": textService, "healthCheckPath": "/healthz", "maxConnections": 490, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": cmp.Or(t.engineSlots, engineSlots), "kvCapacity": cacheTokens, "tokenKvBytes": 131072, "linkMbps": 1100000.0, "stride": 5,
					"models": []any{map[string]any{
						"name": modelName, "weightsMb": 16100.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 14.0,
					}},
					"weightsMb": 16500.0, "adapterSlots": 8, "loadsPerS": 2.8,
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{account("school", callerKey), account("studio", fineKey)},
	})
}

// account returns a client account with the quota of a small deployment.
func account(name, key string) map[string]any {
	return map[string]any{
		"name": name, "apiKeys": []string{key}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 118620, "burst": 118620,
	}
}

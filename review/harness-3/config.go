package main

import (
	"encoding/json"
	"fmt"
)

// routeConfig is a route of a configuration.
type routeConfig struct {
	host, prefix, kind, service string
	timeoutMs, priority         int
}

// tenantConfig is a tenant of a configuration.
type tenantConfig struct {
	name  string
	keys  []string
	rate  float64
	burst int
}

// configuration is a whole configuration, as the operator sends it.
type configuration struct {
	services []string
	routes   []routeConfig
	tenants  []tenantConfig
	coldS    float64
	warmup   float64
}

func (c *configuration) encode(version, base int) []byte {
	var services, hosts, tenants []any
	for _, s := range c.services {
		services = append(services, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": c.coldS, "warmupPerS": c.warmup})
	}
	byHost := map[string][]any{}
	var order []string
	for i, r := range c.routes {
		if byHost[r.host] == nil {
			order = append(order, r.host)
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "aimMs": r.timeoutMs / 2,
			"priority": r.priority, "service": r.service, "maxAttempts": 2, "public": false,
		})
	}
	for _, h := range order {
		hosts = append(hosts, map[string]any{"host": h, "paths": byHost[h]})
	}
	for _, t := range c.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base), "services": services, "hosts": hosts, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}

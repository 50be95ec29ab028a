package stand2

import (
	"encoding/json"
	"fmt"
)

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"path-prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout-ms"`
	ObjectiveMs int    `json:"objective-latency-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
	Anonymous   bool   `json:"allow-anonymous"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api-keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate-per-s"`
	Burst    float64  `json:"burst"`
}

// configHost is the host of all routes.
const configHost = "hulo84.example"

// configuration returns the value of op/config.
func configuration(version int, services []string, routes []route, tenants []tenant) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-check-path": "/health", "max-connections": 330, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list, "tenants": tenants,
		"limits":        map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"virtual-hosts": []map[string]any{{"host": configHost, "path-routes": routes}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

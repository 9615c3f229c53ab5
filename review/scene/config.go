package main

// route is a route of a config.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs           int
	attempts                    int
	sticky, resumable           bool
}

// config returns a config as the operator writes it. model tells which services are of model
// engines.
func config(version int, host string, routes []route, services, tenants []string, model bool) map[string]any {
	var rows, list, served []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "type": r.kind, "timeoutMs": r.timeoutMs, "goalMs": r.goalMs, "gapGoalMs": 300, "priority": 2,
			"service": r.service, "attempts": r.attempts, "public": false, "sticky": r.sticky, "resumable": r.resumable,
		})
	}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t, "apiKeys": []string{keyOf(t)}})
	}
	for _, s := range services {
		service := map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false}
		if model {
			service["engine"] = map[string]any{"capacity": 64, "kvCapacity": 363122, "kvBytes": 327680, "linkMbps": 370000, "moves": true, "backups": true, "stride": 3}
		}
		served = append(served, service)
	}
	return map[string]any{
		"version": version, "routes": rows, "services": served, "tenants": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// keyOf returns the key of a tenant.
func keyOf(tenant string) string { return "key-" + tenant }

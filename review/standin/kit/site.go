package kit

import (
	"encoding/json"
	"fmt"
	"time"
)

// SettingsJSON is the settings object of the small deployment: the example of WIRE, without messages between sidecars.
const SettingsJSON = `{"classes": [
  {"effect": "read_like", "group": "all", "hard_limit_ms": 2000.0, "late_worth": 0.0, "name": "next-pick", "on_time_ms": 400.0, "stream": false, "window_ms": 5000.0, "worth": 5.0},
  {"effect": "read_like", "group": "all", "hard_limit_ms": 1500.0, "late_worth": 0.0, "name": "bin-lookup", "on_time_ms": 600.0, "stream": false, "window_ms": 5000.0, "worth": 5.0},
  {"effect": "non_idempotent", "group": "all", "hard_limit_ms": 2500.0, "late_worth": 0.0, "name": "confirm-pick", "on_time_ms": 750.0, "stream": false, "window_ms": 5000.0, "worth": 2.0},
  {"effect": "idempotency_key", "group": "zone", "hard_limit_ms": 2000.0, "late_worth": 0.0, "name": "close-tote", "on_time_ms": 750.0, "stream": false, "window_ms": 1200.0, "worth": 2.0}],
 "clients": {"marks_retry": true}, "discovery": "subscribe", "family_info": {"warm_keys": true},
 "kinds": ["new-fast", "new-std", "old-box"],
 "limits": {"cancel": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 16000, "max_attempts": 6, "max_retry_after_ms": 1200.0, "may_tell": false, "open_cap": 40000, "parallel_tries": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
 "my_number": 0, "over_share_worth": 0.2, "peers_total": 2,
 "penalties": {"connection": 0.0, "cross_zone": 0.016, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.057, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.05, "waste": 0.3},
 "quantum_ms": 5.0, "report": {"fields": ["busy", "rif"], "via": "pull"},
 "result_mix": {"whole": 0.45, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.35},
 "rules": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.12, "cold_ms": 23000.0, "drain_grace_ms": 1500.0, "fall_ms": 2000.0, "fall_multiple": 2.5},
 "service_type": "mesh",
 "tenants": [{"allowance_per_s": 113.0, "name": "tisza-haz", "share": 0.49}, {"allowance_per_s": 87.0, "name": "kertfa", "share": 0.38}, {"allowance_per_s": 30.0, "name": "balogh-papir", "share": 0.13}],
 "tier": 0, "tiers": ["pick-api"], "value_by": "request", "weights": "nominal", "zone": 0,
 "zones": ["hall-a", "hall-b", "hall-c"]}`

// CensusJSON is the settings object of the other deployment, wetland-census, without messages between sidecars.
const CensusJSON = `{"classes": [
  {"effect": "read_like", "group": "all", "hard_limit_ms": 2000.0, "late_worth": 0.0, "name": "tally-read", "on_time_ms": 600.0, "stream": false, "window_ms": 5000.0, "worth": 3.0},
  {"effect": "idempotency_key", "group": "all", "hard_limit_ms": 4000.0, "late_worth": 0.0, "name": "sheet-submit", "on_time_ms": 1000.0, "stream": false, "window_ms": 4000.0, "worth": 8.0},
  {"effect": "non_idempotent", "group": "all", "hard_limit_ms": 6000.0, "late_worth": 0.0, "name": "day-close", "on_time_ms": 1200.0, "stream": false, "window_ms": 5000.0, "worth": 3.0}],
 "clients": {"marks_retry": false}, "discovery": "subscribe",
 "kinds": ["fast-single", "std-single", "slow-dual"],
 "limits": {"cancel": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 40000, "max_attempts": 5, "max_retry_after_ms": 2000.0, "may_tell": false, "open_cap": 40000, "parallel_tries": true, "probes": true, "retry_after": true, "streams_per_conn": 1},
 "my_number": 0, "peers_total": 2,
 "penalties": {"connection": 0.0, "cross_zone": 0.22, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.05},
 "quantum_ms": 5.0, "report": {"fields": [], "via": "silent"},
 "result_mix": {"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.2},
 "rules": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.31, "cold_ms": 8800.0, "drain_grace_ms": 500.0, "fall_ms": 2000.0, "fall_multiple": 3.0},
 "service_type": "mesh", "tenants": [], "tier": 0, "tiers": ["census-pool"], "value_by": "request", "weights": "nominal", "zone": 0,
 "zones": ["hall-d", "hall-e", "hall-f"]}`

// Settings returns the settings object of the sidecar with the given number.
func Settings(number, total int) map[string]any { return parseSettings(SettingsJSON, number, total) }

// CensusSettings returns the settings object of the sidecar with the given number in the other deployment.
func CensusSettings(number, total int) map[string]any {
	return parseSettings(CensusJSON, number, total)
}

func parseSettings(raw string, number, total int) map[string]any {
	var s map[string]any
	if err := json.Unmarshal([]byte(raw), &s); err != nil {
		panic(err)
	}
	s["my_number"], s["peers_total"] = number, total
	return s
}

// Config returns the configuration of a sidecar without its listen address.
func Config(name, discovery, seed string, known List, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "discovery": discovery, "seed": seed, "known": known, "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
	}
}

// Zones are the zones of the small deployment.
var Zones = []string{"hall-a", "hall-b", "hall-c"}

// PickServers starts n pick servers and returns them with their entries in the list. Their service times are those of
// an unloaded machine, well under the wanted times.
func PickServers(n int, registry *Registry, record *Record) ([]*PickServer, []Instance, error) {
	var servers []*PickServer
	var instances []Instance
	for i := range n {
		p := &PickServer{
			Name: fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x1f3d), Registry: registry, Record: record,
			Service: func(string) time.Duration { return 20 * time.Millisecond },
		}
		if err := p.Start(); err != nil {
			return nil, nil, err
		}
		servers = append(servers, p)
		instances = append(instances, Instance{
			ID: p.Name, HostPort: p.Addr, Zone: Zones[i%3], MachineType: "new-std", Cell: i % 3, Lifecycle: "up", Weight: 1,
		})
	}
	return servers, instances, nil
}

// mix holds the classes in the shares of the site: 28, 27, 26 and 19 of 100.
var mix = classMix(28, 27, 26, 19)

// classMix spreads the classes evenly, each with its share of 100.
func classMix(shares ...int) []int {
	var out []int
	due := make([]int, len(shares))
	for range 100 {
		best := 0
		for i, share := range shares {
			due[i] += share
			if due[i] > due[best] {
				best = i
			}
		}
		due[best] -= 100
		out = append(out, best)
	}
	return out
}

// Traffic returns the n-th request of the site's usual mix of classes.
func Traffic(n int) Request {
	r := Request{ID: NewID(), Tenant: "tisza-haz", Sid: fmt.Sprintf("%016x", 0x7f3a9c21e0b4d655+uint64(n%1200)), Method: "POST"}
	switch mix[n%len(mix)] {
	case 0:
		r.Class, r.Method, r.Expires = "next-pick", "GET", 2000*time.Millisecond
	case 1:
		r.Class, r.Method, r.Expires = "bin-lookup", "GET", 1500*time.Millisecond
	case 2:
		r.Class, r.Expires, r.Body = "confirm-pick", 2500*time.Millisecond, "stock -1"
	default:
		r.Class, r.Expires, r.Body, r.Key = "close-tote", 2000*time.Millisecond, "tote", "key-"+r.ID
	}
	return r
}

// censusMix holds the classes of the other deployment: 47, 34 and 19 of 100.
var censusMix = classMix(47, 34, 19)

// CensusTraffic returns the n-th request of the usual mix of classes of the other deployment. A request waits as long as
// its class allows. All requests with a body have the given one.
func CensusTraffic(n int, body string) Request {
	r := Request{ID: NewID(), Sid: fmt.Sprintf("%016x", 0x7f3a9c21e0b4d655+uint64(n%600)), Method: "POST"}
	switch censusMix[n%len(censusMix)] {
	case 0:
		r.Class, r.Method, r.Expires = "tally-read", "GET", 2000*time.Millisecond
	case 1:
		r.Class, r.Expires, r.Key = "sheet-submit", 4000*time.Millisecond, "key-"+r.ID
	default:
		r.Class, r.Expires = "day-close", 6000*time.Millisecond
	}
	if r.Method == "POST" {
		r.Body = body
	}
	return r
}

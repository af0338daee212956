package settings

import (
	"fmt"
	"testing"

	"pebblelift/balance"
)

// ParseConfig converts the settings object to a balancer configuration. It ignores unknown keys, sets defaults for
// omitted ones and rejects invalid values.
func TestParseConfig(t *testing.T) {
	cfg, err := ParseConfig(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"clients": {"marks_retry": true},
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000},
		"result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 9 || !cfg.Subscribe || cfg.PeerIndex != 2 || cfg.PeerCount != 5 || !cfg.Hedging ||
		!cfg.HealthChecks || !cfg.ClientsMarkRetries || cfg.CancelAttempts || cfg.MaxAttempts != 4 ||
		cfg.SlowStartFraction != 0.2 || cfg.Tenants[0].QuotaShare != 0.4 {
		t.Errorf("unexpected configuration %+v", cfg)
	}
	wantGoal := balance.Goal{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}
	if cfg.Goal != wantGoal {
		t.Errorf("goal %+v, want %+v", cfg.Goal, wantGoal)
	}
	if cfg.LocalAgent {
		t.Error("LocalAgent is set, want it unset: the simulator has no local agent")
	}
	wantPenalties := balance.Penalties{
		CrossZone: 1, Waste: 2, Handshake: 3, HealthCheck: 4, Gossip: 5, LateFailure: 6,
	}
	if cfg.Penalties != wantPenalties {
		t.Errorf("penalties %+v, want %+v", cfg.Penalties, wantPenalties)
	}
	second := cfg.Classes[1]
	if second.Idempotency != balance.IdempotentWithKey || second.DedupScope != balance.DedupCell ||
		second.LatencyObjective != 600 || second.PriorityWeight != 1 {
		t.Errorf("class with omitted keys: %+v", second)
	}
	if cfg.ReportSource != balance.ReportHealthCheck || len(cfg.ReportFields) != 3 ||
		cfg.ReportFields[1] != balance.FieldUnknown {
		t.Errorf("load reports: source %v, fields %v", cfg.ReportSource, cfg.ReportFields)
	}
	for _, invalid := range []string{
		``,
		`[]`,
		`{}`,
		`{"classes": []}`,
		`{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := ParseConfig(1, []byte(invalid)); err == nil {
			t.Errorf("no error for %s", invalid)
		}
	}
}

// Parse always subscribes to discovery. If the settings say that the endpoint list is pushed, the sidecar watches its
// local agent. ParseConfig, for the simulator, subscribes only if the settings say so.
func TestParseAlwaysSubscribes(t *testing.T) {
	for discovery, localAgent := range map[string]bool{"": true, "automatic": true, "subscribe": false} {
		raw := []byte(`{"classes": [{"effect": "read_like", "hard_limit_ms": 1500}], "discovery": "` + discovery + `"}`)
		s, err := Parse(9, raw)
		if err != nil || !s.Balancer.Subscribe || s.Balancer.LocalAgent != localAgent {
			t.Errorf("Parse with discovery %q: %+v, error %v", discovery, s.Balancer, err)
		}
		cfg, err := ParseConfig(9, raw)
		if err != nil || cfg.Subscribe == localAgent || cfg.LocalAgent {
			t.Errorf("ParseConfig with discovery %q: %+v, error %v", discovery, cfg, err)
		}
	}
}

// ParseConfig either rejects a settings object with an error or returns a configuration with which a balancer can
// start and handle a first request.
func FuzzParseConfig(f *testing.F) {
	for _, raw := range []string{
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1500}]}`,
		`{"classes": [{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": -7}], "my_number": -3,
			"peers_total": -1, "limits": {"max_attempts": -2}, "rules": {"cold_from": 1e300, "fall_ms": -1}}`,
		`{"classes": [{"effect": "non_idempotent", "hard_limit_ms": 1e308, "on_time_ms": 1e-308}], "tenants": [{"share": -1}],
			"report": {"via": "pull", "fields": ["rif", "new"]}, "penalties": {"probe": -1, "cross_zone": 1e308}}`,
		`{"classes": []}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		cfg, err := ParseConfig(1, raw)
		if err != nil {
			return
		}
		if len(cfg.Classes) == 0 {
			t.Fatal("got a configuration without classes, want an error")
		}
		b := balance.New(cfg)
		b.Start(10)
		update := balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: 1, NominalCapacity: 1}}}
		if _, err := b.Handle(10, update); err != nil {
			t.Fatal(err)
		}
		actions, err := b.Handle(20, balance.Request{ID: 1, Timeout: 100})
		if err != nil || len(actions) == 0 {
			t.Fatalf("first request: error %v, actions %+v, want at least one action", err, actions)
		}
		for _, action := range actions {
			if !(action.Delay >= 0) {
				t.Fatalf("invalid delay: %+v", action)
			}
		}
	})
}

// Parse returns the names of the values that the balancer's configuration refers to by position. It also returns the
// time after which endpoints close idle connections, so that the sidecar does not reuse connections after that time.
func TestParseKeepsNames(t *testing.T) {
	s, err := Parse(9, []byte(`{"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 300}],
		"tenants": [{"name": "acme"}], "zones": ["a", "b"], "kinds": ["m1"],
		"report": {"via": "piggyback", "fields": ["busy", "new"]}, "limits": {"conn_idle_ms": 700}}`))
	if err != nil {
		t.Fatal(err)
	}
	const want = "[[look] [acme] [a b] [m1] [busy new]]"
	names := fmt.Sprint([][]string{s.Classes, s.Tenants, s.Zones, s.MachineTypes, s.ReportFields})
	if names != want || s.ConnIdleTimeout != 700 || s.Balancer.Seed != 9 {
		t.Errorf("names %s, idle timeout %v, seed %d, want %s, 700 and 9",
			names, s.ConnIdleTimeout, s.Balancer.Seed, want)
	}
}

package settings

import (
	"fmt"
	"testing"

	"pebblelift/balance"
)

func TestParseConfig(t *testing.T) {
	cfg, err := ParseConfig(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5, "clients": {"marks_retry": true},
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000}, "result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 9 || !cfg.Subscribe || cfg.PeerIndex != 2 || cfg.PeerCount != 5 || !cfg.Hedging || !cfg.HealthChecks ||
		!cfg.ClientsMarkRetries || cfg.CancelAttempts || cfg.MaxAttempts != 4 || cfg.SlowStartFraction != 0.2 || cfg.Tenants[0].QuotaShare != 0.4 {
		t.Errorf("%+v", cfg)
	}
	if want := (balance.Goal{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}); cfg.Goal != want {
		t.Errorf("goal %+v", cfg.Goal)
	}
	if cfg.LocalAgent {
		t.Error("the simulator's discovery is no agent")
	}
	want := balance.Penalties{CrossZone: 1, Waste: 2, Handshake: 3, HealthCheck: 4, Gossip: 5, LateFailure: 6}
	if cfg.Penalties != want {
		t.Errorf("prices %+v", cfg.Penalties)
	}
	second := cfg.Classes[1]
	if second.Idempotency != balance.IdempotentWithKey || second.DedupScope != balance.DedupCell || second.LatencyObjective != 600 || second.PriorityWeight != 1 {
		t.Errorf("a class with keys left out: %+v", second)
	}
	if cfg.ReportSource != balance.ReportHealthCheck || len(cfg.ReportFields) != 3 || cfg.ReportFields[1] != balance.FieldUnknown {
		t.Errorf("reports %v %v", cfg.ReportSource, cfg.ReportFields)
	}
	for _, bad := range []string{
		``, `[]`, `{}`, `{"classes": []}`, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`, `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := ParseConfig(1, []byte(bad)); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}

// On sockets news comes on a watch only, also where the settings say that lists come by themselves.
func TestParseAlwaysSubscribes(t *testing.T) {
	for discovery, agent := range map[string]bool{"": true, "automatic": true, "subscribe": false} {
		settings := []byte(`{"classes": [{"effect": "read_like", "hard_limit_ms": 1500}], "discovery": "` + discovery + `"}`)
		p, err := Parse(9, settings)
		if err != nil || !p.Balancer.Subscribe || p.Balancer.LocalAgent != agent {
			t.Errorf("%q on sockets: %+v, %v", discovery, p.Balancer, err)
		}
		if cfg, err := ParseConfig(9, settings); err != nil || cfg.Subscribe == agent || cfg.LocalAgent {
			t.Errorf("%q on the simulator's wire: %+v, %v", discovery, cfg, err)
		}
	}
}

// Whatever the profile, it is an error or gives settings that a balancer can start with.
func FuzzParseConfig(f *testing.F) {
	for _, profile := range []string{
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1500}]}`,
		`{"classes": [{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": -7}], "my_number": -3,
			"peers_total": -1, "limits": {"max_attempts": -2}, "rules": {"cold_from": 1e300, "fall_ms": -1}}`,
		`{"classes": [{"effect": "non_idempotent", "hard_limit_ms": 1e308, "on_time_ms": 1e-308}], "tenants": [{"share": -1}],
			"report": {"via": "pull", "fields": ["rif", "new"]}, "penalties": {"probe": -1, "cross_zone": 1e308}}`,
		`{"classes": []}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(profile))
	}
	f.Fuzz(func(t *testing.T, profile []byte) {
		cfg, err := ParseConfig(1, profile)
		if err != nil {
			return
		}
		if len(cfg.Classes) == 0 {
			t.Fatal("settings without a class and without an error")
		}
		b := balance.New(cfg)
		b.Start(10)
		if _, err := b.Handle(10, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: 1, NominalCapacity: 1}}}); err != nil {
			t.Fatal(err)
		}
		acts, err := b.Handle(20, balance.Request{ID: 1, Timeout: 100})
		if err != nil || len(acts) == 0 {
			t.Fatalf("a first request: %v, %+v", err, acts)
		}
		for _, a := range acts {
			if !(a.Delay >= 0) {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// A sidecar on sockets meets the names behind the positions, and must not keep connections longer than servers do.
func TestParseKeepsNames(t *testing.T) {
	p, err := Parse(9, []byte(`{"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 300}],
		"tenants": [{"name": "acme"}], "zones": ["a", "b"], "kinds": ["m1"], "report": {"via": "piggyback", "fields": ["busy", "new"]},
		"limits": {"conn_idle_ms": 700}}`))
	if err != nil {
		t.Fatal(err)
	}
	names := [][]string{p.Classes, p.Tenants, p.Zones, p.MachineTypes, p.ReportFields}
	if got := fmt.Sprint(names); got != "[[look] [acme] [a b] [m1] [busy new]]" || p.ConnIdleTimeout != 700 || p.Balancer.Seed != 9 {
		t.Errorf("%s, idle %v, seed %d", got, p.ConnIdleTimeout, p.Balancer.Seed)
	}
}

// Package settings reads the settings object that both programs are configured with.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"pebblelift/balance"
)

// document mirrors the settings object; keys that are not here are skipped.
type document struct {
	Classes []struct {
		Name       string   `json:"name"`
		Effect     string   `json:"effect"`
		Group      string   `json:"group"`
		Window     *float64 `json:"window_ms"`
		Aim        float64  `json:"on_time_ms"`
		AimStretch float64  `json:"aim_stretch"`
		Deadline   float64  `json:"hard_limit_ms"`
		Worth      *float64 `json:"worth"`
		LateWorth  float64  `json:"late_worth"`
		Stream     bool     `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	Zones     []string `json:"zones"`
	Kinds     []string `json:"kinds"`
	Discovery string   `json:"discovery"`
	Me        int      `json:"my_number"`
	Peers     int      `json:"peers_total"`
	Zone      int      `json:"zone"`
	OverShare *float64 `json:"over_share_worth"`
	Quantum   float64  `json:"quantum_ms"`
	Report    struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       float64 `json:"conn_idle_ms"`
		ConnectTimeout float64 `json:"connect_timeout_ms"`
		MaxAttempts    *int    `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after_ms"`
		MayTell        bool    `json:"may_tell"`
		Parallel       bool    `json:"parallel_tries"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"limits"`
	Rules struct {
		AnswerSlack  float64  `json:"answer_slack_ms"`
		AskWithin    float64  `json:"ask_within_ms"`
		ColdFrom     *float64 `json:"cold_from"`
		ColdTime     float64  `json:"cold_ms"`
		DrainGrace   float64  `json:"drain_grace_ms"`
		FallTime     float64  `json:"fall_ms"`
		FallMultiple float64  `json:"fall_multiple"`
	} `json:"rules"`
	Goal struct { // has the fields of balance.Goal, to which it converts; so does Penalties
		Overall     float64 `json:"whole"`
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"result_mix"`
	Penalties struct {
		CrossZone   float64 `json:"cross_zone"`
		Waste       float64 `json:"waste"`
		Handshake   float64 `json:"handshake"`
		HealthCheck float64 `json:"probe"`
		Gossip      float64 `json:"peer"`
		LateFailure float64 `json:"late_fail"`
	} `json:"penalties"`
}

var idempotencyNames = map[string]balance.Idempotency{
	"read_like": balance.Idempotent, "idempotency_key": balance.IdempotentWithKey, "non_idempotent": balance.NonIdempotent,
}

var dedupScopeNames = map[string]balance.DedupScope{
	"": balance.DedupAll, "all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupCell,
}

var reportSourceNames = map[string]balance.ReportSource{
	"": balance.ReportNone, "silent": balance.ReportNone,
	"piggyback": balance.ReportPiggyback, "pull": balance.ReportHealthCheck,
}

var reportFieldNames = map[string]balance.ReportField{
	"rif": balance.FieldInFlight, "q": balance.FieldQueue, "busy": balance.FieldUtil,
	"lat_ms": balance.FieldLatency, "rate": balance.FieldRate, "fail_rate": balance.FieldErrorRate,
}

// Profile is the settings in full: what the module is told, and what only sockets need: the names that
// stand for positions there, and how long servers keep an idle connection (0: not told).
type Settings struct {
	Balancer                                            balance.Config
	Classes, Tenants, Zones, MachineTypes, ReportFields []string
	ConnIdleTimeout                                     float64
}

// ParseProfile reads the settings for a sidecar on sockets.
func Parse(seed uint64, profile []byte) (Settings, error) {
	s, err := parseDocument(profile)
	if err != nil {
		return Settings{}, err
	}
	cfg, err := s.balancerConfig(seed)
	// On sockets all news comes on a watch. Where lists are pushed, it is a watch of the sidecar's own agent.
	cfg.Subscribe, cfg.LocalAgent = true, !cfg.Subscribe
	p := Settings{Balancer: cfg, Zones: s.Zones, MachineTypes: s.Kinds, ReportFields: s.Report.Fields, ConnIdleTimeout: s.Limits.ConnIdle}
	for i := range s.Classes {
		p.Classes = append(p.Classes, s.Classes[i].Name)
	}
	for i := range s.Tenants {
		p.Tenants = append(p.Tenants, s.Tenants[i].Name)
	}
	return p, err
}

// ParseSettings turns the profile of a Begin into a Config.
func ParseConfig(seed uint64, profile []byte) (balance.Config, error) {
	s, err := parseDocument(profile)
	if err != nil {
		return balance.Config{}, err
	}
	return s.balancerConfig(seed)
}

func parseDocument(profile []byte) (s document, err error) {
	if err := json.Unmarshal(profile, &s); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func (s *document) balancerConfig(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed: seed, PeerIndex: s.Me, PeerCount: max(s.Peers, 1), Zone: s.Zone,
		OverQuotaWeight: orDefault(s.OverShare, 1), BatchInterval: s.Quantum,
		Hedging: s.Limits.Parallel, CancelAttempts: s.Limits.Cancel, HealthChecks: s.Limits.Probes,
		Gossip: s.Limits.MayTell, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: s.Limits.MaxRetryAfter, ConnectTimeout: s.Limits.ConnectTimeout,
		ClientsMarkRetries: s.Clients.MarksRetry, MaxAttempts: orDefault(s.Limits.MaxAttempts, 1),
		DrainGrace: s.Rules.DrainGrace, SlowStartFraction: orDefault(s.Rules.ColdFrom, 1), SlowStartDuration: s.Rules.ColdTime,
		OverloadFactor: s.Rules.FallMultiple, OverloadWindow: s.Rules.FallTime,
		PollInterval: s.Rules.AskWithin, ResponseSlack: s.Rules.AnswerSlack,
		Goal:      balance.Goal(s.Goal),
		Penalties: balance.Penalties(s.Penalties),
	}
	switch s.Discovery {
	case "", "automatic":
	case "subscribe":
		cfg.Subscribe = true
	default:
		return cfg, fmt.Errorf("settings: unknown discovery %q", s.Discovery)
	}
	var ok bool
	if cfg.ReportSource, ok = reportSourceNames[s.Report.Via]; !ok {
		return cfg, fmt.Errorf("settings: unknown report.via %q", s.Report.Via)
	}
	for _, name := range s.Report.Fields {
		cfg.ReportFields = append(cfg.ReportFields, reportFieldNames[name])
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaRate: t.Allowance, QuotaShare: t.Share})
	}
	return cfg, s.addClasses(&cfg)
}

func (s *document) addClasses(cfg *balance.Config) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	for i, c := range s.Classes {
		effect, ok := idempotencyNames[c.Effect]
		if !ok {
			return fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		group, ok := dedupScopeNames[c.Group]
		if !ok {
			return fmt.Errorf("settings: class %d: unknown group %q", i, c.Group)
		}
		if !(c.Deadline > 0) || c.Aim < 0 {
			return fmt.Errorf("settings: class %d: aim %v ms, deadline %v ms", i, c.Aim, c.Deadline)
		}
		aim := c.Aim
		if aim == 0 {
			aim = c.Deadline
		}
		cfg.Classes = append(cfg.Classes, balance.Class{
			Idempotency: effect, DedupScope: group, DedupWindow: orDefault(c.Window, math.Inf(1)), LatencyObjective: aim, ObjectivePerWork: c.AimStretch,
			Deadline: c.Deadline, PriorityWeight: orDefault(c.Worth, 1), LateWeight: c.LateWorth, Stream: c.Stream,
		})
	}
	return nil
}

func orDefault[T any](v *T, otherwise T) T {
	if v == nil {
		return otherwise
	}
	return *v
}

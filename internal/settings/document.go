package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"pebblelift/balance"
)

// document mirrors the settings object under the names of its keys; keys that are not here are skipped.
type document struct {
	Classes   []classDocument  `json:"classes"`
	Tenants   []tenantDocument `json:"tenants"`
	Zones     []string         `json:"zones"`
	Kinds     []string         `json:"kinds"`
	Discovery string           `json:"discovery"`
	MyNumber  int              `json:"my_number"`
	Peers     int              `json:"peers_total"`
	Zone      int              `json:"zone"`
	OverShare *float64         `json:"over_share_worth"`
	Quantum   float64          `json:"quantum_ms"`
	Report    struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Limits    limitsDocument    `json:"limits"`
	Rules     rulesDocument     `json:"rules"`
	Goal      goalDocument      `json:"result_mix"`
	Penalties penaltiesDocument `json:"penalties"`
}

type classDocument struct {
	Name       string   `json:"name"`
	Effect     string   `json:"effect"`
	Group      string   `json:"group"`
	Window     *float64 `json:"window_ms"`
	OnTime     float64  `json:"on_time_ms"`
	AimStretch float64  `json:"aim_stretch"`
	HardLimit  float64  `json:"hard_limit_ms"`
	Worth      *float64 `json:"worth"`
	LateWorth  float64  `json:"late_worth"`
	Stream     bool     `json:"stream"`
}

type tenantDocument struct {
	Name      string  `json:"name"`
	Allowance float64 `json:"allowance_per_s"`
	Share     float64 `json:"share"`
}

type limitsDocument struct {
	Cancel         bool    `json:"cancel"`
	ConnIdle       float64 `json:"conn_idle_ms"`
	ConnectTimeout float64 `json:"connect_timeout_ms"`
	MaxAttempts    *int    `json:"max_attempts"`
	MaxRetryAfter  float64 `json:"max_retry_after_ms"`
	MayTell        bool    `json:"may_tell"`
	ParallelTries  bool    `json:"parallel_tries"`
	Probes         bool    `json:"probes"`
	RetryAfter     bool    `json:"retry_after"`
}

type rulesDocument struct {
	AnswerSlack  float64  `json:"answer_slack_ms"`
	AskWithin    float64  `json:"ask_within_ms"`
	ColdFrom     *float64 `json:"cold_from"`
	Cold         float64  `json:"cold_ms"`
	DrainGrace   float64  `json:"drain_grace_ms"`
	Fall         float64  `json:"fall_ms"`
	FallMultiple float64  `json:"fall_multiple"`
}

// goalDocument has the fields of balance.Goal, to which it converts.
type goalDocument struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
}

// penaltiesDocument has the fields of balance.Penalties, to which it converts.
type penaltiesDocument struct {
	CrossZone   float64 `json:"cross_zone"`
	Waste       float64 `json:"waste"`
	Handshake   float64 `json:"handshake"`
	HealthCheck float64 `json:"probe"`
	Gossip      float64 `json:"peer"`
	LateFailure float64 `json:"late_fail"`
}

var idempotencyNames = map[string]balance.Idempotency{
	"read_like":       balance.Idempotent,
	"idempotency_key": balance.IdempotentWithKey,
	"non_idempotent":  balance.NonIdempotent,
}

var dedupScopeNames = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"cell": balance.DedupCell,
}

var reportSourceNames = map[string]balance.ReportSource{
	"":          balance.ReportNone,
	"silent":    balance.ReportNone,
	"piggyback": balance.ReportPiggyback,
	"pull":      balance.ReportHealthCheck,
}

// reportFieldNames lacks names that may come in later; they are balance.FieldUnknown.
var reportFieldNames = map[string]balance.ReportField{
	"rif":       balance.FieldInFlight,
	"q":         balance.FieldQueue,
	"busy":      balance.FieldUtil,
	"lat_ms":    balance.FieldLatency,
	"rate":      balance.FieldRate,
	"fail_rate": balance.FieldErrorRate,
}

// subscribeNames maps the values of "discovery" to whether the endpoint list must be polled.
var subscribeNames = map[string]bool{"": false, "automatic": false, "subscribe": true}

func parseDocument(raw []byte) (d document, err error) {
	if err := json.Unmarshal(raw, &d); err != nil {
		return d, fmt.Errorf("settings: %w", err)
	}
	return d, nil
}

func (d *document) balancerConfig(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed:               seed,
		PeerIndex:          d.MyNumber,
		PeerCount:          max(d.Peers, 1),
		Zone:               d.Zone,
		OverQuotaWeight:    orDefault(d.OverShare, 1),
		BatchInterval:      d.Quantum,
		ClientsMarkRetries: d.Clients.MarksRetry,
		Goal:               balance.Goal(d.Goal),
		Penalties:          balance.Penalties(d.Penalties),
	}
	d.Limits.apply(&cfg)
	d.Rules.apply(&cfg)
	for _, t := range d.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaRate: t.Allowance, QuotaShare: t.Share})
	}
	if err := d.applySources(&cfg); err != nil {
		return cfg, err
	}
	return cfg, d.applyClasses(&cfg)
}

func (l *limitsDocument) apply(cfg *balance.Config) {
	cfg.MaxAttempts = orDefault(l.MaxAttempts, 1)
	cfg.Hedging = l.ParallelTries
	cfg.CancelAttempts = l.Cancel
	cfg.HealthChecks = l.Probes
	cfg.Gossip = l.MayTell
	cfg.RetryAfter = l.RetryAfter
	cfg.MaxRetryAfter = l.MaxRetryAfter
	cfg.ConnectTimeout = l.ConnectTimeout
}

func (r *rulesDocument) apply(cfg *balance.Config) {
	cfg.DrainGrace = r.DrainGrace
	cfg.SlowStartFraction = orDefault(r.ColdFrom, 1)
	cfg.SlowStartDuration = r.Cold
	cfg.OverloadFactor = r.FallMultiple
	cfg.OverloadWindow = r.Fall
	cfg.PollInterval = r.AskWithin
	cfg.ResponseSlack = r.AnswerSlack
}

// applySources sets where the endpoint list and load reports come from.
func (d *document) applySources(cfg *balance.Config) error {
	var known bool
	if cfg.Subscribe, known = subscribeNames[d.Discovery]; !known {
		return invalid("discovery", d.Discovery)
	}
	if cfg.ReportSource, known = reportSourceNames[d.Report.Via]; !known {
		return invalid("report.via", d.Report.Via)
	}
	for _, name := range d.Report.Fields {
		cfg.ReportFields = append(cfg.ReportFields, reportFieldNames[name])
	}
	return nil
}

func (d *document) applyClasses(cfg *balance.Config) error {
	if len(d.Classes) == 0 {
		return ErrNoClasses
	}
	for i := range d.Classes {
		class, err := d.Classes[i].balancerClass()
		if err != nil {
			return fmt.Errorf("class %d: %w", i, err)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	return nil
}

func (c *classDocument) balancerClass() (balance.Class, error) {
	idempotency, known := idempotencyNames[c.Effect]
	if !known {
		return balance.Class{}, invalid("effect", c.Effect)
	}
	scope, known := dedupScopeNames[c.Group]
	if !known {
		return balance.Class{}, invalid("group", c.Group)
	}
	if !(c.HardLimit > 0) {
		return balance.Class{}, invalid("hard_limit_ms", c.HardLimit)
	}
	if c.OnTime < 0 {
		return balance.Class{}, invalid("on_time_ms", c.OnTime)
	}
	objective := c.OnTime
	if objective == 0 {
		objective = c.HardLimit
	}
	return balance.Class{
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      orDefault(c.Window, math.Inf(1)),
		LatencyObjective: objective,
		ObjectivePerWork: c.AimStretch,
		Deadline:         c.HardLimit,
		PriorityWeight:   orDefault(c.Worth, 1),
		LateWeight:       c.LateWorth,
		Stream:           c.Stream,
	}, nil
}

func orDefault[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}

package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"pebblelift/balance"
)

// document is the settings object as JSON. Most fields are named after the fields of balance.Config and Settings that
// they set, and the tags hold the keys of the settings object. The fields of Report and Clients are named after their
// keys, because encoding/json writes the fields of an anonymous struct into its error texts. Unknown keys are ignored.
type document struct {
	Classes         []classDocument  `json:"classes"`
	Tenants         []tenantDocument `json:"tenants"`
	Zones           []string         `json:"zones"`
	MachineTypes    []string         `json:"kinds"`
	Discovery       string           `json:"discovery"`
	PeerIndex       int              `json:"my_number"`
	PeerCount       int              `json:"peers_total"`
	Zone            int              `json:"zone"`
	OverQuotaWeight *float64         `json:"over_share_worth"`
	BatchInterval   float64          `json:"quantum_ms"`
	Report          struct {
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

// classDocument is one class of requests; it becomes a balance.Class.
type classDocument struct {
	Name             string   `json:"name"`
	Idempotency      string   `json:"effect"`
	DedupScope       string   `json:"group"`
	DedupWindow      *float64 `json:"window_ms"`
	LatencyObjective float64  `json:"on_time_ms"`
	ObjectivePerWork float64  `json:"aim_stretch"`
	Deadline         float64  `json:"hard_limit_ms"`
	PriorityWeight   *float64 `json:"worth"`
	LateWeight       float64  `json:"late_worth"`
	Stream           bool     `json:"stream"`
}

// tenantDocument is one tenant; it becomes a balance.Tenant.
type tenantDocument struct {
	Name       string  `json:"name"`
	QuotaRate  float64 `json:"allowance_per_s"`
	QuotaShare float64 `json:"share"`
}

// limitsDocument holds limits for a sidecar and what it is allowed to do.
type limitsDocument struct {
	CancelAttempts  bool    `json:"cancel"`
	ConnIdleTimeout float64 `json:"conn_idle_ms"`
	ConnectTimeout  float64 `json:"connect_timeout_ms"`
	MaxAttempts     *int    `json:"max_attempts"`
	MaxRetryAfter   float64 `json:"max_retry_after_ms"`
	Gossip          bool    `json:"may_tell"`
	Hedging         bool    `json:"parallel_tries"`
	HealthChecks    bool    `json:"probes"`
	RetryAfter      bool    `json:"retry_after"`
}

// rulesDocument holds time limits and the rules for slow start, draining and overload.
type rulesDocument struct {
	ResponseSlack     float64  `json:"answer_slack_ms"`
	PollInterval      float64  `json:"ask_within_ms"`
	SlowStartFraction *float64 `json:"cold_from"`
	SlowStartDuration float64  `json:"cold_ms"`
	DrainGrace        float64  `json:"drain_grace_ms"`
	OverloadWindow    float64  `json:"fall_ms"`
	OverloadFactor    float64  `json:"fall_multiple"`
}

// goalDocument has the same fields as balance.Goal and is converted to that type.
type goalDocument struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
}

// penaltiesDocument has the same fields as balance.Penalties and is converted to that type.
type penaltiesDocument struct {
	CrossZone   float64 `json:"cross_zone"`
	Waste       float64 `json:"waste"`
	Handshake   float64 `json:"handshake"`
	HealthCheck float64 `json:"probe"`
	Gossip      float64 `json:"peer"`
	LateFailure float64 `json:"late_fail"`
}

// idempotencyNames maps the values of "effect".
var idempotencyNames = map[string]balance.Idempotency{
	"read_like":       balance.Idempotent,
	"idempotency_key": balance.IdempotentWithKey,
	"non_idempotent":  balance.NonIdempotent,
}

// dedupScopeNames maps the values of "group".
var dedupScopeNames = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"cell": balance.DedupCell,
}

// reportSourceNames maps the values of "report.via".
var reportSourceNames = map[string]balance.ReportSource{
	"":          balance.ReportNone,
	"silent":    balance.ReportNone,
	"piggyback": balance.ReportPiggyback,
	"pull":      balance.ReportHealthCheck,
}

// reportFieldNames maps the values of "report.fields". Unknown names, which later versions of the settings object may
// contain, become balance.FieldUnknown.
var reportFieldNames = map[string]balance.ReportField{
	"rif":       balance.FieldInFlight,
	"q":         balance.FieldQueue,
	"busy":      balance.FieldUtilization,
	"lat_ms":    balance.FieldLatency,
	"rate":      balance.FieldRate,
	"fail_rate": balance.FieldErrorRate,
}

// subscribeNames maps the values of "discovery" to balance.Config.Subscribe: whether the balancer must poll or watch
// the endpoint list.
var subscribeNames = map[string]bool{"": false, "automatic": false, "subscribe": true}

// parseDocument parses the settings object without checking its values.
func parseDocument(raw []byte) (d document, err error) {
	if err := json.Unmarshal(raw, &d); err != nil {
		return d, fmt.Errorf("settings: %w", err)
	}
	return d, nil
}

// balancerConfig converts the document and returns an error for missing classes or invalid values.
func (d *document) balancerConfig(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed:               seed,
		PeerIndex:          d.PeerIndex,
		PeerCount:          max(d.PeerCount, 1),
		Zone:               d.Zone,
		OverQuotaWeight:    orDefault(d.OverQuotaWeight, 1),
		BatchInterval:      d.BatchInterval,
		ClientsMarkRetries: d.Clients.MarksRetry,
		Goal:               balance.Goal(d.Goal),
		Penalties:          balance.Penalties(d.Penalties),
	}
	d.Limits.apply(&cfg)
	d.Rules.apply(&cfg)
	for _, t := range d.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaRate: t.QuotaRate, QuotaShare: t.QuotaShare})
	}
	if err := d.applySources(&cfg); err != nil {
		return cfg, err
	}
	return cfg, d.applyClasses(&cfg)
}

// apply sets the fields of the balancer's configuration that the limits define.
func (l *limitsDocument) apply(cfg *balance.Config) {
	cfg.MaxAttempts = orDefault(l.MaxAttempts, 1)
	cfg.Hedging = l.Hedging
	cfg.CancelAttempts = l.CancelAttempts
	cfg.HealthChecks = l.HealthChecks
	cfg.Gossip = l.Gossip
	cfg.RetryAfter = l.RetryAfter
	cfg.MaxRetryAfter = l.MaxRetryAfter
	cfg.ConnectTimeout = l.ConnectTimeout
}

// apply sets the fields of the balancer's configuration that the rules define.
func (r *rulesDocument) apply(cfg *balance.Config) {
	cfg.DrainGrace = r.DrainGrace
	cfg.SlowStartFraction = orDefault(r.SlowStartFraction, 1)
	cfg.SlowStartDuration = r.SlowStartDuration
	cfg.OverloadFactor = r.OverloadFactor
	cfg.OverloadWindow = r.OverloadWindow
	cfg.PollInterval = r.PollInterval
	cfg.ResponseSlack = r.ResponseSlack
}

// applySources sets where the endpoint list and the load reports come from.
func (d *document) applySources(cfg *balance.Config) error {
	var known bool
	if cfg.Subscribe, known = subscribeNames[d.Discovery]; !known {
		return invalidValue("discovery", d.Discovery)
	}
	if cfg.ReportSource, known = reportSourceNames[d.Report.Via]; !known {
		return invalidValue("report.via", d.Report.Via)
	}
	for _, name := range d.Report.Fields {
		cfg.ReportFields = append(cfg.ReportFields, reportFieldNames[name])
	}
	return nil
}

// applyClasses sets the classes of requests. It returns an error if there is none or one has an invalid value.
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

// balancerClass converts a class and sets defaults for omitted values. It returns an error for an invalid value.
func (c *classDocument) balancerClass() (balance.Class, error) {
	idempotency, known := idempotencyNames[c.Idempotency]
	if !known {
		return balance.Class{}, invalidValue("effect", c.Idempotency)
	}
	scope, known := dedupScopeNames[c.DedupScope]
	if !known {
		return balance.Class{}, invalidValue("group", c.DedupScope)
	}
	if !(c.Deadline > 0) {
		return balance.Class{}, invalidValue("hard_limit_ms", c.Deadline)
	}
	if c.LatencyObjective < 0 {
		return balance.Class{}, invalidValue("on_time_ms", c.LatencyObjective)
	}
	objective := c.LatencyObjective
	if objective == 0 {
		objective = c.Deadline
	}
	return balance.Class{
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      orDefault(c.DedupWindow, math.Inf(1)),
		LatencyObjective: objective,
		ObjectivePerWork: c.ObjectivePerWork,
		Deadline:         c.Deadline,
		PriorityWeight:   orDefault(c.PriorityWeight, 1),
		LateWeight:       c.LateWeight,
		Stream:           c.Stream,
	}, nil
}

// orDefault returns what value points to, or defaultValue if value is nil.
func orDefault[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}

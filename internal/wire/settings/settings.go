// Package settings parses the settings of a deployment, which the proxy and the simulator adapter share, and the
// proxy's configuration file, which contains them.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"havenproxy/logic"
)

// classJSON is an element of request_classes. It becomes a logic.Class, whose fields have the same names.
type classJSON struct {
	Name          string  `json:"name"`
	TargetLatency float64 `json:"aim"`
	ClientTimeout float64 `json:"hard_limit"`
	Effect        string  `json:"effect"`
	DedupScope    string  `json:"key_scope"`
	Stream        bool    `json:"stream"`
	DedupWindow   float64 `json:"dedup_window"`
	Worth         float64 `json:"worth"`
}

// settingsJSON is the JSON form of the settings. Times are in microseconds. Most fields become fields of logic.Config
// with the same or similar names. FleetSize becomes Proxies, Discovery becomes ListOnRequest, and Domain.SessionMarks
// becomes TokensCarried.
type settingsJSON struct {
	FleetSize int         `json:"fleet_size"`
	Classes   []classJSON `json:"request_classes"`
	Discovery string      `json:"discovery"`
	Domain    struct {
		Freshness    []string  `json:"freshness"` // per request class
		ListRole     string    `json:"list_role"`
		MaxAge       []float64 `json:"max_age"` // per request class, or empty
		Origin       float64   `json:"origin_time"`
		ServerChecks string    `json:"server_checks"`
		SessionMarks string    `json:"session_marks"`
	} `json:"domain"`
	Limits struct {
		ConnectTimeout      float64 `json:"connect_timeout"`
		DatabaseIdleTimeout float64 `json:"idle_close"`
		MaxAttempts         int     `json:"max_attempts"`
		MaxRetryAfter       float64 `json:"max_retry_after"`
		MayCancel           bool    `json:"may_cancel"`
		ParallelAttempts    bool    `json:"parallel_tries"`
		Probes              bool    `json:"probes"`
		RetryAfter          bool    `json:"retry_after"`
	} `json:"limits"`
	OverQuotaWorth float64 `json:"over_share_worth"`
	Reporting      struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"` // not used
	} `json:"reporting"`
	Safety struct {
		ColdDuration     float64 `json:"cold"`
		ColdCapacity     float64 `json:"cold_share"`
		OverloadMultiple float64 `json:"fall_multiple"`
		IgnoreListedGone bool    `json:"drain_binds_alone"`
	} `json:"safety"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
	Tick float64 `json:"tick"`
	Zone int     `json:"zone"` // index into Zones

	Zones []string `json:"zones"`
}

// Settings holds the parsed settings that the simulator adapter and the proxy use.
type Settings struct {
	Config logic.Config
	Origin time.Duration // the time that positions are relative to
	Fields []string      // names of the values in a load report, in order

	Zones               []string      // zone names, indexed by zone number
	DatabaseIdleTimeout time.Duration // the databases close connections that have been idle for so long; 0 = never
	ConnectTimeout      time.Duration // for a connection to a database; 0 = not set
}

// parseEnum returns the value that known has for a setting's text. An absent setting gives the zero value.
func parseEnum[T any](field, got string, known map[string]T) (T, error) {
	v, ok := known[got]
	if !ok && got != "" {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, got)
	}
	return v, nil
}

// micros converts a number of microseconds, the unit of times in the settings.
func micros(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// Parse parses the settings. Unknown keys are ignored. The seed becomes part of the router's configuration.
func Parse(data []byte, seed uint64) (Settings, error) {
	var raw settingsJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings: not usable JSON: %w%s", err, jsonPosition(data, err))
	}
	domain, limits, safety := &raw.Domain, &raw.Limits, &raw.Safety
	if len(domain.Freshness) != len(raw.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.freshness has %d entries for %d request_classes",
			len(domain.Freshness), len(raw.Classes))
	}
	if len(domain.MaxAge) != 0 && len(domain.MaxAge) != len(raw.Classes) {
		return Settings{}, fmt.Errorf("settings: domain.max_age has %d entries for %d request_classes",
			len(domain.MaxAge), len(raw.Classes))
	}
	listRole, err1 := parseEnum("domain.list_role", domain.ListRole, map[string]logic.ListRole{
		"none": logic.ListRoleNone, "start": logic.ListRoleStart, "late": logic.ListRoleLate})
	serverChecks, err2 := parseEnum("domain.server_checks", domain.ServerChecks, map[string]logic.ServerChecks{
		"none": logic.ServerChecksNone, "refuse": logic.ServerChecksRefuse, "wait": logic.ServerChecksWait})
	listOnRequest, err3 := parseEnum("discovery", raw.Discovery, map[string]bool{"pushed": false, "on_request": true})
	tokensCarried, err4 := parseEnum("domain.session_marks", domain.SessionMarks,
		map[string]bool{"remembered": false, "carried": true})
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Settings{}, err
	}
	cfg := logic.Config{
		Seed: seed, Proxies: raw.FleetSize, Zone: raw.Zone, OverQuotaWorth: raw.OverQuotaWorth, Tick: micros(raw.Tick),
		ListOnRequest: listOnRequest, ListRole: listRole, TokensCarried: tokensCarried, ServerChecks: serverChecks,
		MayProbe: limits.Probes, MayCancel: limits.MayCancel, ParallelAttempts: limits.ParallelAttempts,
		MaySendRetryAfter: limits.RetryAfter, MaxAttempts: limits.MaxAttempts, MaxRetryAfter: micros(limits.MaxRetryAfter),
		ColdDuration: micros(safety.ColdDuration), ColdCapacity: safety.ColdCapacity,
		OverloadMultiple: safety.OverloadMultiple, IgnoreListedGone: safety.IgnoreListedGone,
	}
	for i, c := range raw.Classes {
		class, err := parseClass(c, domain.Freshness[i])
		if err != nil {
			return Settings{}, fmt.Errorf("settings: request_classes[%d]: %w", i, err)
		}
		if len(domain.MaxAge) != 0 {
			class.MaxAge = micros(domain.MaxAge[i])
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, t := range raw.Tenants {
		cfg.Tenants = append(cfg.Tenants, logic.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return Settings{Config: cfg, Origin: micros(domain.Origin), Fields: raw.Reporting.Fields,
		Zones: raw.Zones, DatabaseIdleTimeout: micros(limits.DatabaseIdleTimeout),
		ConnectTimeout: micros(limits.ConnectTimeout)}, nil
}

// parseClass converts a request class. Its freshness comes from another list of the settings, domain.freshness.
func parseClass(c classJSON, freshness string) (logic.Class, error) {
	required, err1 := parseEnum("freshness", freshness, map[string]logic.Freshness{"any": logic.FreshnessAny,
		"bounded": logic.FreshnessBounded, "session": logic.FreshnessSession, "fresh": logic.FreshnessLatest,
		"write": logic.FreshnessWrite})
	effect, err2 := parseEnum("effect", c.Effect, map[string]logic.Effect{
		"free": logic.EffectIdempotent, "guarded": logic.EffectDeduplicated, "single_shot": logic.EffectNonIdempotent})
	scope, err3 := parseEnum("key_scope", c.DedupScope, map[string]logic.KeyScope{
		"all": logic.KeyScopeAll, "zone": logic.KeyScopeZone, "cell": logic.KeyScopeCell})
	if err := errors.Join(err1, err2, err3); err != nil {
		return logic.Class{}, err
	}
	return logic.Class{Name: c.Name, RequiredFreshness: required, TargetLatency: micros(c.TargetLatency),
		ClientTimeout: micros(c.ClientTimeout), Effect: effect, DedupScope: scope, DedupWindow: micros(c.DedupWindow),
		Worth: c.Worth, Stream: c.Stream}, nil
}

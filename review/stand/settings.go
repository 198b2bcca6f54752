package main

// deltaSettings are settings of a small deployment with the figures of deploy/sites/delta-maps.toml: its classes, its
// effects and its limits, with one proxy.
const deltaSettings = `{"discovery": "pushed", "fleet_size": 1, "tick": 5000, "zone": 0, "zones": ["cairo-east"],
 "domain": {"freshness": ["bounded", "session", "fresh", "write"], "max_age": [400000, 0, 0, 0],
  "list_role": "none", "server_checks": "none", "session_marks": "remembered", "stamps": true, "sync": false},
 "limits": {"connect_timeout": 250000, "idle_close": 6000000, "max_attempts": 4, "max_open": 20000,
  "max_retry_after": 250000, "may_cancel": true, "multiplex": 1, "parallel_tries": false, "peers": false, "probes": true,
  "retry_after": true},
 "reporting": {"fields": ["x0", "x1", "queue", "util"], "how": "probe"},
 "request_classes": [
  {"name": "parcel-look", "aim": 150000, "hard_limit": 400000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0.1, "stream": false, "worth": 1},
  {"name": "survey-open", "aim": 350000, "hard_limit": 1000000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0, "stream": false, "worth": 2},
  {"name": "licence-take", "aim": 300000, "hard_limit": 800000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0, "stream": false, "worth": 3},
  {"name": "fence-save", "aim": 700000, "hard_limit": 1800000, "effect": "guarded", "key_scope": "cell", "dedup_window": 1500000, "late_value": 0.2, "stream": false, "worth": 4}],
 "safety": {"cold": 18000000, "cold_share": 0.19, "fall_multiple": 2.5, "grace_to_answer": 20000, "overload_for": 1500000, "stop_sending_within": 400000},
 "tenants": [], "tiers": ["tile-db"], "tier": 0, "flavors": ["std-4core"], "me": 0, "weight_kind": "nominal", "worth_by": "request"}`

// cairoSettings are settings of a small deployment with the figures of cairo-tiles, with one proxy.
const cairoSettings = `{"discovery": "pushed", "fleet_size": 1, "tick": 5000, "zone": 0, "zones": ["cairo-east"],
 "domain": {"freshness": ["bounded", "session", "any", "write"], "max_age": [500000, 0, 0, 0],
  "list_role": "none", "server_checks": "none", "session_marks": "remembered", "stamps": true, "sync": false},
 "limits": {"connect_timeout": 250000, "idle_close": 15000000, "max_attempts": 8, "max_open": 20000,
  "max_retry_after": 500000, "may_cancel": true, "multiplex": 1, "parallel_tries": false, "peers": false, "probes": true,
  "retry_after": true},
 "reporting": {"fields": ["x0", "x1", "queue", "util"], "how": "probe"},
 "request_classes": [
  {"name": "tile-read", "aim": 200000, "hard_limit": 500000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0.2, "stream": false, "worth": 1},
  {"name": "own-edit-read", "aim": 500000, "hard_limit": 2000000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0, "stream": false, "worth": 3},
  {"name": "catalogue-read", "aim": 400000, "hard_limit": 1000000, "effect": "free", "key_scope": "all", "dedup_window": 5000000, "late_value": 0, "stream": false, "worth": 2},
  {"name": "order-write", "aim": 1000000, "hard_limit": 3000000, "effect": "single_shot", "key_scope": "all", "dedup_window": 5000000, "late_value": 0.3, "stream": false, "worth": 4}],
 "safety": {"cold": 18000000, "cold_share": 0.19, "fall_multiple": 3, "grace_to_answer": 20000, "overload_for": 1500000, "stop_sending_within": 500000},
 "tenants": [], "tiers": ["tile-db"], "tier": 0, "flavors": ["std-4core"], "me": 0, "weight_kind": "nominal", "worth_by": "request"}`

package main

// object is an object of the configuration.
type object = map[string]any

// The site's names: kinds, zones, tenants and the class of sunbite-brisbane.
var (
	kinds   = []string{"delivery-platform", "payment-gateway", "store-system"}
	zones   = []string{"floor-2", "floor-3"}
	tenants = []string{"sunbite-burgers", "reef-pizza", "wattle-noodles"}
)

const className = "order-message"

// deadline is that of all messages, in milliseconds. The site has 16 s; LATER says "12 s at most".
const deadline = 12000.0

// class returns the settings of the site's class with the given effect.
func class(semantics string) object {
	return object{
		"name": className, "semantics": semantics, "group": "zone", "repeat_window_ms": 10000.0,
		"goal_time_ms": 3000.0, "give_up_ms": deadline, "late_worth": 0.4, "value": 1.0, "stream": false,
	}
}

// settings returns the site's settings for a fleet of so many relays, with one class.
func settings(relays int, services ...object) object {
	return object{
		"bounds": object{
			"cancel": true, "connect_timeout_ms": 1500.0, "keepalive_ms": 15000.0, "may_duplicate": true,
			"max_retry_after_ms": 3000.0, "retry_after": true, "open_cap": 438, "send_cap": 8, "probes": false,
			"peers": false, "streams_per_conn": 8, "cpu_us_per_s": 80000, "cpu_us_per_request": 0.0,
		},
		"clients":     object{"marks_retry": true},
		"domain_type": "deliver",
		"extra": object{
			"call_slots": 38, "carriage": []float64{0, 0.03}, "loses_worth": "even", "per_call": []int{10, 1, 1},
			"separate_routes": []bool{false, true, false}, "turned_away_price": 0.05,
		},
		"fleet_size": relays, "me": 0, "kinds": kinds, "zones": zones, "zone": 0,
		"membership_mode": "push", "weight_kind": "nominal", "over_share_worth": 0.2, "tick_ms": 5.0,
		"value_by": "request", "stage": 0, "tiers": []string{"partner-systems"},
		"goal": object{"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.25},
		"rules": object{
			"stop_sending_within_ms": 1000.0, "overload_factor": 2.0, "fall_ms": 3000.0, "cold_from": 0.18,
			"warm_within_ms": 14000.0, "answer_slack_ms": 20.0,
		},
		"realms": []object{
			{"name": tenants[0], "share": 0.66, "quota_per_s": 52.0},
			{"name": tenants[1], "share": 0.19, "quota_per_s": 15.0},
			{"name": tenants[2], "share": 0.15, "quota_per_s": 12.0},
		},
		"services": services,
		"stats":    object{"how": "none"},
		"tariffs":  object{"handshake": 0.04, "late_fail": 0.03, "waste": 0.05},
	}
}

package rehearsal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	operatorFileName = "operator.toml"
	relayCores       = 1
	// answerSlack is how long after a message's deadline the platform still accepts an answer.
	answerSlack = 20 * time.Millisecond
	// recordingsMB bounds the size of a relay's recordings, in megabytes.
	recordingsMB = 1024
)

// relayConfig is a relay's configuration file, with the platform's keys.
type relayConfig struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"` // hexadecimal
	Limits    relayLimits       `json:"limits"`
	Known     fake.EndpointList `json:"known"`
	Settings  relaySettings     `json:"settings"`
}

// relayLimits are the resources that a relay may use.
type relayLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// relaySettings are the platform's settings; package internal/simwire describes them.
type relaySettings struct {
	Bounds               settingsBounds `json:"bounds"`
	Extra                settingsExtra  `json:"extra"`
	FleetSize            int            `json:"fleet_size"`
	Kinds                []string       `json:"kinds"`
	Zones                []string       `json:"zones"`
	Tick                 milliseconds   `json:"tick_ms"`
	MembershipMode       string         `json:"membership_mode"`
	WeightKind           string         `json:"weight_kind"`
	OverShareWeightRatio float64        `json:"over_share_worth"`
	Rules                settingsRules  `json:"rules"`
	Classes              []classConfig  `json:"services"`
	Customers            []tenantConfig `json:"realms"`
	Stats                settingsStats  `json:"stats"`
}

type settingsBounds struct {
	Cancel            bool         `json:"cancel"`
	ConnectTimeout    milliseconds `json:"connect_timeout_ms"`
	KeepAliveTimeout  milliseconds `json:"keepalive_ms"`
	DuplicatesAllowed bool         `json:"may_duplicate"`
	MaxRetryAfter     milliseconds `json:"max_retry_after_ms"`
	RetryAfter        bool         `json:"retry_after"`
	MaxMessages       int          `json:"open_cap"`
	MaxAttempts       int          `json:"send_cap"`
	Probes            bool         `json:"probes"`
	Peers             bool         `json:"peers"`
}

type settingsExtra struct {
	MaxConcurrentCalls int    `json:"call_slots"`
	MaxMessagesPerCall []int  `json:"per_call"`        // by kind of destination
	SeparateEndpoints  []bool `json:"separate_routes"` // by kind of destination
	LossWeights        string `json:"loses_worth"`
}

type settingsRules struct {
	DrainGrace            milliseconds `json:"stop_sending_within_ms"`
	OverloadFactor        float64      `json:"overload_factor"`
	OverloadWindow        milliseconds `json:"fall_ms"`
	WarmUpInitialCapacity float64      `json:"cold_from"`
	WarmUpDuration        milliseconds `json:"warm_within_ms"`
	OrderingPause         milliseconds `json:"order_pause_ms"`
	AnswerSlack           milliseconds `json:"answer_slack_ms"`
}

type settingsStats struct {
	Source string `json:"how"`
}

type classConfig struct {
	Name             string              `json:"name"`
	DedupScope       scenario.DedupScope `json:"group"`
	LatencyObjective milliseconds        `json:"goal_time_ms"`
	Deadline         milliseconds        `json:"give_up_ms"`
	DedupWindow      milliseconds        `json:"repeat_window_ms"`
	LateWeightRatio  float64             `json:"late_worth"`
	Weight           float64             `json:"value"`
	Ordered          bool                `json:"by_arrival"`
	Stream           bool                `json:"stream"`
	Semantics        string              `json:"semantics"`
}

type tenantConfig struct {
	Name         string  `json:"name"`
	TrafficShare float64 `json:"share"`
	Quota        float64 `json:"quota_per_s"`
}

// milliseconds is a duration in the platform's configuration.
type milliseconds float64

func inMilliseconds(d scenario.Duration) milliseconds {
	return milliseconds(float64(d.AsDuration()) / float64(time.Millisecond))
}

// config returns the relay's configuration.
func (r *relay) config() relayConfig {
	settings := r.file.Settings
	return relayConfig{
		Name:      r.name,
		Listen:    r.addr,
		Discovery: r.agent.Addr(),
		Seed:      fmt.Sprintf("%016x", r.file.Seed),
		Limits: relayLimits{
			Cores:    relayCores,
			MemoryMB: settings.MemoryMB,
			Sockets:  settings.MaxSockets,
			DiskMB:   settings.DiskMB,
		},
		Known:    r.agent.NotifiedList(),
		Settings: newRelaySettings(r.file),
	}
}

func newRelaySettings(file scenario.File) relaySettings {
	settings := file.Settings
	config := relaySettings{
		Bounds: settingsBounds{
			Cancel:            true,
			ConnectTimeout:    inMilliseconds(settings.ConnectTimeout),
			KeepAliveTimeout:  inMilliseconds(settings.KeepAliveTimeout),
			DuplicatesAllowed: *settings.DuplicatesAllowed,
			MaxRetryAfter:     inMilliseconds(settings.MaxRetryAfter),
			RetryAfter:        true,
			MaxMessages:       settings.MaxMessages,
			MaxAttempts:       settings.MaxAttempts,
		},
		Extra:                settingsExtra{MaxConcurrentCalls: settings.MaxConcurrentCalls, LossWeights: "even"},
		FleetSize:            file.Relays,
		Zones:                file.Zones,
		Tick:                 inMilliseconds(settings.Tick),
		MembershipMode:       "push",
		WeightKind:           "nominal",
		OverShareWeightRatio: *settings.OverShareWeightRatio,
		Rules:                newSettingsRules(file),
		Classes:              newClassConfigs(file.Classes),
		Customers:            newTenantConfigs(file.Customers),
		Stats:                settingsStats{Source: "none"},
	}
	for _, kind := range file.DestinationKinds {
		config.Kinds = append(config.Kinds, kind.Name)
		config.Extra.MaxMessagesPerCall = append(config.Extra.MaxMessagesPerCall, kind.MaxMessagesPerCall)
		config.Extra.SeparateEndpoints = append(config.Extra.SeparateEndpoints, kind.SeparateEndpoints)
	}
	return config
}

// newSettingsRules returns the platform's rules. They have a single warm-up for all destinations: the lowest initial
// capacity and the longest duration of any kind of destination.
func newSettingsRules(file scenario.File) settingsRules {
	rules := settingsRules{
		DrainGrace:            inMilliseconds(file.Settings.DrainGrace),
		OverloadFactor:        file.Settings.OverloadFactor,
		OverloadWindow:        inMilliseconds(file.Settings.OverloadWindow),
		WarmUpInitialCapacity: 1,
		OrderingPause:         inMilliseconds(file.Settings.OrderingPause),
		AnswerSlack:           inMilliseconds(scenario.Duration(answerSlack)),
	}
	for _, kind := range file.DestinationKinds {
		rules.WarmUpInitialCapacity = min(rules.WarmUpInitialCapacity, kind.WarmUpInitialCapacity)
		rules.WarmUpDuration = max(rules.WarmUpDuration, inMilliseconds(kind.WarmUpDuration))
	}
	return rules
}

func newClassConfigs(classes []scenario.Class) []classConfig {
	var configs []classConfig
	for _, class := range classes {
		configs = append(configs, classConfig{
			Name:             class.Name,
			DedupScope:       class.DedupScope,
			LatencyObjective: inMilliseconds(class.LatencyObjective),
			Deadline:         inMilliseconds(class.Deadline),
			DedupWindow:      inMilliseconds(class.DedupWindow),
			LateWeightRatio:  class.LateWeightRatio,
			Weight:           class.Weight,
			Ordered:          class.Ordered,
			Semantics:        semantics(class.Effect),
		})
	}
	return configs
}

// semantics returns the platform's name for an effect.
func semantics(effect eventlog.Effect) string {
	switch effect {
	case eventlog.Idempotent:
		return "read_like"
	case eventlog.IdempotentByKey:
		return "idempotency_key"
	default:
		return "non_idempotent"
	}
}

func newTenantConfigs(customers []scenario.Customer) []tenantConfig {
	total := 0.0
	for _, customer := range customers {
		total += customer.TrafficShare
	}
	var configs []tenantConfig
	for _, customer := range customers {
		share := customer.TrafficShare / total
		configs = append(configs, tenantConfig{Name: customer.Name, TrafficShare: share, Quota: customer.Quota})
	}
	return configs
}

// writeConfig writes the relay's configuration file atomically, so that a relay that reloads it reads a whole file.
func (r *relay) writeConfig() error {
	data, err := json.MarshalIndent(r.config(), "", " ")
	if err != nil {
		return fmt.Errorf("rehearsal: configuration of %s: %w", r.name, err)
	}
	temporary := filepath.Join(r.dir, "config.tmp")
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	if err := os.Rename(temporary, relayprocess.ConfigFile(r.dir)); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}

// writeOperatorFile writes the operator's file if the relay needs one, and returns the arguments that name the file to
// the relay.
func (r *relay) writeOperatorFile() (args []string, err error) {
	text := ""
	if r.recordDecisions {
		recordings := filepath.Join(r.dir, RecordingsName)
		text = "[recorder]\nenabled = true\nwrite = \"all\"\n"
		text += fmt.Sprintf("folder = %q\nfolder_mb = %d\n", recordings, recordingsMB)
	}
	if r.fleet != nil {
		text += r.fleet.operatorText(r.name, r.file.Fleet)
	}
	if text == "" {
		return nil, nil
	}
	path := filepath.Join(r.dir, operatorFileName)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return []string{"serve", "--operator", path}, nil
}

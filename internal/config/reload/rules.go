package reload

import (
	"encoding/json"
	"fmt"
	"slices"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Rules are the part of a configuration that binds new messages: their classes and the number of their attempts. A
// relay stores them for its next process, so the JSON tags must not change.
type Rules struct {
	ClassNames  []string       `json:"Names"`
	Classes     []policy.Class `json:"Classes"` // in the order of ClassNames
	MaxAttempts int            `json:"MaxAttempts"`
}

// RulesOf returns the rules of a configuration.
func RulesOf(config Config) Rules {
	return Rules{
		ClassNames:  config.ClassNames,
		Classes:     config.Settings.Classes,
		MaxAttempts: config.Settings.MaxAttempts,
	}
}

// Equal reports whether two processes with these rules treat new messages alike.
func (r Rules) Equal(other Rules) bool {
	return slices.Equal(r.ClassNames, other.ClassNames) &&
		slices.Equal(r.Classes, other.Classes) &&
		r.MaxAttempts == other.MaxAttempts
}

// In returns a configuration with these rules that is otherwise like config.
func (r Rules) In(config Config) Config {
	config.ClassNames = r.ClassNames
	config.Settings.Classes = r.Classes
	config.Settings.MaxAttempts = r.MaxAttempts
	return config
}

// Encode returns the stored form of rules.
func (r Rules) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("reload: encode rules: %w", err)
	}
	return data, nil
}

// DecodeRules decodes the stored form of rules.
func DecodeRules(data []byte) (Rules, error) {
	var r Rules
	if err := json.Unmarshal(data, &r); err != nil {
		return Rules{}, fmt.Errorf("reload: decode rules: %w", err)
	}
	if len(r.ClassNames) == 0 || len(r.ClassNames) != len(r.Classes) {
		return Rules{}, fmt.Errorf("reload: %d classes and %d class names", len(r.Classes), len(r.ClassNames))
	}
	return r, nil
}

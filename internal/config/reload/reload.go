// Package reload holds the rules for reloading the configuration of a running relay: whether the relay accepts the
// fresh configuration, and which settings apply while clients may still use the old one. The package is pure: it reads
// no clock and does no I/O.
package reload

import (
	"maps"
	"slices"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Config is the part of a configuration file that a reload can change for the clients of a relay.
type Config struct {
	ClassNames  []string        `json:"Classes"` // in the order of Settings.Classes
	TenantNames []string        `json:"Customers"`
	Settings    policy.Settings `json:"Settings"`
	Shape       Shape           `json:"Shape"` // of the configuration file
}

// Equal reports whether two configurations have the same names, shape and settings, as equalSettings compares them.
func Equal(a, b Config) bool {
	return slices.Equal(a.ClassNames, b.ClassNames) &&
		slices.Equal(a.TenantNames, b.TenantNames) &&
		equalSettings(&a.Settings, &b.Settings) &&
		maps.Equal(a.Shape, b.Shape)
}

// equalSettings compares the classes, kinds, tenants, zone costs, limits and fleet sizes of two settings. It does not
// compare the other fields, such as WarmUpDuration.
func equalSettings(a, b *policy.Settings) bool {
	return slices.Equal(a.Classes, b.Classes) &&
		slices.Equal(a.DestinationKinds, b.DestinationKinds) &&
		slices.Equal(a.Tenants, b.Tenants) &&
		slices.Equal(a.ZoneCosts, b.ZoneCosts) &&
		a.MaxAttempts == b.MaxAttempts &&
		a.MaxInFlightCalls == b.MaxInFlightCalls &&
		a.MaxPendingMessages == b.MaxPendingMessages &&
		a.FleetSize == b.FleetSize
}

// Transitional returns the configuration that applies while clients may use either old or fresh. It has the classes of
// both configurations and the lower of their limits on attempts. A class that is in both has the stricter settings of
// the two. All else is as in fresh.
func Transitional(old, fresh Config) Config {
	config := KeepRemovedClasses(old, fresh)
	for i, name := range old.ClassNames {
		class := &config.Settings.Classes[slices.Index(config.ClassNames, name)]
		*class = policy.StricterClass(old.Settings.Classes[i], *class)
	}
	config.Settings.MaxAttempts = policy.StricterMaxAttempts(old.Settings.MaxAttempts, fresh.Settings.MaxAttempts)
	return config
}

// KeepRemovedClasses returns fresh with the classes that only old has, appended after the classes of fresh.
func KeepRemovedClasses(old, fresh Config) Config {
	config := fresh
	config.ClassNames = slices.Clone(fresh.ClassNames)
	config.Settings.Classes = slices.Clone(fresh.Settings.Classes)
	for i, name := range old.ClassNames {
		if !slices.Contains(config.ClassNames, name) {
			config.ClassNames = append(config.ClassNames, name)
			config.Settings.Classes = append(config.Settings.Classes, old.Settings.Classes[i])
		}
	}
	return config
}

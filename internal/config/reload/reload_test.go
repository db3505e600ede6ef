package reload

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/policy"
)

func drawConfig(t *rapid.T, label string) Config {
	config := Config{Settings: policy.Settings{MaxAttempts: rapid.IntRange(0, 9).Draw(t, label+" attempts")}}
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID).Draw(t, label) {
		config.ClassNames = append(config.ClassNames, name)
		config.Settings.Classes = append(config.Settings.Classes, drawClass(t))
	}
	return config
}

func drawClass(t *rapid.T) policy.Class {
	effects := []policy.Effect{policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}
	return policy.Class{
		Effect:        rapid.SampledFrom(effects).Draw(t, "effect"),
		DedupAllZones: rapid.Bool().Draw(t, "all zones"),
		Ordered:       rapid.Bool().Draw(t, "ordered"),
		DedupWindow:   time.Duration(rapid.IntRange(0, 9).Draw(t, "window")),
		Deadline:      time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline")),
	}
}

// allowsRetry reports whether a class allows another attempt for a message that may already have run. The attempt is
// made in the same zone or in another one, and starts the given time after the first attempt.
func allowsRetry(class policy.Class, otherZone bool, after time.Duration) bool {
	switch class.Effect {
	case policy.Idempotent:
		return true
	case policy.NonIdempotent:
		return false
	default:
		return (class.DedupAllZones || !otherZone) && after < class.DedupWindow
	}
}

// TestTransitionalIsAsStrictAsEither checks that the transitional configuration allows nothing that the old or the
// fresh configuration forbids, and has every class of both.
func TestTransitionalIsAsStrictAsEither(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawConfig(t, "old")
		fresh := drawConfig(t, "fresh")
		transitional := Transitional(old, fresh)
		checkStricter(t, transitional, old)
		checkStricter(t, transitional, fresh)
		if len(transitional.Settings.Classes) != len(transitional.ClassNames) {
			t.Fatal("the numbers of classes and class names differ")
		}
	})
}

// checkStricter fails if transitional allows something that config forbids, or lacks a class of config.
func checkStricter(t *rapid.T, transitional, config Config) {
	if attemptLimit(transitional) > attemptLimit(config) {
		t.Fatal("transitional allows more attempts than config")
	}
	for i, name := range config.ClassNames {
		if !slices.Contains(transitional.ClassNames, name) {
			t.Fatalf("class %s is missing", name)
		}
		for j, other := range transitional.ClassNames {
			if other == name {
				checkStricterClass(t, transitional.Settings.Classes[j], config.Settings.Classes[i])
			}
		}
	}
}

// attemptLimit returns the maximum number of attempts of a message. The setting 0 means that there is no limit.
func attemptLimit(config Config) int {
	if config.Settings.MaxAttempts == 0 {
		return math.MaxInt
	}
	return config.Settings.MaxAttempts
}

func checkStricterClass(t *rapid.T, transitional, class policy.Class) {
	if class.Ordered && !transitional.Ordered || transitional.Deadline < class.Deadline {
		t.Fatalf("%+v does not keep the order or the deadline of %+v", transitional, class)
	}
	for after := range time.Duration(10) {
		for _, otherZone := range []bool{false, true} {
			if allowsRetry(transitional, otherZone, after) && !allowsRetry(class, otherZone, after) {
				t.Fatalf("%+v allows a retry that %+v forbids", transitional, class)
			}
		}
	}
}

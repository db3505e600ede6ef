// Package terms decides what becomes of new settings while a relay runs: whether they are taken, and what holds while
// clients may still go by the old ones. It is pure: no clock, no I/O.
package reload

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Config are the settings that a relay and its clients go by.
type Config struct {
	ClassNames  []string        `json:"Classes"` // names, in the order of Settings.Classes
	TenantNames []string        `json:"Customers"`
	Settings    policy.Settings `json:"Settings"`
	Shape       Shape           `json:"Shape"` // of the file that they stand in
}

// Shape counts the values of a file by their paths, with * for the number of an entry in a list.
type Shape map[string]int

// ShapeOf returns the shape of a file that was flattened to paths and values; path.count is the length of a list of
// objects.
func ShapeOf(values map[string]string) Shape {
	s := Shape{}
	for path := range values {
		parts := strings.Split(path, ".")
		for i, p := range parts {
			if _, err := strconv.Atoi(p); err == nil {
				parts[i] = "*"
			}
		}
		if n, err := strconv.Atoi(values[path]); err == nil && parts[len(parts)-1] == "count" {
			s[strings.Join(parts, ".")] = n
			continue
		}
		s[strings.Join(parts, ".")]++
	}
	return s
}

// missing names the paths that stood in the old file throughout, and do not in this one.
func (s Shape) missing(old Shape) (paths []string) {
	for path, n := range old {
		list, _, inList := strings.Cut(path, ".*")
		want := 1
		if inList {
			if n < old[list+".count"] {
				continue // some entries went without it
			}
			want = s[list+".count"]
		}
		if s[path] < want {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Validate tells what keeps fresh settings from being taken in the place of old ones. All is told at once.
func Validate(old, fresh Config) error {
	var errs []error
	if paths := fresh.Shape.missing(old.Shape); len(paths) > 0 {
		errs = append(errs, fmt.Errorf("keys are missing: %s", strings.Join(paths, ", ")))
	}
	set := fresh.Settings
	if len(set.Classes) == 0 || len(set.Classes) != len(fresh.ClassNames) {
		errs = append(errs, errors.New("no class is named"))
		return errors.Join(errs...)
	}
	for i, name := range fresh.ClassNames {
		if name == "" || slices.Index(fresh.ClassNames, name) != i {
			errs = append(errs, fmt.Errorf("class %d has no name of its own", i))
		}
		if set.Classes[i].Deadline <= 0 {
			errs = append(errs, fmt.Errorf("class %q: its deadline is not over 0", name))
		}
	}
	if set.MaxAttempts < 0 || set.MaxAttempts == 0 && old.Settings.MaxAttempts > 0 {
		errs = append(errs, errors.New("the number of attempts is not over 0"))
	}
	if _, err := policy.New(set, 0); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Transitional are the terms for the time in which clients may hold to the old ones still, or to the fresh ones
// already: every class of either, those of both by what binds more, and the fewer attempts.
func Transitional(old, fresh Config) Config {
	t := KeepRemovedClasses(old, fresh)
	for i, name := range old.ClassNames {
		j := slices.Index(t.ClassNames, name)
		t.Settings.Classes[j] = stricter(old.Settings.Classes[i], t.Settings.Classes[j])
	}
	if a, b := old.Settings.MaxAttempts, fresh.Settings.MaxAttempts; a > 0 && b > 0 {
		t.Settings.MaxAttempts = min(a, b)
	}
	return t
}

// KeepRemovedClasses are fresh terms, with the classes that only the old ones name behind their own.
func KeepRemovedClasses(old, fresh Config) Config {
	t := fresh
	t.ClassNames = slices.Clone(fresh.ClassNames)
	t.Settings.Classes = slices.Clone(fresh.Settings.Classes)
	for i, name := range old.ClassNames {
		if !slices.Contains(t.ClassNames, name) {
			t.ClassNames = append(t.ClassNames, name)
			t.Settings.Classes = append(t.Settings.Classes, old.Settings.Classes[i])
		}
	}
	return t
}

// stricter is a class under which nothing is done that either forbids.
func stricter(a, b policy.Class) policy.Class {
	c := b
	c.Effect = max(a.Effect, b.Effect) // Safe, Keyed, Unsafe
	c.Ordered = a.Ordered || b.Ordered
	// bounds only what clients may ask for; each message has a deadline of its own
	c.Deadline = max(a.Deadline, b.Deadline)
	if a.Effect == policy.IdempotentByKey && b.Effect == policy.IdempotentByKey {
		c.DedupAllZones, c.DedupWindow = a.DedupAllZones && b.DedupAllZones, min(a.DedupWindow, b.DedupWindow)
	} else if a.Effect == policy.IdempotentByKey {
		c.DedupAllZones, c.DedupWindow = a.DedupAllZones, a.DedupWindow
	}
	return c
}

// Equal tells whether two terms bind alike.
func Equal(a, b Config) bool {
	x, y := a.Settings, b.Settings
	return slices.Equal(a.ClassNames, b.ClassNames) && slices.Equal(a.TenantNames, b.TenantNames) && slices.Equal(x.Classes, y.Classes) &&
		slices.Equal(x.DestinationKinds, y.DestinationKinds) && slices.Equal(x.Tenants, y.Tenants) && slices.Equal(x.ZoneCosts, y.ZoneCosts) &&
		x.MaxAttempts == y.MaxAttempts && x.MaxInFlightCalls == y.MaxInFlightCalls &&
		x.MaxPendingMessages == y.MaxPendingMessages &&
		x.FleetSize == y.FleetSize &&
		maps.Equal(a.Shape, b.Shape)
}

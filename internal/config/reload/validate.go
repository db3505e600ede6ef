package reload

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Validate returns an error with all reasons why fresh cannot replace old, or nil if it can.
func Validate(old, fresh Config) error {
	var errs []error
	if paths := fresh.Shape.missing(old.Shape); len(paths) > 0 {
		errs = append(errs, fmt.Errorf("keys are missing: %s", strings.Join(paths, ", ")))
	}
	settings := &fresh.Settings
	if len(settings.Classes) == 0 || len(settings.Classes) != len(fresh.ClassNames) {
		errs = append(errs, fmt.Errorf(
			"%d classes and %d class names, must be at least one class and a name for each",
			len(settings.Classes), len(fresh.ClassNames),
		))
		return errors.Join(errs...)
	}
	errs = append(errs, validateClasses(fresh)...)
	if settings.MaxAttempts < 0 || settings.MaxAttempts == 0 && old.Settings.MaxAttempts > 0 {
		errs = append(errs, fmt.Errorf("the number of attempts is %d, must be greater than 0", settings.MaxAttempts))
	}
	if _, err := policy.New(*settings, 0); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// validateClasses checks the name and the deadline of each class.
func validateClasses(config Config) []error {
	var errs []error
	for i, name := range config.ClassNames {
		if name == "" || slices.Index(config.ClassNames, name) != i {
			errs = append(errs, fmt.Errorf("class %d: its name %q is empty or already in use", i, name))
		}
		if config.Settings.Classes[i].Deadline <= 0 {
			errs = append(errs, fmt.Errorf(
				"class %q: its deadline is %v, must be greater than 0", name, config.Settings.Classes[i].Deadline,
			))
		}
	}
	return errs
}

// Package stricttoml reads TOML files in which every key must be known, and reports the position of each error.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads data into v. If keys are unknown, the error lists all of them, each as "name:line: unknown key a.b".
func Decode(name string, data []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeys(name, unknown)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, column := malformed.Position()
		return fmt.Errorf("%s:%d:%d: %s", name, line, column, strings.TrimPrefix(malformed.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

// unknownKeys returns an error for each unknown key, joined.
func unknownKeys(name string, unknown *toml.StrictMissingError) error {
	var errs []error
	for i := range unknown.Errors {
		key := &unknown.Errors[i]
		line, _ := key.Position()
		errs = append(errs, fmt.Errorf("%s:%d: unknown key %s", name, line, strings.Join(key.Key(), ".")))
	}
	return errors.Join(errs...)
}

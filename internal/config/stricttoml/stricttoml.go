// Package stricttoml reads TOML files in which every key must be known, and says where each error stands.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads data into v. All unknown keys are told at once, each as "name:line: unknown key a.b".
func Decode(name string, data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %s", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &bad):
		line, column := bad.Position()
		return fmt.Errorf("%s:%d:%d: %s", name, line, column, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

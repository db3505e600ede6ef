package scenario

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that scenario files hold as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; expected a value such as \"1.5s\" or \"400ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

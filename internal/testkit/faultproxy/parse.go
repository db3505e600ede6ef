package faultproxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// String returns the rule in the form that ParseRule parses.
func (r Rule) String() string {
	var b strings.Builder
	put := func(key, value string, isSet bool) {
		if isSet {
			fmt.Fprintf(&b, "%s=%s ", key, value)
		}
	}
	put("conn", strconv.Itoa(r.Connection), r.Connection > 0)
	put("dir", r.Direction.String(), true)
	put("after", r.After.String(), r.After > 0)
	put("at", strconv.FormatInt(r.Offset, 10), r.Offset > 0)
	put("match", strconv.Quote(string(r.Match)), len(r.Match) > 0)
	put("nth", strconv.Itoa(r.Occurrence), r.Occurrence > 0)
	put("for", r.Duration.String(), r.Duration > 0)
	put("rate", strconv.Itoa(r.BytesPerSecond), r.BytesPerSecond > 0)
	put("bytes", strconv.Itoa(r.ByteCount), r.ByteCount > 0)
	put("with", strconv.Quote(string(r.Replacement)), len(r.Replacement) > 0)
	return b.String() + "do=" + string(r.Fault)
}

// ParseRule parses a rule: key=value pairs separated by spaces. A value may be a quoted Go string. An example:
//
//	conn=2 dir=up match="\r\n\r\n" do=reset
func ParseRule(text string) (Rule, error) {
	var r Rule
	seen := map[string]bool{}
	for rest := strings.TrimSpace(text); rest != ""; rest = strings.TrimSpace(rest) {
		key, valueAndRest, ok := strings.Cut(rest, "=")
		if !ok {
			return Rule{}, fmt.Errorf("sockfault: %q is no key=value", rest)
		}
		var value string
		var err error
		if value, rest, err = cutValue(valueAndRest); err != nil {
			return Rule{}, fmt.Errorf("sockfault: %s: %w", key, err)
		}
		if seen[key] {
			return Rule{}, fmt.Errorf("sockfault: %s stands twice", key)
		}
		seen[key] = true
		if err := r.set(key, value); err != nil {
			return Rule{}, fmt.Errorf("sockfault: %s: %w", key, err)
		}
	}
	if err := r.Validate(); err != nil {
		return Rule{}, fmt.Errorf("sockfault: %w", err)
	}
	return r, nil
}

// cutValue splits text after its first value, which may be quoted.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", fmt.Errorf("no end of %s", text)
	}
	rest = text[len(quoted):]
	if rest != "" && rest[0] != ' ' {
		return "", "", fmt.Errorf("%q stands behind its text", rest)
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", fmt.Errorf("bad text %s", quoted)
	}
	return value, rest, nil
}

// set sets the field that belongs to a key.
func (r *Rule) set(key, value string) (err error) {
	switch key {
	case "conn":
		r.Connection, err = strconv.Atoi(value)
	case "dir":
		r.Direction, err = parseDirection(value)
	case "after":
		r.After, err = time.ParseDuration(value)
	case "at":
		r.Offset, err = strconv.ParseInt(value, 10, 64)
	case "match":
		r.Match = []byte(value)
	case "nth":
		r.Occurrence, err = strconv.Atoi(value)
	case "do":
		r.Fault = Fault(value)
	case "for":
		r.Duration, err = time.ParseDuration(value)
	case "rate":
		r.BytesPerSecond, err = strconv.Atoi(value)
	case "bytes":
		r.ByteCount, err = strconv.Atoi(value)
	case "with":
		r.Replacement = []byte(value)
	default:
		return errors.New("unknown key: conn, dir, after, at, match, nth, do, for, rate, bytes and with are known")
	}
	return err
}

func parseDirection(text string) (Direction, error) {
	for _, direction := range []Direction{Upstream, Downstream} {
		if text == direction.String() {
			return direction, nil
		}
	}
	return 0, fmt.Errorf("%q is neither up nor down", text)
}

package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// lineFields parses the values of a line, which are separated by spaces. Each method that parses takes the next value
// off the line. err holds the first error.
type lineFields struct {
	text      string // not yet parsed
	err       error
	exhausted bool // no value is left
}

// fail sets err to the error "invalid <what>" unless err holds an earlier error.
func (f *lineFields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("invalid %s", what)
	}
}

func (f *lineFields) word() string {
	if f.exhausted {
		f.fail("line: too few values")
		return ""
	}
	word, rest, more := strings.Cut(f.text, " ")
	f.text = rest
	f.exhausted = !more
	if word == "" {
		f.fail("line: an empty value")
	}
	return word
}

// rest returns the remaining text of the line as one value.
func (f *lineFields) rest() string {
	f.exhausted = true
	return f.text
}

// end returns the first error of the line. It ignores values that are left on the line.
func (f *lineFields) end() error { return f.err }

// optional parses a value. It returns "" for the value "-", which means none.
func (f *lineFields) optional() string {
	if word := f.word(); word != "-" {
		return word
	}
	return ""
}

func (f *lineFields) integer() int {
	n, err := strconv.Atoi(f.word())
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *lineFields) optionalInteger() int {
	text := f.optional()
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *lineFields) unsigned() uint64 {
	n, err := strconv.ParseUint(f.word(), 10, 64)
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *lineFields) messageID() policy.MessageID {
	n, err := strconv.ParseUint(f.word(), 10, 32)
	if err != nil {
		f.fail("message id")
	}
	return policy.MessageID(n)
}

func (f *lineFields) boolean() bool {
	switch f.word() {
	case "1":
		return true
	case "0":
		return false
	}
	f.fail("truth value")
	return false
}

func (f *lineFields) milliseconds() time.Duration {
	d, err := parseMilliseconds(f.word())
	if err != nil {
		f.fail("time")
	}
	return d
}

// maxMilliseconds bounds the absolute value of a time, so that a time.Duration can hold it.
const maxMilliseconds = 1e12

// parseMilliseconds parses a time in milliseconds, and rounds it to microseconds.
func parseMilliseconds(text string) (time.Duration, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) > maxMilliseconds {
		return 0, fmt.Errorf("time %q is not a number of milliseconds up to %g", text, maxMilliseconds)
	}
	return time.Duration(math.Round(value*1000)) * time.Microsecond, nil
}

var outcomeByName = map[string]policy.Outcome{
	"ok":             policy.OK,
	"error":          policy.Error,
	"full":           policy.Overloaded,
	"timeout":        policy.Timeout,
	"connect_failed": policy.ConnectFailed,
	"reset":          policy.Reset,
	"cancelled":      policy.Cancelled,
	"moot":           policy.NotSent,
}

func (f *lineFields) outcome() policy.Outcome {
	outcome, ok := outcomeByName[f.word()]
	if !ok {
		f.fail("outcome")
	}
	return outcome
}

// limitReport parses name:value pairs with commas between them. It ignores names that are not in limits, and values
// that are not numbers.
func (f *lineFields) limitReport(limits *limitFields) policy.LimitReport {
	var report policy.LimitReport
	text := f.optional()
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, valueText, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(valueText, 64)
		if err != nil {
			continue
		}
		switch name {
		case limits.remaining:
			report.Remaining = value
		case limits.limit:
			report.Limit = value
			report.Present = true
		}
	}
	return report
}

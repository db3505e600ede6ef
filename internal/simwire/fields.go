package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// lineFields splits a line into its values. The first error is kept, and later calls return zero values or what they
// can read.
type lineFields struct {
	text      string
	err       error
	exhausted bool
}

func (f *lineFields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s", what)
	}
}

func (f *lineFields) word() string {
	if f.exhausted {
		f.fail("line: too few values")
		return ""
	}
	w, rest, more := strings.Cut(f.text, " ")
	f.text, f.exhausted = rest, !more
	if w == "" {
		f.fail("line: an empty value")
	}
	return w
}

func (f *lineFields) rest() string {
	f.exhausted = true
	return f.text
}

// end reports what went wrong in the line so far. Values beyond those known are passed over.
func (f *lineFields) end() error { return f.err }

func (f *lineFields) optional() string {
	if w := f.word(); w != "-" {
		return w
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
	w := f.optional()
	if w == "" {
		return 0
	}
	n, err := strconv.Atoi(w)
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

func parseMilliseconds(w string) (time.Duration, error) {
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		return 0, errors.New("bad time")
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond, nil
}

var outcomeByName = map[string]policy.Outcome{
	"ok": policy.OK, "error": policy.Error, "full": policy.Overloaded, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
	"moot": policy.NotSent,
}

func (f *lineFields) outcome() policy.Outcome {
	o, ok := outcomeByName[f.word()]
	if !ok {
		f.fail("outcome")
	}
	return o
}

// limitReport reads name:value pairs; names that the settings do not explain are passed over.
func (f *lineFields) limitReport(sc *limitFields) policy.LimitReport {
	var rep policy.LimitReport
	text := f.optional()
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case sc.remaining:
			rep.Remaining = x
		case sc.limit:
			rep.Limit, rep.Present = x, true
		}
	}
	return rep
}

package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	significantDigits = 3
	// maxDecimals is the largest number of decimals. A number that needs more is written with an exponent.
	maxDecimals = 6
	// maxExactCount is the count from which Format rounds to significantDigits.
	maxExactCount = 1e6
	// maxExactInteger is the largest integer written in full. A float64 holds integers exactly up to 2^53, about 9e15.
	maxExactInteger = 1e15
)

// Format returns a value with its unit, rounded to three significant digits. Integer counts below maxExactCount are not
// rounded.
func Format(value float64, unit Unit) string {
	switch {
	case math.IsNaN(value):
		return "?"
	case math.IsInf(value, 1):
		return "none found"
	}
	switch unit {
	case Bytes, ByteRate:
		return formatBytes(value, unit)
	case Seconds:
		return formatSeconds(value)
	case Cores:
		return formatSignificant(100*value) + " % of a core"
	case Count:
		if value == math.Trunc(value) && math.Abs(value) < maxExactCount {
			return formatInteger(value)
		}
		return formatSignificant(value)
	case CountPerDay:
		return formatSignificant(value) + " a day"
	}
	return formatSignificant(value) + " " + string(unit)
}

func formatBytes(value float64, unit Unit) string {
	for _, prefix := range []struct {
		size float64
		name string
	}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
		if math.Abs(value) >= prefix.size {
			return formatSignificant(value/prefix.size) + " " + prefix.name + strings.TrimPrefix(string(unit), "B")
		}
	}
	return formatSignificant(value) + " " + string(unit)
}

func formatSeconds(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude == 0 || magnitude >= 1:
		return formatSignificant(value) + " s"
	case magnitude >= 1e-3:
		return formatSignificant(value*1e3) + " ms"
	}
	return formatSignificant(value*1e6) + " us"
}

// formatSignificant returns a number rounded to three significant digits, with commas between thousands.
func formatSignificant(value float64) string {
	if value == 0 {
		return "0"
	}
	exponent := int(math.Floor(math.Log10(math.Abs(value))))
	decimals := max(0, significantDigits-1-exponent)
	if decimals > maxDecimals {
		return strconv.FormatFloat(value, 'g', significantDigits, 64)
	}
	if unit := math.Pow(10, float64(exponent-(significantDigits-1))); unit > 1 {
		value = math.Round(value/unit) * unit
	}
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

// formatInteger returns an integer in full, with commas between thousands. Other numbers, and integers above
// maxExactInteger, are rounded to three significant digits.
func formatInteger(value float64) string {
	if value != math.Trunc(value) || math.Abs(value) > maxExactInteger {
		return formatSignificant(value)
	}
	return groupThousands(fmt.Sprintf("%.0f", value))
}

// groupThousands separates the thousands of a decimal number with commas.
func groupThousands(number string) string {
	sign := ""
	if strings.HasPrefix(number, "-") {
		sign, number = "-", number[1:]
	}
	integer, fraction, hasFraction := strings.Cut(number, ".")
	for i := len(integer) - 3; i > 0; i -= 3 {
		integer = integer[:i] + "," + integer[i:]
	}
	if hasFraction {
		return sign + integer + "." + fraction
	}
	return sign + integer
}

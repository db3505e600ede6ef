package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Format writes a value with its unit, in three figures.
func Format(v float64, u Unit) string {
	switch {
	case math.IsNaN(v):
		return "?"
	case math.IsInf(v, 1):
		return "none found"
	}
	switch u {
	case Bytes, ByteRate:
		for _, p := range []struct {
			size float64
			name string
		}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
			if math.Abs(v) >= p.size {
				return short(v/p.size) + " " + p.name + strings.TrimPrefix(string(u), "B")
			}
		}
		return short(v) + " " + string(u)
	case Seconds:
		switch a := math.Abs(v); {
		case a == 0 || a >= 1:
			return short(v) + " s"
		case a >= 1e-3:
			return short(v*1e3) + " ms"
		}
		return short(v*1e6) + " us"
	case Cores:
		return short(100*v) + " % of a core"
	case Count:
		if v == math.Trunc(v) && math.Abs(v) < 1e6 {
			return exact(v)
		}
		return short(v)
	case CountADay:
		return short(v) + " a day"
	}
	return short(v) + " " + string(u)
}

// short writes a number in three figures, with commas between thousands.
func short(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	if digits > 6 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	if unit := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2); unit > 1 {
		v = math.Round(v/unit) * unit
	}
	s := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	whole, rest, dot := strings.Cut(s, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dot {
		return sign + whole + "." + rest
	}
	return sign + whole
}

// exact writes a whole number with all its figures.
func exact(v float64) string {
	if v != math.Trunc(v) || math.Abs(v) > 1e15 {
		return short(v)
	}
	s := fmt.Sprintf("%.0f", v)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

package capacity

import (
	"math"
	"testing"
)

func TestFormat(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  Unit
		want  string
	}{
		{461.538, Rate, "462 /s"},
		{1234.5, Count, "1,230"},
		{1024, Count, "1,024"},
		{5.2e9, Count, "5,200,000,000"},
		{0.042, Cores, "4.2 % of a core"},
		{13e3, ByteRate, "13 KB/s"},
		{3.68e8, Bytes, "368 MB"},
		{12, Bytes, "12 B"},
		{0.00012, Seconds, "120 us"},
		{0.0123, Seconds, "12.3 ms"},
		{61, Seconds, "61 s"},
		{390, CountPerDay, "390 a day"},
		{math.NaN(), Bytes, "?"},
		{math.Inf(1), Count, "none found"},
		{0, Bytes, "0 B"},
		{999.9, Count, "1,000"},
		{-1500.5, Count, "-1,500"},
	} {
		if got := Format(c.value, c.unit); got != c.want {
			t.Errorf("Format(%g, %q): %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

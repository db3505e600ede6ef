package memory

import "testing"

// TestReadUsage checks that the values are plausible: a running process uses memory, and at most as much as its peak.
func TestReadUsage(t *testing.T) {
	usage := ReadUsage()
	if usage.Heap <= 0 || usage.Resident < usage.Heap || usage.Peak < usage.Resident {
		t.Errorf("%+v", usage)
	}
}

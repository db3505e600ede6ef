// Package memory bounds the memory that the peers of a process can make it hold, and reports how much memory the
// process uses. It is safe for concurrent use.
package memory

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Usage is the memory that the process uses, in bytes. Values that the system does not report are 0.
type Usage struct {
	Resident int64 // resident memory
	Peak     int64 // largest resident memory that the process has had
	Heap     int64 // objects on the heap, including those that the garbage collector has not freed yet
	GCCycles int64 // completed cycles of the garbage collector
}

const (
	statusFile      = "/proc/self/status"
	bytesPerKB      = 1 << 10
	heapObjects     = "/memory/classes/heap/objects:bytes"
	completedCycles = "/gc/cycles/total:gc-cycles"
)

// ReadUsage returns the present usage of this process.
func ReadUsage() Usage {
	samples := []metrics.Sample{{Name: heapObjects}, {Name: completedCycles}}
	metrics.Read(samples)
	usage := Usage{Heap: count(samples[0]), GCCycles: count(samples[1])}
	status, err := os.ReadFile(statusFile)
	if err != nil {
		return usage
	}
	usage.Resident = statusField(string(status), "VmRSS:")
	usage.Peak = statusField(string(status), "VmHWM:")
	return usage
}

// count returns the value of a sample, or 0 if the runtime does not have its metric.
func count(sample metrics.Sample) int64 {
	if sample.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample.Value.Uint64())
}

// statusField returns a field of a status file that is given in kB, in bytes, or 0 if there is no such field.
func statusField(status, name string) int64 {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		number := strings.TrimSuffix(strings.TrimSpace(value), " kB")
		kilobytes, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes * bytesPerKB
	}
	return 0
}

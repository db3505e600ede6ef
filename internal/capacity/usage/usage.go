// Package usage measures the processor time and the memory of this process.
package usage

import (
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessCPU returns the processor time of all threads of this process so far, the garbage collector's included.
func ProcessCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // Impossible: the arguments are valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ThreadCPU runs work and returns the processor time of its thread. Other threads, such as those of the garbage
// collector, are not included.
func ThreadCPU(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadClock()
	work()
	return threadClock() - began
}

func threadClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0 // Impossible: the arguments are valid.
	}
	return time.Duration(now.Nano())
}

// Memory collects garbage twice and returns the memory statistics after that. The second collection frees the objects
// that finalizers released after the first one.
func Memory() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

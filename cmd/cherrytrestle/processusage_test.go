package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// clockTick is the unit of the processor times in /proc/PID/stat: 1/100 s.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the process has used in user and kernel mode.
func (r *relayProcess) cpuTime() time.Duration {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	must(r.t, err)
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest)) // the fields after the process id and the name
	ticks := 0
	for _, field := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(field)
		must(r.t, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// memory returns a memory field of the process, for example relayprocess.PeakMemory, in MB.
func (r *relayProcess) memory(field string) float64 {
	r.t.Helper()
	bytes, err := relayprocess.Memory(r.cmd.Process.Pid, field)
	must(r.t, err)
	return bytes / 1e6
}

// disk returns the size of the files in the relay's state folder, in MB.
func (r *relayProcess) disk() float64 {
	r.t.Helper()
	bytes, err := relayprocess.FolderSize(relayprocess.StateFolder(r.dir))
	must(r.t, err)
	return bytes / 1e6
}

// descriptors returns the number of descriptors that the process has open.
func (r *relayProcess) descriptors() int {
	r.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	must(r.t, err)
	return len(open)
}

// limitDescriptors limits how many descriptors the running process may have open.
func (r *relayProcess) limitDescriptors(descriptors uint64) {
	r.t.Helper()
	limit := syscall.Rlimit{Cur: descriptors, Max: descriptors}
	_, _, err := syscall.RawSyscall6(
		syscall.SYS_PRLIMIT64,
		uintptr(r.cmd.Process.Pid),
		syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)),
		0,
		0,
		0,
	)
	if err != 0 {
		r.t.Fatal(err)
	}
}

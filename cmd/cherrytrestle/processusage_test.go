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

// clockTick is the unit of the processor times of the kernel's statistics.
const clockTick = 10 * time.Millisecond

// cpuTime is the processor time that the process has used.
func (r *relayProcess) cpuTime() time.Duration {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	must(r.t, err)
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest)) // without the first two fields
	ticks := 0
	for _, field := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(field)
		must(r.t, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// memory is a memory field of the process, in MB.
func (r *relayProcess) memory(field string) float64 {
	r.t.Helper()
	bytes, err := relayprocess.Memory(r.cmd.Process.Pid, field)
	must(r.t, err)
	return bytes / 1e6
}

// disk is the size of the files in the relay's state folder, in MB.
func (r *relayProcess) disk() float64 {
	r.t.Helper()
	bytes, err := relayprocess.FolderSize(relayprocess.StateFolder(r.dir))
	must(r.t, err)
	return bytes / 1e6
}

// descriptors is the number of the process's open descriptors.
func (r *relayProcess) descriptors() int {
	r.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	must(r.t, err)
	return len(open)
}

// limitDescriptors bounds the number of descriptors that the system lets the process have.
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

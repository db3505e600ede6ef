// Package bootclock reads the machine's clocks side by side: the wall clock, which may be set, and the time since the
// machine's start, which may not. What is kept over a restart of a process on the same boot can be timed by the latter.
package bootclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is both clocks at one moment.
type Reading struct {
	Wall   time.Time     // with its monotonic reading
	BootID string        // names the boot; "": not known, and then Up means nothing
	Uptime time.Duration // since the boot, time asleep included; it is never set
}

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Now reads the clocks. Where the machine tells no boot the wall time stands alone.
func Now() Reading {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Reading{Wall: time.Now()}
	}
	var up unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &up); err != nil {
		return Reading{Wall: time.Now()}
	}
	return Reading{Wall: time.Now(), BootID: strings.TrimSpace(string(id)), Uptime: time.Duration(up.Nano())}
}

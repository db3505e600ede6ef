// Package bootclock reads the machine's clocks together: the wall clock, which may be set, and the time since the
// machine was booted, which may not. The latter can measure the time between two processes of one boot.
package bootclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is what the clocks show at one moment.
type Reading struct {
	Wall   time.Time     // with its monotonic reading
	BootID string        // identifies the boot; if it is "", it is unknown and Uptime has no meaning
	Uptime time.Duration // since the boot, including time asleep; it is never set
}

// bootIDPath is where Linux shows an ID that it draws at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Now reads the clocks. On a machine without boot IDs, or without a boot clock, it reads the wall clock alone.
func Now() Reading {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Reading{Wall: time.Now()}
	}
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime); err != nil {
		return Reading{Wall: time.Now()}
	}
	return Reading{
		Wall:   time.Now(),
		BootID: strings.TrimSpace(string(id)),
		Uptime: time.Duration(uptime.Nano()),
	}
}

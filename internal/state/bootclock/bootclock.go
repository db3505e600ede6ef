// Package bootclock reads two clocks of the machine together: the wall clock, which can be set, and the boot clock,
// which counts the time since boot and cannot be set. The boot clock measures the time between two processes of one
// boot.
package bootclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a reading of both clocks at one moment.
type Reading struct {
	Wall   time.Time     // with a monotonic reading
	BootID string        // identifies the boot; "" if it is unknown, and then Uptime has no meaning
	Uptime time.Duration // time since boot, including time in suspend
}

// bootIDPath is the file with a random ID that Linux generates at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Now reads the clocks. On a machine without boot IDs or without a boot clock, it reads only the wall clock.
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

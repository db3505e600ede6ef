package operatorfile

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

const (
	maxPeers     = 1024
	maxNameBytes = 64
	maxMB        = 1 << 20 // upper bound of recorder.folder_mb and journal.bodies_mb
)

// validation collects the errors of a file.
type validation struct {
	lines map[string]int // line of each key in the file
	errs  []error
}

// check adds an error about the setting key unless ok is true.
func (v *validation) check(ok bool, key, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
	}
}

// checkAt is like check, but adds the key's line to the error if the file contains the key.
func (v *validation) checkAt(ok bool, key, format string, args ...any) {
	if line := v.lines[key]; line > 0 {
		key = fmt.Sprintf("line %d: %s", line, key)
	}
	v.check(ok, key, format, args...)
}

// validate returns all errors of a file, joined. lines holds the line of each key in the file.
func (f *File) validate(lines map[string]int) error {
	v := &validation{lines: lines}
	f.Fleet.validate(v)
	f.Log.validate(v)
	f.Recorder.validate(v)
	f.Journal.validate(v)
	return errors.Join(v.errs...)
}

func (l Log) validate(v *validation) {
	v.check(l.Format == FormatText || l.Format == FormatJSON, "log.format", `is %q, not "text" or "json"`, l.Format)
	var level slog.Level
	err := level.UnmarshalText([]byte(l.Level))
	v.check(err == nil, "log.level", `is %q, not "debug", "info", "warn" or "error"`, l.Level)
}

func (r Recorder) validate(v *validation) {
	v.check(r.RingMB >= 0.25 && r.RingMB <= 4096, "recorder.ring_mb", "is %g, not from 0.25 to 4096", r.RingMB)
	v.check(r.Write == WriteRing || r.Write == WriteAll, "recorder.write", `is %q, not "kept" or "all"`, r.Write)
	v.check(
		r.FolderMB >= 1 && r.FolderMB <= maxMB,
		"recorder.folder_mb", "is %g, not from 1 to %d", r.FolderMB, maxMB,
	)
	v.check(
		r.Folder == "" || r.RingMB <= r.FolderMB,
		"recorder.ring_mb", "is %g: the ring does not fit into folder_mb = %g", r.RingMB, r.FolderMB,
	)
}

func (j Journal) validate(v *validation) {
	_, known := syncPolicies[j.Sync]
	v.check(known, "journal.sync", `is %q, not "never", "interval" or "commit"`, j.Sync)
	v.check(
		j.IntervalMS >= 10 && j.IntervalMS <= 60000,
		"journal.sync_interval_ms", "is %g, not from 10 to 60000", j.IntervalMS,
	)
	v.check(
		j.MaxBodiesMB >= 0 && j.MaxBodiesMB <= maxMB,
		"journal.bodies_mb", "is %g, not from 0 to %d", j.MaxBodiesMB, maxMB,
	)
}

func (f Fleet) validate(v *validation) {
	const nameRule = "%q, not a name of at most 64 bytes without blanks, slashes and quotes"
	v.checkAt(validName(f.Name), "fleet.name", "is "+nameRule, f.Name)
	v.checkAt(validName(f.Label), "fleet.label", "is "+nameRule, f.Label)
	if f.Listen != "" || f.Enabled {
		v.checkAt(
			validListenAddress(f.Listen),
			"fleet.listen", `is %q, not an IP address of this machine and a port, such as "10.0.0.7:7946"`, f.Listen,
		)
	}
	v.checkAt(
		!f.Enabled || len(f.Peers) > 0,
		"fleet.join", "is empty, not a table of the names and addresses of all relays",
	)
	v.checkAt(f.Enabled || !f.ShareQuota, "fleet.rights", "needs fleet.enabled = true")
	v.checkAt(len(f.Peers) <= maxPeers, "fleet.join", "lists %d relays, %d at most", len(f.Peers), maxPeers)
	for _, name := range slices.Sorted(maps.Keys(f.Peers)) {
		key := "fleet.join." + name
		address := f.Peers[name]
		v.checkAt(name != "" && validName(name), key, "has the name "+nameRule, name)
		v.checkAt(validPeerAddress(address), key, `is %q, not an address and a port, such as "10.0.0.8:7946"`, address)
	}
}

// validName reports whether a name can be part of a report and of a path. An empty name is valid.
func validName(name string) bool {
	return len(name) <= maxNameBytes && !strings.ContainsAny(name, " /\"\t\r\n")
}

// validListenAddress reports whether an address has an IP address other than 0.0.0.0 or ::, and a port other than 0.
func validListenAddress(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() > 0 && !addrPort.Addr().IsUnspecified()
}

// validPeerAddress reports whether an address has a host, and a port from 1 to 65535.
func validPeerAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

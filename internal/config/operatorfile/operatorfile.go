// Package operator reads the operator's file: what this installation turns on beyond what the platform tells a relay.
// All of it is off where the file does not set it, and the file may be missing altogether.
package operatorfile

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// File is the operator's file.
type File struct {
	Log      Log      `toml:"log"`
	Recorder Recorder `toml:"recorder"`
	Journal  Journal  `toml:"journal"`
	Fleet    Fleet    `toml:"fleet"`
}

// Fleet says whether the relay and others of its fleet tell each other of themselves, and where.
type Fleet struct {
	Enabled    bool              `toml:"enabled"`
	Name       string            `toml:"name"`   // of this relay among them; default: the one that the platform gives it
	Label      string            `toml:"label"`  // of the fleet: relays of another one are not heard
	Listen     string            `toml:"listen"` // IP and port, for TCP and UDP
	Peers      map[string]string `toml:"join"`   // addresses of all by their names, as this relay reaches them; its own is passed over
	ShareQuota bool              `toml:"rights"` // what destinations take from all is shared by who needs it
}

// maxPeers bounds the relays of a fleet that tell each other of themselves.
const maxPeers = 1024

// Journal says what outlasts more than the process, and what is kept in memory.
type Journal struct {
	Sync        string  `toml:"sync"`             // "never", the default; "interval" or "commit": what outlasts the machine
	IntervalMS  float64 `toml:"sync_interval_ms"` // default 1000; 10 to 60000
	MaxBodiesMB float64 `toml:"bodies_mb"`        // of bodies kept in memory, the others are read from disk; 0: all are kept
}

var syncPolicies = map[string]store.SyncPolicy{
	"never":    store.SyncNever,
	"interval": store.SyncInterval,
	"commit":   store.SyncCommit,
}

// Options are those of a journal that may take limit bytes.
func (j Journal) Options(limit int64) journal.Options {
	return journal.Options{
		Limit: limit, Sync: syncPolicies[j.Sync], Interval: time.Duration(j.IntervalMS * float64(time.Millisecond)), MaxBodyBytes: int64(j.MaxBodiesMB * (1 << 20)),
	}
}

// Log says how the program's log is written.
type Log struct {
	Format string `toml:"format"` // "text", the default, or "json"
	Level  string `toml:"level"`  // "debug", "info" (the default), "warn" or "error"
}

// Recorder says whether the decisions are recorded, and where recordings go.
type Recorder struct {
	Enabled  bool    `toml:"enabled"`
	RingMB   float64 `toml:"ring_mb"`   // of memory; default 4, 0.25 at least
	Write    string  `toml:"write"`     // "kept", the default: the ring on SIGUSR1 or a crash; "all": everything as it comes
	Folder   string  `toml:"folder"`    // for the files; empty: recordings go into the log, as lines of text
	FolderMB float64 `toml:"folder_mb"` // of the files in the folder; default 64, 1 at least
}

// Modes of Recorder.Write.
const (
	WriteKept = "kept"
	WriteAll  = "all"
)

// Load reads a file; an empty path is an empty file.
func Load(path string) (File, error) {
	if path == "" {
		return Parse("", nil)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, data)
}

// Parse reads a file's text; name is for its errors, which are told all at once.
func Parse(name string, data []byte) (File, error) {
	var f File
	if err := stricttoml.Decode(name, data, &f); err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	setDefault(&f.Log.Format, "text")
	setDefault(&f.Log.Level, "info")
	setDefault(&f.Recorder.RingMB, flightrecorder.DefaultRingSize>>20)
	setDefault(&f.Recorder.Write, WriteKept)
	setDefault(&f.Recorder.FolderMB, 64)
	setDefault(&f.Journal.Sync, "never")
	setDefault(&f.Journal.IntervalMS, 1000)
	if err := f.validate(stricttoml.Lines(data)); err != nil {
		return File{}, fmt.Errorf("operator's file: %s: %w", name, err)
	}
	return f, nil
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (f *File) validate(lines map[string]int) error {
	errs := f.Fleet.validate(lines)
	bad := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	r := f.Recorder
	bad(f.Log.Format == "text" || f.Log.Format == "json", `log.format is %q, not "text" or "json"`, f.Log.Format)
	var level slog.Level
	bad(
		level.UnmarshalText([]byte(f.Log.Level)) == nil,
		`log.level is %q, not "debug", "info", "warn" or "error"`,
		f.Log.Level,
	)
	bad(r.RingMB >= 0.25 && r.RingMB <= 4096, "recorder.ring_mb is %g, not from 0.25 to 4096", r.RingMB)
	bad(r.Write == WriteKept || r.Write == WriteAll, `recorder.write is %q, not "kept" or "all"`, r.Write)
	bad(r.FolderMB >= 1 && r.FolderMB <= 1<<20, "recorder.folder_mb is %g, not from 1 to 1048576", r.FolderMB)
	bad(
		r.Folder == "" || r.RingMB <= r.FolderMB,
		"recorder.ring_mb is %g: a kept ring does not fit into folder_mb = %g",
		r.RingMB,
		r.FolderMB,
	)
	_, known := syncPolicies[f.Journal.Sync]
	bad(known, `journal.sync is %q, not "never", "interval" or "commit"`, f.Journal.Sync)
	bad(
		f.Journal.IntervalMS >= 10 && f.Journal.IntervalMS <= 60000,
		"journal.sync_interval_ms is %g, not from 10 to 60000",
		f.Journal.IntervalMS,
	)
	bad(
		f.Journal.MaxBodiesMB >= 0 && f.Journal.MaxBodiesMB <= 1<<20,
		"journal.bodies_mb is %g, not from 0 to 1048576",
		f.Journal.MaxBodiesMB,
	)
	return errors.Join(errs...)
}

func (f Fleet) validate(lines map[string]int) (errs []error) {
	bad := func(ok bool, key, format string, args ...any) {
		if ok {
			return
		}
		at := ""
		if line := lines["fleet."+key]; line > 0 {
			at = fmt.Sprintf("line %d: ", line)
		}
		errs = append(errs, fmt.Errorf(at+"fleet."+key+" "+format, args...))
	}
	named := func(s string) bool { return len(s) <= 64 && !strings.ContainsAny(s, " /\"\t\r\n") }
	bad(named(f.Name), "name", "is %q: 64 bytes at most, without blanks, slashes and quotes", f.Name)
	bad(named(f.Label), "label", "is %q: 64 bytes at most, without blanks, slashes and quotes", f.Label)
	if f.Listen != "" || f.Enabled {
		at, err := netip.ParseAddrPort(f.Listen)
		bad(
			err == nil && at.Port() > 0 && !at.Addr().IsUnspecified(),
			"listen",
			"is %q, not an IP address of this machine and a port, such as \"10.0.0.7:7946\"",
			f.Listen,
		)
	}
	bad(!f.Enabled || len(f.Peers) > 0, "join", "names nobody: a table of all relays' names and addresses is needed")
	bad(f.Enabled || !f.ShareQuota, "rights", "needs fleet.enabled = true")
	bad(len(f.Peers) <= maxPeers, "join", "names %d relays, %d at most", len(f.Peers), maxPeers)
	for _, n := range slices.Sorted(maps.Keys(f.Peers)) {
		bad(n != "" && named(n), "join."+n, "names %q: 64 bytes at most, without blanks, slashes and quotes", n)
		host, port, err := net.SplitHostPort(f.Peers[n])
		number, portErr := strconv.ParseUint(port, 10, 16)
		bad(
			err == nil && host != "" && portErr == nil && number > 0,
			"join."+n,
			"is %q, not an address and a port, such as \"10.0.0.8:7946\"",
			f.Peers[n],
		)
	}
	return errs
}

// Ring is the recorder's memory, in bytes.
func (r Recorder) Ring() int { return int(r.RingMB * (1 << 20)) }

// Handler writes the log as the file says.
func (l Log) Handler(w *os.File) slog.Handler {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo // check lets none pass
	}
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.NewJSONHandler(w, opts)
	}
	return slog.NewTextHandler(w, opts)
}

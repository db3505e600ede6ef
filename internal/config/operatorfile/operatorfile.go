// Package operatorfile reads the operator's file, an optional TOML file. It turns on features of an installation that
// the platform's configuration does not cover. All of these features are off by default.
package operatorfile

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

const bytesPerMB = 1 << 20

// File holds the settings of the operator's file.
type File struct {
	Log      Log      `toml:"log"`
	Recorder Recorder `toml:"recorder"`
	Journal  Journal  `toml:"journal"`
	Fleet    Fleet    `toml:"fleet"`
}

// Fleet configures whether the relays of a fleet exchange load reports, and under which names and addresses.
type Fleet struct {
	Enabled bool   `toml:"enabled"`
	Name    string `toml:"name"`   // of this relay; default: its name in the platform's configuration
	Label   string `toml:"label"`  // of the fleet; reports from relays with another label are ignored
	Listen  string `toml:"listen"` // IP address and port, for TCP and UDP
	// Peers maps the names of all relays of the fleet to the addresses at which this relay reaches them. This relay's
	// own entry is not used.
	Peers      map[string]string `toml:"join"`
	ShareQuota bool              `toml:"rights"` // divide the rate limits of destinations among the relays by demand
}

// Journal configures when the journal is synced to disk, which determines what survives the loss of the machine, and
// which message bodies stay in memory.
type Journal struct {
	Sync       string  `toml:"sync"`             // a key of syncPolicies; default SyncNever
	IntervalMS float64 `toml:"sync_interval_ms"` // with SyncInterval; default 1000; 10 to 60000
	// MaxBodiesMB bounds the message bodies in memory; the others are read from disk. 0 means no bound.
	MaxBodiesMB float64 `toml:"bodies_mb"`
}

// Values of Journal.Sync.
const (
	SyncNever    = "never"
	SyncInterval = "interval"
	SyncCommit   = "commit"
)

var syncPolicies = map[string]store.SyncPolicy{
	SyncNever:    store.SyncNever,
	SyncInterval: store.SyncInterval,
	SyncCommit:   store.SyncCommit,
}

// Options returns the options of a journal that occupies at most limit bytes on disk.
func (j Journal) Options(limit int64) journal.Options {
	return journal.Options{
		Limit:        limit,
		Sync:         syncPolicies[j.Sync],
		Interval:     time.Duration(j.IntervalMS * float64(time.Millisecond)),
		MaxBodyBytes: int64(j.MaxBodiesMB * bytesPerMB),
	}
}

// Log configures how the program's log is written.
type Log struct {
	Format string `toml:"format"` // FormatText, the default, or FormatJSON
	Level  string `toml:"level"`  // "debug", "info" (the default), "warn" or "error"
}

// Values of Log.Format.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Handler returns a handler that writes the log in the configured format, from the configured level up.
func (l Log) Handler(w *os.File) slog.Handler {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo // cannot happen in a validated file
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == FormatJSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// Recorder configures whether decisions are recorded, and where recordings are written.
type Recorder struct {
	Enabled  bool    `toml:"enabled"`
	RingMB   float64 `toml:"ring_mb"`   // size of the ring in memory; default 4, at least 0.25
	Write    string  `toml:"write"`     // WriteRing, the default, or WriteAll
	Folder   string  `toml:"folder"`    // for recording files; if empty, recordings go to the log as lines of text
	FolderMB float64 `toml:"folder_mb"` // limit on the total size of the files in Folder; default 64, at least 1
}

// Values of Recorder.Write.
const (
	WriteRing = "kept" // write out the ring in memory on SIGUSR1 or a crash
	WriteAll  = "all"  // write out every decision as it is made
)

// RingBytes returns the size of the recorder's ring in bytes.
func (r Recorder) RingBytes() int { return int(r.RingMB * bytesPerMB) }

// Load reads and validates the file at path. An empty path means an empty file.
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

// Parse decodes and validates the text of a file. name is the file's name in errors. If there are unknown keys, the
// error lists all of them. Otherwise it lists all invalid values.
func Parse(name string, data []byte) (File, error) {
	var file File
	if err := stricttoml.Decode(name, data, &file); err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	file.setDefaults()
	if err := file.validate(stricttoml.Lines(data)); err != nil {
		return File{}, fmt.Errorf("operator's file: %s: %w", name, err)
	}
	return file, nil
}

const (
	defaultFolderMB       = 64
	defaultSyncIntervalMS = 1000
)

func (f *File) setDefaults() {
	setDefault(&f.Log.Format, FormatText)
	setDefault(&f.Log.Level, "info")
	setDefault(&f.Recorder.RingMB, flightrecorder.DefaultRingSize/bytesPerMB)
	setDefault(&f.Recorder.Write, WriteRing)
	setDefault(&f.Recorder.FolderMB, defaultFolderMB)
	setDefault(&f.Journal.Sync, SyncNever)
	setDefault(&f.Journal.IntervalMS, defaultSyncIntervalMS)
}

// setDefault replaces a zero value with the default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

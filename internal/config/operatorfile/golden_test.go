package operatorfile

import (
	"flag"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenEveryKey reads a file that sets every key, and checks the value of each.
func TestGoldenEveryKey(t *testing.T) {
	f, err := Load(filepath.Join("testdata", "golden", "every-key.toml"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := toml.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "every-key.out.toml", string(data))
	o := f.Journal.Options(1 << 20)
	for _, c := range []struct {
		key       string
		got, want any
	}{
		{"log.format", f.Log.Format, "json"},
		{"log.level", f.Log.Level, "warn"},
		{"recorder.enabled", f.Recorder.Enabled, true},
		{"recorder.ring_mb", f.Recorder.RingBytes(), 2_621_440},
		{"recorder.write", f.Recorder.Write, "all"},
		{"recorder.folder", f.Recorder.Folder, "/var/lib/recordings"},
		{"recorder.folder_mb", f.Recorder.FolderMB, 96.0},
		{"journal.sync", o.Sync, store.SyncInterval},
		{"journal.sync_interval_ms", o.Interval, 250 * time.Millisecond},
		{"journal.bodies_mb", o.MaxBodyBytes, int64(13_107_200)},
		{"fleet.enabled", f.Fleet.Enabled, true},
		{"fleet.name", f.Fleet.Name, "relay-7"},
		{"fleet.label", f.Fleet.Label, "north"},
		{"fleet.listen", f.Fleet.Listen, "10.0.0.7:7946"},
		{"fleet.rights", f.Fleet.ShareQuota, true},
		{"fleet.join.relay-7", f.Fleet.Peers["relay-7"], "10.0.0.7:7946"},
		{"fleet.join.relay-8", f.Fleet.Peers["relay-8"], "10.0.0.8:7947"},
	} {
		if c.got != c.want {
			t.Errorf("%s is %v, want %v", c.key, c.got, c.want)
		}
	}
}

// TestGoldenDefaults pins the default values, which apply without a file.
func TestGoldenDefaults(t *testing.T) {
	f, err := Load("")
	if err != nil {
		t.Fatal(err)
	}
	data, err := toml.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "defaults.out.toml", string(data))
}

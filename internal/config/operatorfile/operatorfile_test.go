package operatorfile

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

func TestDefaults(t *testing.T) {
	f, err := Load("")
	if err != nil || f.Recorder.Enabled || f.Recorder.Write != WriteKept || f.Recorder.Ring() != 4<<20 ||
		f.Log.Format != "text" {
		t.Errorf("%+v, %v", f, err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	shipped, err := Load("../../../deploy/cherrytrestle.toml")
	if err != nil || !reflect.DeepEqual(shipped, f) {
		t.Errorf("the shipped file turns something on: %+v, %v", shipped, err)
	}
}

func TestFleet(t *testing.T) {
	f, err := Parse(
		"f.toml",
		[]byte(
			"[fleet]\nenabled = true\nname = \"r1\"\nlisten = \"127.0.0.1:7946\"\n[fleet.join]\nr1 = \"127.0.0.1:7946\"\nr2 = \"relay-2:7946\"\n",
		),
	)
	if err != nil || !f.Fleet.Enabled || f.Fleet.Peers["r2"] != "relay-2:7946" || f.Fleet.Listen != "127.0.0.1:7946" {
		t.Errorf("%+v, %v", f.Fleet, err)
	}
}

func TestJournalOptions(t *testing.T) {
	f, err := Parse("f.toml", []byte("[journal]\nsync = \"interval\"\nsync_interval_ms = 250\nbodies_mb = 0.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	if o := f.Journal.Options(3e6); o.Limit != 3e6 || o.Sync != store.SyncInterval ||
		o.Interval != 250*time.Millisecond ||
		o.MaxBodyBytes != 512<<10 {
		t.Errorf("%+v", o)
	}
	if o := (Journal{}).Options(1); o.Sync != store.SyncNever || o.MaxBodyBytes != 0 {
		t.Errorf("off: %+v", o)
	}
}

// Every error of a file is told, with its line or its key.
func TestParseReportsEveryError(t *testing.T) {
	for text, wants := range map[string][]string{
		"[recorder]\nenabeld = true\n[lgo]\nx = 1\n": {"f.toml:2: unknown key recorder.enabeld", "f.toml:3: unknown key lgo"},
		"[recorder]\nenabled = \"yes\"\n":            {"f.toml:2:"},
		"[recorder\n":                                {"f.toml:1:"},
		"[recorder]\nring_mb = 0.1\nwrite = \"some\"\nfolder_mb = -1\n[log]\nformat = \"xml\"\nlevel = \"loud\"\n": {
			"recorder.ring_mb is 0.1", `recorder.write is "some"`, "recorder.folder_mb is -1", `log.format is "xml"`, `log.level is "loud"`,
		},
		"[recorder]\nring_mb = 100\nfolder = \"/x\"\nfolder_mb = 50\n": {"does not fit into folder_mb = 50"},
		"[journal]\nsync = \"often\"\nsync_interval_ms = 1\nbodies_mb = -1\n": {
			`journal.sync is "often"`, "journal.sync_interval_ms is 1", "journal.bodies_mb is -1",
		},
		"[recorder]\nring_mb = nan\n": {"recorder.ring_mb is NaN"},
		"[fleet]\nenabled = true\n":   {`fleet.listen is ""`, "fleet.join names nobody"},
		"[fleet]\nenabled = true\nname = \"a b\"\nlabel = \"x/y\"\nlisten = \"0.0.0.0:1\"\n[fleet.join]\nb = \"10.0.0.1\"\nc = \"10.0.0.1:0\"\n": {
			`line 3: fleet.name is "a b"`, `line 4: fleet.label is "x/y"`, `line 5: fleet.listen is "0.0.0.0:1"`, `line 7: fleet.join.b is`, `line 8: fleet.join.c is`,
		},
	} {
		_, err := Parse("f.toml", []byte(text))
		for _, want := range wants {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: %v, want %q", text, err, want)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[recorder]\nenabled = true\nring_mb = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if file, err := Parse("f", data); err == nil && file.validate(nil) != nil {
			t.Errorf("taken, and wrong: %+v", file)
		}
	})
}

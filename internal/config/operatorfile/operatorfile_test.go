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

func mustParse(t *testing.T, text string) File {
	t.Helper()
	file, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestDefaults(t *testing.T) {
	file, err := Load("")
	if err != nil {
		t.Fatal(err)
	}
	r := file.Recorder
	if r.Enabled || r.Write != WriteRing || r.RingBytes() != 4<<20 || file.Log.Format != FormatText {
		t.Errorf("defaults of an empty file: %+v", file)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v, want %v", err, os.ErrNotExist)
	}
	shipped, err := Load("../../../deploy/cherrytrestle.toml")
	if err != nil || !reflect.DeepEqual(shipped, file) {
		t.Errorf("the shipped file does not have the default values: %+v, error %v", shipped, err)
	}
}

func TestFleet(t *testing.T) {
	got := mustParse(t, `
[fleet]
enabled = true
name = "r1"
listen = "127.0.0.1:7946"
[fleet.join]
r1 = "127.0.0.1:7946"
r2 = "relay-2:7946"
`).Fleet
	want := Fleet{
		Enabled: true,
		Name:    "r1",
		Listen:  "127.0.0.1:7946",
		Peers:   map[string]string{"r1": "127.0.0.1:7946", "r2": "relay-2:7946"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestJournalOptions(t *testing.T) {
	file := mustParse(t, "[journal]\nsync = \"interval\"\nsync_interval_ms = 250\nbodies_mb = 0.5\n")
	options := file.Journal.Options(3e6)
	if options.Limit != 3e6 || options.Sync != store.SyncInterval ||
		options.Interval != 250*time.Millisecond || options.MaxBodyBytes != 512<<10 {
		t.Errorf("options %+v", options)
	}
	if options := (Journal{}).Options(1); options.Sync != store.SyncNever || options.MaxBodyBytes != 0 {
		t.Errorf("options of the zero Journal: %+v", options)
	}
}

// invalidFile holds the text of a file and the texts that its error must contain.
type invalidFile struct {
	text  string
	wants []string
}

var invalidFiles = map[string]invalidFile{
	"unknown keys": {
		text:  "[recorder]\nenabeld = true\n[lgo]\nx = 1\n",
		wants: []string{"f.toml:2: unknown key recorder.enabeld", "f.toml:3: unknown key lgo"},
	},
	"wrong type": {
		text:  "[recorder]\nenabled = \"yes\"\n",
		wants: []string{"f.toml:2:"},
	},
	"no TOML": {
		text:  "[recorder\n",
		wants: []string{"f.toml:1:"},
	},
	"recorder and log out of range": {
		text: `[recorder]
ring_mb = 0.1
write = "some"
folder_mb = -1
[log]
format = "xml"
level = "loud"
`,
		wants: []string{
			"recorder.ring_mb is 0.1",
			`recorder.write is "some"`,
			"recorder.folder_mb is -1",
			`log.format is "xml"`,
			`log.level is "loud"`,
		},
	},
	"ring larger than the folder": {
		text:  "[recorder]\nring_mb = 100\nfolder = \"/x\"\nfolder_mb = 50\n",
		wants: []string{"does not fit into folder_mb = 50"},
	},
	"journal out of range": {
		text: "[journal]\nsync = \"often\"\nsync_interval_ms = 1\nbodies_mb = -1\n",
		wants: []string{
			`journal.sync is "often"`,
			"journal.sync_interval_ms is 1",
			"journal.bodies_mb is -1",
		},
	},
	"not a number": {
		text:  "[recorder]\nring_mb = nan\n",
		wants: []string{"recorder.ring_mb is NaN"},
	},
	"fleet without addresses": {
		text:  "[fleet]\nenabled = true\n",
		wants: []string{`fleet.listen is ""`, "fleet.join is empty"},
	},
	"fleet with invalid names and addresses": {
		text: `[fleet]
enabled = true
name = "a b"
label = "x/y"
listen = "0.0.0.0:1"
[fleet.join]
b = "10.0.0.1"
c = "10.0.0.1:0"
`,
		wants: []string{
			`line 3: fleet.name is "a b"`,
			`line 4: fleet.label is "x/y"`,
			`line 5: fleet.listen is "0.0.0.0:1"`,
			`line 7: fleet.join.b is`,
			`line 8: fleet.join.c is`,
		},
	},
}

// TestParseReportsEveryError checks that all errors of a file are reported, each with its line or its key.
func TestParseReportsEveryError(t *testing.T) {
	for name, c := range invalidFiles {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			for _, want := range c.wants {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("error %v, want %q in it", err, want)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[recorder]\nenabled = true\nring_mb = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if file, err := Parse("f", data); err == nil && file.validate(nil) != nil {
			t.Errorf("Parse accepted an invalid file: %+v", file)
		}
	})
}

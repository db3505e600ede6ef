package fleet

import (
	"bytes"
	"encoding/json"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The JSON that GET /v1/fleet returns and the printed table match the golden files, for a member that is up with
// every field set and for a member that is down.
func TestGoldenStatus(t *testing.T) {
	var linked Status
	golden.Fill(&linked)
	for name, want := range map[string]Status{"linked": linked, "unlinked": {DownReason: "no port"}} {
		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		file := golden.Check(t, *update, "status-"+name+".json", append(data, '\n'))
		var got Status
		if err := json.Unmarshal(file, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded status %+v\nwant %+v", name, got, want)
		}
		var text bytes.Buffer
		if err := got.Print(&text); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, *update, "status-"+name+".txt", text.Bytes())
	}
}

// A generation is written with the bytes that earlier builds wrote, and is read from an earlier build's file.
func TestGoldenIncarnation(t *testing.T) {
	const generation = 41
	cfg := Config{Folder: t.TempDir(), Log: slog.New(slog.DiscardHandler)}
	if err := writeIncarnation(cfg, generation); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(cfg.Folder, "fleet.life")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file := golden.Check(t, *update, "fleet.life", data)
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	if n := readIncarnation(cfg); n != generation {
		t.Errorf("generation %d, want %d", n, generation)
	}
}

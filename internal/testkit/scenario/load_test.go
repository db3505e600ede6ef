package scenario

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestShippedScenariosLoad(t *testing.T) {
	if len(Shipped()) < 10 {
		t.Errorf("%d shipped scenarios, want at least 10: %v", len(Shipped()), Shipped())
	}
	for _, name := range Shipped() {
		f, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if f.Name != name || f.Description == "" {
			t.Errorf("%s: name %q, about %q; want its file name and a description", name, f.Name, f.Description)
		}
		p := f.Draw(0)
		if len(p.Arrivals) == 0 || text(t, p) != text(t, f.Draw(0)) {
			t.Errorf("%s: the plan has no arrivals or is not the same when drawn again", name)
		}
	}
}

func TestLoad(t *testing.T) {
	if _, err := Load("no-such"); err == nil || !strings.Contains(err.Error(), "quiet-day") {
		t.Errorf("%v", err)
	}
	if _, err := Load("./no-such.toml"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(base), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || f.Name != "base" {
		t.Errorf("%+v, %v", f, err)
	}
	if err := os.WriteFile(path, bytes.Repeat([]byte("#"), maxFileSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "larger than") {
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	for _, name := range Shipped() {
		data, err := shipped.ReadFile("shipped/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		messages := 0.0
		for _, traffic := range file.Traffic {
			messages += traffic.Rate * (traffic.To - traffic.From).AsDuration().Seconds()
		}
		if messages > 10000 {
			return // valid, but drawing its plan would take too long
		}
		if a, b := file.Draw(0).Digest(), file.Draw(0).Digest(); a != b {
			t.Errorf("two digests of the same plan: %s and %s", a, b)
		}
	})
}

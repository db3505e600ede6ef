package policy

import (
	"encoding/hex"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// notDecisions are the source files that do not affect decisions. Revision leaves them out, so that recordings made
// before a change in them still match the revision.
var notDecisions = []string{"doc.go", "eviction.go", "inspect.go", "names.go", "revision.go", "snapshot.go"}

// Each source file of the package is either part of the revision or listed in notDecisions.
func TestRevisionCoversEveryDecisionFile(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") && !slices.Contains(notDecisions, path) {
			want = append(want, path)
		}
	}
	entries, err := fs.ReadDir(sourceFiles, ".")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, entry := range entries {
		got = append(got, entry.Name())
	}
	if !slices.Equal(got, want) {
		t.Errorf("the revision covers %v, want %v", got, want)
	}
	if len(got) < 20 {
		t.Errorf("%d files found, want at least 20", len(got))
	}
}

// The policy line of the deploy file lists every source file of this package.
func TestDeployFileListsEverySourceFile(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var line string
	for l := range strings.Lines(string(deploy)) {
		if strings.HasPrefix(l, "policy = ") {
			line = l
		}
	}
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	listed := 0
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		listed++
		if !strings.Contains(line, `"policy/`+path+`"`) {
			t.Errorf("deploy/balancer.toml does not list policy/%s", path)
		}
	}
	if n := strings.Count(line, `"policy/`); n != listed {
		t.Errorf("deploy/balancer.toml lists %d files of policy, the package has %d", n, listed)
	}
}

func TestRevisionIsHexadecimal(t *testing.T) {
	revision := Revision()
	if sum, err := hex.DecodeString(revision); err != nil || len(sum) != revisionSize {
		t.Errorf("the revision %q is not %d bytes in hexadecimal: %v", revision, revisionSize, err)
	}
	if again := Revision(); again != revision {
		t.Errorf("the revision is %q, then %q", revision, again)
	}
}

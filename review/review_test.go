//go:build review

package review

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReview builds the stand-ins and runs the script of each case. It needs the programs of the deploy file in bin/.
func TestReview(t *testing.T) {
	if out, err := exec.Command("./build.sh").CombinedOutput(); err != nil {
		t.Fatalf("build.sh: %v\n%s", err, out)
	}
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			if out, err := exec.Command("./" + script).CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

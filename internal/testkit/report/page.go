package report

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// The files that Write leaves.
const (
	PageName = "report.html"
	JSONName = "verdict.json"
	TextName = "report.txt"
)

// Write writes the report of a run into its folder, in all three forms.
func Write(dir string, h eventlog.Header, events []eventlog.Event, v checker.Verdict) error {
	for name, write := range map[string]func(*os.File) error{
		JSONName: func(f *os.File) error { return JSON(f, h, v) },
		TextName: func(f *os.File) error { return Text(f, h, events, v) },
		PageName: func(f *os.File) error { return HTML(f, h, events, v) },
	} {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := errors.Join(write(f), f.Close()); err != nil {
			return fmt.Errorf("report: %s: %w", name, err)
		}
	}
	return nil
}

// Package report presents the result of a checked run: as text, as JSON, and as an HTML page with plots that needs no
// other file.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// The files that Write creates.
const (
	PageName = "report.html"
	JSONName = "verdict.json"
	TextName = "report.txt"
)

// maxEvidence bounds how many events the text and the page quote as evidence of a violation.
const maxEvidence = 6

// Write writes the report of a run into a folder, in all three forms.
func Write(dir string, h eventlog.Header, events []eventlog.Event, result checker.Result) error {
	for name, write := range map[string]func(*os.File) error{
		JSONName: func(f *os.File) error { return JSON(f, h, result) },
		TextName: func(f *os.File) error { return Text(f, h, events, result) },
		PageName: func(f *os.File) error { return HTML(f, h, events, result) },
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

// JSON writes the header and the result of a run as JSON.
func JSON(w io.Writer, h eventlog.Header, result checker.Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Header eventlog.Header `json:"run"`
		Result checker.Result  `json:"verdict"`
		OK     bool            `json:"ok"`
	}{h, result, result.OK()})
}

// round rounds a duration to milliseconds for display.
func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// eventLine returns an event in the JSON form of the record, which omits empty fields.
func eventLine(e eventlog.Event) string {
	data, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

type recordingCommand struct {
	Info    infoCommand    `cmd:"" help:"List the recordings in files."`
	Extract extractCommand `cmd:"" help:"Write each recording in files or logs into a file of its own."`
}

type infoCommand struct {
	Files []string `arg:"" name:"file" help:"Recordings, or logs that hold them." type:"existingfile"`
}

// Run lists the recordings and their chunks, and the parts that cannot be read.
func (c *infoCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	for _, recording := range found {
		out.Printf("%016x: %s, revision %s, program %s, started %s, %d chunks, %d bytes\n", recording.ID,
			recording.Meta.Name, recording.Meta.Revision, recording.Meta.Program,
			recording.Meta.Started.Format(time.RFC3339Nano), recording.Chunks, len(recording.Data))
		if err := printEntries(out, recording.Data); err != nil {
			return err
		}
	}
	return out.Err()
}

// printEntries lists a recording's chunks, its notes and the parts that could not be read, and counts its steps.
func printEntries(out *cli.Printer, data []byte) error {
	reader, err := flightrecorder.NewReader(data)
	if err != nil {
		return err
	}
	var steps, events, actions int
	var last time.Duration
	for {
		entry, ok, err := reader.Next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		switch entry.Kind {
		case flightrecorder.Begin:
			out.Printf("  offset %d: chunk %d from %v, state of %d bytes\n", entry.At, entry.Chunk, entry.Now,
				len(entry.State))
		case flightrecorder.Step:
			steps++
			events += len(entry.Events)
			actions += len(entry.Actions)
			last = entry.Now
		case flightrecorder.Note:
			out.Printf("  offset %d: %s\n", entry.At, entry.Text)
		case flightrecorder.Lost:
			out.Printf("  offset %d: NOT READ: %s\n", entry.At, entry.Text)
		}
	}
	out.Printf("  %d steps with %d events and %d actions, until %v\n", steps, events, actions, last)
	return nil
}

type extractCommand struct {
	Files []string `arg:"" name:"file" help:"Logs, or files with parts of recordings." type:"existingfile"`
	Out   string   `help:"Folder for the recordings." default:"." type:"path"`
}

// Run writes each recording to a new file. It never overwrites a file.
func (c *extractCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o700); err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	for _, recording := range found {
		path := filepath.Join(c.Out, recordingFileName(recording))
		if err := writeNewFile(path, recording.Data); err != nil {
			return err
		}
		out.Printf("%s\n", path)
	}
	return out.Err()
}

// recordingFileName returns the name of a recording's file. The relay's name in the recording may contain slashes:
// only its last element is used, so that the file is always in the chosen folder.
func recordingFileName(recording flightrecorder.Recording) string {
	name := filepath.Base(filepath.Clean("/" + recording.Meta.Name))
	return fmt.Sprintf("%s-%016x%s", name, recording.ID, flightrecorder.FileExtension)
}

// writeNewFile creates a file. It fails if the file exists.
func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Close())
}

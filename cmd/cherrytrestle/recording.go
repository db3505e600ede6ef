package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
)

// exitDiffers is the status of a replay that parted from its recording.
const exitDiffers = 3

type replayCommand struct {
	Files []string `arg:"" name:"file" help:"Recordings: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	Quiet bool     `short:"q" help:"Print only differences and what could not be read."`
}

// Run exits with 0 if all recordings replay without a difference, with 3 if one does not, and with 1 if one cannot be
// played.
func (c *replayCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	differs := false
	for _, rec := range found {
		began := time.Now()
		res, err := replay.Play(rec.Data, replay.Visitor{})
		if err != nil {
			return fmt.Errorf("recording %016x: %w", rec.ID, err)
		}
		took := time.Since(began)
		for _, what := range res.Lost {
			fmt.Fprintf(s.Out, "%016x: not read: %s\n", rec.ID, what)
		}
		if !c.Quiet {
			fmt.Fprintf(
				s.Out,
				"%016x: %s, %s of %v, %d bytes in %d chunks: %d steps, %d events, %d actions, %d clearances, %d states; %.0f events a second\n",
				rec.ID,
				res.Meta.Name,
				revisions(res),
				(res.To - res.From).Round(time.Millisecond),
				len(rec.Data),
				res.Chunks,
				res.Steps,
				res.Events,
				res.Actions,
				res.SendChecks,
				res.States,
				float64(res.Events)/took.Seconds(),
			)
		}
		if res.Difference != nil {
			differs = true
			fmt.Fprintf(s.Out, "%016x: DIFFERS: %v\n", rec.ID, res.Difference)
		} else if !c.Quiet {
			fmt.Fprintf(s.Out, "%016x: no difference\n", rec.ID)
		}
	}
	if differs {
		return cli.Exit(exitDiffers)
	}
	return nil
}

func revisions(res replay.Result) string {
	if res.SameRevision() {
		return "revision " + res.Revision
	}
	return fmt.Sprintf("recorded by revision %s, played by %s", res.Meta.Revision, res.Revision)
}

type recordingCommand struct {
	Info    infoCommand    `cmd:"" help:"List the recordings in files."`
	Extract extractCommand `cmd:"" help:"Write each recording in files or logs into a file of its own."`
}

type infoCommand struct {
	Files []string `arg:"" name:"file" help:"Recordings, or logs that hold them." type:"existingfile"`
}

// Run lists what is there, chunk by chunk, and what of it cannot be read.
func (c *infoCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	for _, rec := range found {
		fmt.Fprintf(
			s.Out,
			"%016x: %s, revision %s, program %s, started %s, %d chunks, %d bytes\n",
			rec.ID,
			rec.Meta.Name,
			rec.Meta.Revision,
			rec.Meta.Program,
			rec.Meta.Started.Format(time.RFC3339Nano),
			rec.Chunks,
			len(rec.Data),
		)
		r, err := flightrecorder.NewReader(rec.Data)
		if err != nil {
			return err
		}
		steps, events, actions := 0, 0, 0
		var last time.Duration
		for {
			e, ok, err := r.Next()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			switch e.Kind {
			case flightrecorder.Begin:
				fmt.Fprintf(
					s.Out,
					"  offset %d: chunk %d from %v, state of %d bytes\n",
					e.At,
					e.Chunk,
					e.Now,
					len(e.State),
				)
			case flightrecorder.Step:
				steps, events, actions, last = steps+1, events+len(e.Events), actions+len(e.Actions), e.Now
			case flightrecorder.Note:
				fmt.Fprintf(s.Out, "  offset %d: %s\n", e.At, e.Text)
			case flightrecorder.Lost:
				fmt.Fprintf(s.Out, "  offset %d: NOT READ: %s\n", e.At, e.Text)
			}
		}
		fmt.Fprintf(s.Out, "  %d steps with %d events and %d actions, until %v\n", steps, events, actions, last)
	}
	return nil
}

type extractCommand struct {
	Files []string `arg:"" name:"file" help:"Logs, or files with parts of recordings." type:"existingfile"`
	Out   string   `help:"Folder for the recordings." default:"." type:"path"`
}

// Run never writes over a file.
func (c *extractCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o700); err != nil {
		return err
	}
	for _, rec := range found {
		path := filepath.Join(
			c.Out,
			fmt.Sprintf(
				"%s-%016x%s",
				filepath.Base(filepath.Clean("/"+rec.Meta.Name)),
				rec.ID,
				flightrecorder.FileExtension,
			),
		)
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return err
		}
		_, err = f.Write(rec.Data)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
		fmt.Fprintln(s.Out, path)
	}
	return nil
}

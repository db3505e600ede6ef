package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/explain"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

type explainCommand struct {
	Files       []string      `arg:"" name:"file" help:"Recordings: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	Message     string        `help:"Tell the story of this message: its trace id, or its number." xor:"what"`
	Destination *int          `help:"Tell what changed at this destination's routes." xor:"what" placeholder:"N"`
	From        time.Duration `help:"Look from this time on, since the relay's start."`
	To          time.Duration `help:"And up to this time; 0: to the end."`
	Every       time.Duration `help:"How often, in recorded time, to look at what waits; 0: after each step." default:"25ms"`
	Format      string        `help:"text, jsonl (JSON Lines, with all messages) or html (one page with plots)." enum:"text,jsonl,html" default:"text"`
	Out         string        `help:"File to write; default: standard output." placeholder:"FILE"`
	Recording   string        `help:"Only the recording whose id begins with this." placeholder:"ID"`
}

// Run explains each recording in turn.
func (c *explainCommand) Run(s *cli.Streams) (err error) {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	var out io.Writer = s.Out
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		defer func() {
			if e := f.Close(); err == nil {
				err = e
			}
		}()
		out = f
	}
	told := false
	for _, rec := range found {
		if id := fmt.Sprintf("%016x", rec.ID); len(id) < len(c.Recording) || id[:len(c.Recording)] != c.Recording {
			continue
		}
		rep, err := explain.Explain(
			rec.Data,
			explain.Options{From: c.From, To: c.To, Every: c.Every, Messages: c.Message != "" || c.Format == "jsonl"},
		)
		if err != nil {
			return fmt.Errorf("recording %016x: %w", rec.ID, err)
		}
		if c.Message != "" {
			for _, m := range rep.Messages {
				if m.Trace == c.Message || strconv.FormatUint(uint64(m.ID), 10) == c.Message {
					told = true
					if err := explain.WriteMessage(out, m); err != nil {
						return err
					}
				}
			}
			continue
		}
		told = true
		if err := c.write(out, rep); err != nil {
			return err
		}
	}
	if !told {
		return fmt.Errorf("nothing of that is recorded")
	}
	return nil
}

func (c *explainCommand) write(out io.Writer, rep *explain.Report) error {
	switch {
	case c.Format == "jsonl":
		return explain.WriteJSON(out, rep)
	case c.Format == "html":
		return explain.WriteHTML(out, rep)
	case c.Destination != nil:
		return explain.WriteTransitions(out, rep, *c.Destination)
	}
	return explain.WriteText(out, rep)
}

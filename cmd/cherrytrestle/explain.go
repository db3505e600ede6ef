package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/explain"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// errNotRecorded says that no recording matches the command's options.
var errNotRecorded = errors.New("nothing of that is recorded")

//nolint:lll // A struct tag is one line.
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
func (c *explainCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	if c.Out == "" {
		return c.explainAll(s.Out, found)
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(c.explainAll(file, found), file.Close())
}

func (c *explainCommand) explainAll(out io.Writer, found []flightrecorder.Recording) error {
	anyWritten := false
	for _, recording := range found {
		if !strings.HasPrefix(fmt.Sprintf("%016x", recording.ID), c.Recording) {
			continue
		}
		written, err := c.explain(out, recording)
		if err != nil {
			return err
		}
		anyWritten = anyWritten || written
	}
	if !anyWritten {
		return errNotRecorded
	}
	return nil
}

// explain writes one recording's report, or its report of one message, and reports whether there was any.
func (c *explainCommand) explain(out io.Writer, recording flightrecorder.Recording) (written bool, err error) {
	report, err := explain.Explain(recording.Data, explain.Options{
		From:           c.From,
		To:             c.To,
		SampleInterval: c.Every,
		Messages:       c.Message != "" || c.Format == "jsonl",
	})
	if err != nil {
		return false, fmt.Errorf("recording %016x: %w", recording.ID, err)
	}
	if c.Message == "" {
		return true, c.writeReport(out, report)
	}
	for _, message := range report.Messages {
		if message.Trace != c.Message && strconv.FormatUint(uint64(message.ID), 10) != c.Message {
			continue
		}
		written = true
		if err := explain.WriteMessage(out, message); err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *explainCommand) writeReport(out io.Writer, report *explain.Report) error {
	switch {
	case c.Format == "jsonl":
		return explain.WriteJSON(out, report)
	case c.Format == "html":
		return explain.WriteHTML(out, report)
	case c.Destination != nil:
		return explain.WriteTransitions(out, report, policy.DestinationID(*c.Destination))
	}
	return explain.WriteText(out, report)
}

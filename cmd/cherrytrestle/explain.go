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

// errNotRecorded is returned if no recording and no message matches the command's options.
var errNotRecorded = errors.New("no recording or message matches the options")

//nolint:lll // A struct tag is one line.
type explainCommand struct {
	Files       []string      `arg:"" name:"file" help:"Recordings: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	Message     string        `help:"Explain one message, by trace id or number." xor:"what"`
	Destination *int          `help:"List the state changes of this destination's endpoints." xor:"what" placeholder:"N"`
	From        time.Duration `help:"Start of the time range, as time since the relay's start."`
	To          time.Duration `help:"End of the time range, as time since the relay's start; 0: the end of the recording."`
	Every       time.Duration `help:"Interval, in recorded time, at which waiting messages are sampled; 0: after each step." default:"25ms"`
	Format      string        `help:"Output format: text, jsonl (JSON Lines, with all messages) or html (one page with plots)." enum:"text,jsonl,html" default:"text"`
	Out         string        `help:"File to write; default: standard output." placeholder:"FILE"`
	Recording   string        `help:"Explain only recordings whose id begins with this." placeholder:"ID"`
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

// explainAll explains the recordings that match the command's options.
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

// explain writes the report of a recording, or the history of one message. It reports whether it has written anything.
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

// writeReport writes a report in the chosen format.
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

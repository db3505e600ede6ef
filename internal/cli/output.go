package cli

import (
	"fmt"
	"io"
)

// Printer writes a command's output and keeps the first error, so that a command checks for errors once.
type Printer struct {
	out io.Writer
	err error
}

// NewPrinter returns a Printer that writes to out.
func NewPrinter(out io.Writer) *Printer { return &Printer{out: out} }

// Printf formats and prints like fmt.Printf. After an error it prints nothing.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// Err returns the first error of Printf.
func (p *Printer) Err() error { return p.err }

// ProgressFlags are the flags of a command that shows its progress.
type ProgressFlags struct {
	Quiet bool `help:"Show no progress." short:"q"`
}

// ProgressLine returns a progress line that writes to out, or that writes nothing if Quiet is set.
func (f ProgressFlags) ProgressLine(out io.Writer) *ProgressLine {
	if f.Quiet {
		out = io.Discard
	}
	return &ProgressLine{out: out}
}

// overwriteLine moves a terminal's cursor to the start of the line and clears the line.
const overwriteLine = "\r\x1b[K"

// ProgressLine shows progress on one line of a terminal. It ignores write errors, because a command's result does not
// depend on the line.
type ProgressLine struct{ out io.Writer }

// Start prints a heading above the line.
func (l *ProgressLine) Start(format string, args ...any) {
	_, _ = fmt.Fprintf(l.out, format+"\n", args...) // see ProgressLine
}

// Update replaces the text of the line.
func (l *ProgressLine) Update(format string, args ...any) {
	_, _ = fmt.Fprintf(l.out, overwriteLine+format, args...) // see ProgressLine
}

// End moves the terminal to the next line.
func (l *ProgressLine) End() {
	_, _ = fmt.Fprintln(l.out) // see ProgressLine
}

package cli

import (
	"bytes"
	"errors"
	"testing"
)

// limitedWriter fails each write that would exceed limit bytes in total.
type limitedWriter struct {
	bytes.Buffer
	limit int
}

var errFull = errors.New("full")

func (w *limitedWriter) Write(data []byte) (int, error) {
	if w.Len()+len(data) > w.limit {
		return 0, errFull
	}
	return w.Buffer.Write(data)
}

// TestPrinterKeepsFirstError checks that nothing is printed after an error, not even a text that would still fit.
func TestPrinterKeepsFirstError(t *testing.T) {
	out := &limitedWriter{limit: 3}
	p := NewPrinter(out)
	p.Printf("%d", 1)
	if err := p.Err(); err != nil {
		t.Errorf("error %v before the writer is full", err)
	}
	p.Printf("%s", "long")
	p.Printf("%d", 2)
	if err := p.Err(); !errors.Is(err, errFull) || out.String() != "1" {
		t.Errorf("error %v, wrote %q", err, out.String())
	}
}

func TestProgressLine(t *testing.T) {
	for _, c := range []struct {
		name  string
		flags ProgressFlags
		want  string
	}{
		{"shown", ProgressFlags{}, "a run\n\r\x1b[K1 of 2\r\x1b[K2 of 2\n"},
		{"quiet", ProgressFlags{Quiet: true}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			line := c.flags.ProgressLine(&out)
			line.Start("a %s", "run")
			for i := range 2 {
				line.Update("%d of 2", i+1)
			}
			line.End()
			if got := out.String(); got != c.want {
				t.Errorf("output %q, want %q", got, c.want)
			}
		})
	}
}

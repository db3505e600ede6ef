package main

import (
	"fmt"
	"io"
)

// printer writes a command's output and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

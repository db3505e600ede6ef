package jsonstream

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// A value of any type is skipped to its end, and the decoder continues with the value that follows.
func TestSkipValue(t *testing.T) {
	for _, c := range []struct {
		text  string
		first json.Token
	}{
		{`null`, nil},
		{`7.5`, 7.5},
		{`"x"`, "x"},
		{`{"a":[1,{"b":null}],"c":{}}`, json.Delim('{')},
		{`[[],{"a":1},"]"]`, json.Delim('[')},
	} {
		t.Run(c.text, func(t *testing.T) {
			dec := json.NewDecoder(strings.NewReader(c.text + ` "next"`))
			reads := 0
			first, err := SkipValue(dec, func() { reads++ })
			if err != nil || first != c.first || reads == 0 {
				t.Errorf("first token %v, want %v; %d reads, %v", first, c.first, reads, err)
			}
			if next, err := dec.Token(); err != nil || next != "next" {
				t.Errorf("token after the value: %v, %v; want next", next, err)
			}
		})
	}
}

// A value that is cut off is an error.
func TestSkipUnfinishedValue(t *testing.T) {
	for _, text := range []string{``, `{"a":`, `{"a":1`, `[1,`, `[{"a"`} {
		if _, err := SkipValue(json.NewDecoder(strings.NewReader(text)), func() {}); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}

func TestNoEOF(t *testing.T) {
	other := errors.New("other")
	if NoEOF(nil) != nil || !errors.Is(NoEOF(io.EOF), io.ErrUnexpectedEOF) || !errors.Is(NoEOF(other), other) {
		t.Errorf("%v, %v, %v", NoEOF(nil), NoEOF(io.EOF), NoEOF(other))
	}
}

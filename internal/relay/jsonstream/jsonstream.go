package jsonstream

import (
	"encoding/json"
	"io"
)

// NoEOF is the error for a list that ends in its middle.
func NoEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Ignored is a value of which nothing is kept.
type Ignored struct{}

// UnmarshalJSON takes anything.
func (*Ignored) UnmarshalJSON([]byte) error { return nil }

// SkipValue reads over a value, and is never further ahead than an entry of an array. before is called before each
// read. It returns the value's first token: nil for null.
func SkipValue(dec *json.Decoder, before func()) (first json.Token, err error) {
	before()
	if first, err = dec.Token(); err != nil {
		return nil, err
	}
	switch first {
	case json.Delim('{'):
		for before(); dec.More(); before() {
			if _, err := dec.Token(); err != nil {
				return nil, err
			}
			if _, err := SkipValue(dec, before); err != nil {
				return nil, err
			}
		}
	case json.Delim('['):
		for before(); dec.More(); before() {
			if err := dec.Decode(&Ignored{}); err != nil {
				return nil, err
			}
		}
	default:
		return first, nil
	}
	_, err = dec.Token()
	return first, err
}

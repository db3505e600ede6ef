// Package jsonstream helps to read JSON documents as they come, without holding all of one in memory.
package jsonstream

import (
	"encoding/json"
	"errors"
	"io"
)

// NoEOF returns err, or io.ErrUnexpectedEOF in place of io.EOF: for a document that ends in its middle.
func NoEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Ignored is a JSON value of which nothing is kept.
type Ignored struct{}

// UnmarshalJSON accepts any value.
func (*Ignored) UnmarshalJSON([]byte) error { return nil }

// SkipValue reads over a value, and is never further ahead than one element of an array. before is called before each
// read. It returns the value's first token: nil for null.
func SkipValue(dec *json.Decoder, before func()) (first json.Token, err error) {
	before()
	first, err = dec.Token()
	if err != nil {
		return nil, err
	}
	switch first {
	case json.Delim('{'):
		err = skipFields(dec, before)
	case json.Delim('['):
		err = skipElements(dec, before)
	default:
		return first, nil
	}
	if err != nil {
		return nil, err
	}
	_, err = dec.Token()
	return first, err
}

// skipFields reads over the keys and values of an object.
func skipFields(dec *json.Decoder, before func()) error {
	for before(); dec.More(); before() {
		if _, err := dec.Token(); err != nil {
			return err
		}
		if _, err := SkipValue(dec, before); err != nil {
			return err
		}
	}
	return nil
}

// skipElements reads over the elements of an array.
func skipElements(dec *json.Decoder, before func()) error {
	for before(); dec.More(); before() {
		if err := dec.Decode(&Ignored{}); err != nil {
			return err
		}
	}
	return nil
}

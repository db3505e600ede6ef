// Package jsonstream helps to read JSON documents from a stream without holding a whole document in memory.
package jsonstream

import (
	"encoding/json"
	"errors"
	"io"
)

// NoEOF returns io.ErrUnexpectedEOF if err is io.EOF, and err otherwise. It is for errors that occur inside a document.
func NoEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Ignored is a JSON value that is decoded and discarded.
type Ignored struct{}

// UnmarshalJSON accepts any value.
func (*Ignored) UnmarshalJSON([]byte) error { return nil }

// SkipValue skips the next value of dec and returns the first token of the value, which is nil for null. It holds no
// more than one element of an array in memory. It calls beforeRead before each read from dec.
func SkipValue(dec *json.Decoder, beforeRead func()) (first json.Token, err error) {
	beforeRead()
	first, err = dec.Token()
	if err != nil {
		return nil, err
	}
	switch first {
	case json.Delim('{'):
		err = skipFields(dec, beforeRead)
	case json.Delim('['):
		err = skipElements(dec, beforeRead)
	default:
		return first, nil
	}
	if err != nil {
		return nil, err
	}
	_, err = dec.Token()
	return first, err
}

// skipFields skips the keys and values of an object.
func skipFields(dec *json.Decoder, beforeRead func()) error {
	for beforeRead(); dec.More(); beforeRead() {
		if _, err := dec.Token(); err != nil {
			return err
		}
		if _, err := SkipValue(dec, beforeRead); err != nil {
			return err
		}
	}
	return nil
}

// skipElements skips the elements of an array.
func skipElements(dec *json.Decoder, beforeRead func()) error {
	for beforeRead(); dec.More(); beforeRead() {
		if err := dec.Decode(&Ignored{}); err != nil {
			return err
		}
	}
	return nil
}

package netconn

import (
	"bytes"
	"errors"
	"io"
)

// minBodyBuffer is the size with which the buffer of a body begins, in bytes.
const minBodyBuffer = 4 << 10

// ErrBodyTooLarge reports a body of more than MaxBodySize bytes.
var ErrBodyTooLarge = errors.New("body over 64 KiB")

// ReadBody reads a body of length bytes, or, if length is negative, up to its end. The buffer grows as the bytes
// arrive: a peer that announces a large body and sends none holds no memory for it. ReadBody calls reserve before it
// allocates memory, and returns ErrNoMemory if reserve returns false.
func ReadBody(body io.Reader, length int64, reserve func(bytes int) bool) ([]byte, error) {
	maxSize := MaxBodySize + 1 // one more than allowed, to detect a body that is too large
	if length >= 0 {
		if length > MaxBodySize {
			return nil, ErrBodyTooLarge
		}
		maxSize = int(length)
	}
	var data []byte
	for len(data) < maxSize {
		if len(data) == cap(data) {
			size := min(maxSize, max(minBodyBuffer, 2*cap(data)))
			if !reserve(size) {
				return nil, ErrNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return endOfBody(data, length, err)
		}
	}
	if len(data) > MaxBodySize {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}

// endOfBody returns the body whose reading ended with err, if it is complete.
func endOfBody(data []byte, length int64, err error) ([]byte, error) {
	switch {
	case !errors.Is(err, io.EOF):
		return nil, err
	case length >= 0 && int64(len(data)) < length:
		return nil, io.ErrUnexpectedEOF
	case len(data) > MaxBodySize:
		return nil, ErrBodyTooLarge
	}
	return bytes.Clone(data), nil // without the unused part of the buffer, which may be as large
}

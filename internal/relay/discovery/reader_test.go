package discovery

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// parseList reads one list from data.
func parseList(parser *Parser, data []byte) (l List, err error) {
	var head ListHead
	err = NewListReader(bytes.NewReader(data), parser).Next(&head, func(e Entry) error {
		l.Entries = append(l.Entries, e)
		return nil
	})
	l.Version, l.Full = head.Version, head.Full
	return l, err
}

// The number of entries in a list and the size of each value are limited. A list within these limits is read, whatever
// else it holds.
func TestListBounds(t *testing.T) {
	entries := func(n int) io.Reader {
		return io.MultiReader(
			strings.NewReader(`{"version":9,"servers":[7`),
			strings.NewReader(strings.Repeat(",7", n-1)),
			strings.NewReader("]}"),
		)
	}
	long := func(n int) io.Reader {
		return strings.NewReader(`{"servers":[{},"` + strings.Repeat("x", n) + `",{}]}`)
	}
	for _, c := range []struct {
		name string
		from io.Reader
		want error
	}{
		{"the maximum number of entries", entries(MaxEntries), nil},
		{"one entry more", entries(MaxEntries + 1), errTooManyEntries},
		{"an entry of the maximum size", long(MaxEntrySize - 2), nil},
		{"a longer entry", long(3 * MaxEntrySize), errEntryTooLong},
		{
			"a long value beside the entries",
			strings.NewReader(`{"x":"` + strings.Repeat("x", 3*MaxEntrySize) + `"}`),
			errEntryTooLong,
		},
		{
			"a long list beside the entries",
			strings.NewReader(`{"x":[` + strings.Repeat("7,", 3*MaxEntrySize) + `7],"servers":null}`),
			nil,
		},
	} {
		if err := NewListReader(c.from, nil).Next(&ListHead{}, nil); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
	}
}

// Whatever discovery sends, the reader does not panic, and each entry without an error can be used.
func FuzzLists(f *testing.F) {
	f.Add(
		[]byte(`{"version":2,"full":true,"servers":[{"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"store","cell":3,
		"state":"ready","weight":5}]}`),
	)
	f.Add([]byte(`{"version":-1,"servers":[7,null,{"id":"s-1","state":"gone"},{"id":"","state":"ready","cell":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := parseList(testParser(), data)
		if err != nil {
			return
		}
		for _, e := range l.Entries {
			if e.Err == nil && (e.ID == "" || !e.Removed && (e.Addr == "" || e.Zone < 0 || e.Kind < 0)) {
				t.Errorf("list %s: unusable entry %+v has no error", data, e)
			}
		}
	})
}

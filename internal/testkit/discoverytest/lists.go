// Package discoverytest writes endpoint lists for tests, in the form in which discovery gives them.
package discoverytest

import (
	"bytes"
	"fmt"
)

// ListJSON is a whole list of so many destinations, each with two hosts, that begins with some.
func ListJSON(version, destinations int, first ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":true,"servers":[`, version)
	for i, e := range first {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(e)
	}
	for i := range 2 * destinations {
		if i > 0 || len(first) > 0 {
			b.WriteByte(',')
		}
		b.WriteString(EndpointJSON(i, i/2, "ready"))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// EndpointJSON is the entry of a host that nobody answers at.
func EndpointJSON(i, dest int, state string) string {
	return fmt.Sprintf(
		`{"id":"h-%08x","addr":"127.%d.%d.%d:1","zone":"%c","kind":"gateway","cell":%d,"state":%q,"weight":500.0,"started_ms":0}`,
		uint32(i)*2654435761,
		1+i>>16,
		i>>8&255,
		i&255,
		'a'+i%2,
		100+dest,
		state,
	)
}

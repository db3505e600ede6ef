// Package discoverytest generates endpoint lists for tests, in the JSON form that discovery sends.
package discoverytest

import (
	"bytes"
	"fmt"
	"strings"
)

// ListJSON returns a full endpoint list: the entries of first, followed by two ready endpoints of each destination.
func ListJSON(version, destinations int, first ...string) []byte {
	entries := make([]string, 0, len(first)+2*destinations)
	entries = append(entries, first...)
	for i := range 2 * destinations {
		entries = append(entries, EndpointJSON(i, i/2, "ready"))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
	b.WriteByte('\n')
	return b.Bytes()
}

// hashStep is the factor that spreads endpoint numbers over all 32 bits, so that the ids in a list are not sorted.
const hashStep = 2654435761

// EndpointJSON returns the entry of the i-th endpoint. Nothing listens at its address.
func EndpointJSON(i, destination int, state string) string {
	const format = `{"id":"h-%08x","addr":"127.%d.%d.%d:1","zone":"%c","kind":"gateway","cell":%d,"state":%q,` +
		`"weight":500.0,"started_ms":0}`
	return fmt.Sprintf(format, uint32(i)*hashStep, 1+i>>16, i>>8&255, i&255, 'a'+i%2, 100+destination, state)
}

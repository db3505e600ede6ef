// Package discoverytest writes endpoint lists for tests, in the form in which discovery gives them.
package discoverytest

import (
	"bytes"
	"fmt"
	"strings"
)

// ListJSON returns a full list of so many destinations with two endpoints each, that begins with some other entries.
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

// hashStep spreads endpoint numbers over all 32 bits, so that ids come in no order.
const hashStep = 2654435761

// EndpointJSON returns the entry of an endpoint at which nobody answers.
func EndpointJSON(i, destination int, state string) string {
	const format = `{"id":"h-%08x","addr":"127.%d.%d.%d:1","zone":"%c","kind":"gateway","cell":%d,"state":%q,` +
		`"weight":500.0,"started_ms":0}`
	return fmt.Sprintf(format, uint32(i)*hashStep, 1+i>>16, i>>8&255, i&255, 'a'+i%2, 100+destination, state)
}

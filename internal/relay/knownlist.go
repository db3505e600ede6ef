package relay

import (
	"bufio"
	"fmt"
	"io"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// knownMode determines what is done with the endpoint list of a configuration.
type knownMode bool

const (
	keepKnown  knownMode = true  // the list is read and kept
	checkKnown knownMode = false // only the form of the list is checked
)

// readKnownEndpoints reads the endpoint list of a configuration. src starts just after the key of the list. A long
// list goes to a catalog while it is read.
func (c *Config) readKnownEndpoints(src io.Reader, mode knownMode) error {
	from := bufio.NewReaderSize(src, readBufferSize)
	if _, err := from.ReadSlice(':'); err != nil { // only white space precedes the colon
		return fmt.Errorf("endpoint list %q: %w", knownKey, err)
	}
	var parser *discovery.Parser
	if mode == keepKnown {
		parser = c.parser()
	}
	var head discovery.ListHead
	var short []discovery.Entry
	var long *catalog.Catalog
	err := discovery.NewListReader(from, parser).Next(&head, func(e discovery.Entry) error {
		if long != nil {
			c.addKnownEntry(long, e)
			return nil
		}
		short = append(short, e)
		if len(short) > catalog.MaxEagerEndpoints {
			long = c.newKnownCatalog(short)
			short = nil
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("endpoint list %q: %w", knownKey, err)
	}
	c.Known = discovery.List{Version: head.Version, Full: head.Full, Entries: short}
	c.KnownCatalog = long
	return nil
}

// newKnownCatalog returns a catalog with the first entries of a long list.
func (c *Config) newKnownCatalog(entries []discovery.Entry) *catalog.Catalog {
	long := catalog.New()
	long.BeginSnapshot()
	for _, e := range entries {
		c.addKnownEntry(long, e)
	}
	return long
}

// addKnownEntry adds an entry to the catalog of a long list. Unreadable entries are counted, and the first of them is
// kept for the log.
func (c *Config) addKnownEntry(long *catalog.Catalog, e discovery.Entry) {
	if e.Err == nil {
		long.Upsert(e.Endpoint)
		return
	}
	c.unreadableCount++
	if c.unreadableCount == 1 {
		c.firstUnreadable = e
	}
}

// parser returns a parser for the entries of an endpoint list.
func (c *Config) parser() *discovery.Parser {
	return &discovery.Parser{Zones: c.Zones, Kinds: c.Kinds}
}

// Package figures counts what a relay does, and writes it in the form of statsd: one name:value|type a line. Every
// process counts from 0. All of it may be used from many goroutines at once; a count costs an atomic addition.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// prefix stands before every name.
const prefix = "router."

// Result is how a message ended.
type Result int

// The ends.
const (
	Completed Result = iota // delivered
	Rejected                // refused, or handed back: its client may come again
	Failed
	resultCount
)

var resultNames = [resultCount]string{"completed", "rejected", "failed"}

// Registry are a process's. The zero value counts.
type Registry struct {
	UpstreamRequests   atomic.Int64 // messages written whole to hosts
	Reloads            atomic.Int64 // configurations taken at SIGHUP
	ReloadErrors       atomic.Int64 // and turned down
	Pending            atomic.Int64 // messages taken and not ended
	Members            atomic.Int64 // hosts in the list
	UnavailableMembers atomic.Int64 // those of them that are avoided now

	mu      sync.Mutex
	classes map[string]*[resultCount]int64 // never more than the configurations have named
}

// RegisterClass has a class counted from here on, and shown though nothing of it has ended yet.
func (f *Registry) RegisterClass(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resultsOf(name)
}

func (f *Registry) resultsOf(name string) *[resultCount]int64 {
	c := f.classes[name]
	if c == nil {
		if f.classes == nil {
			f.classes = map[string]*[resultCount]int64{}
		}
		c = new([resultCount]int64)
		f.classes[name] = c
	}
	return c
}

// CountResult counts the end of a message.
func (f *Registry) CountResult(class string, e Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resultsOf(class)[e]++
}

// WriteTo writes all figures, in a fixed order.
func (f *Registry) WriteTo(w io.Writer) (int64, error) {
	var text strings.Builder
	line := func(name string, value int64, kind string) {
		fmt.Fprintf(&text, "%s%s:%d|%s\n", prefix, name, value, kind)
	}
	f.mu.Lock()
	for _, class := range slices.Sorted(maps.Keys(f.classes)) {
		for e, n := range f.classes[class] {
			line(resultNames[e]+"."+class, n, "c")
		}
	}
	f.mu.Unlock()
	line("upstream_requests", f.UpstreamRequests.Load(), "c")
	line("pending", f.Pending.Load(), "g")
	line("members", f.Members.Load(), "g")
	line("members_unavailable", f.UnavailableMembers.Load(), "g")
	line("config_reloads", f.Reloads.Load(), "c")
	line("config_reload_errors", f.ReloadErrors.Load(), "c")
	n, err := io.WriteString(w, text.String())
	return int64(n), err
}

// Package metrics holds the counters and gauges of a relay, and writes them in the statsd format: one name:value|type
// per line. Every process starts its counters at 0. The package is safe for concurrent use, and most updates cost one
// atomic operation.
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

// prefix starts the name of every metric.
const prefix = "router."

// Metric types of the statsd format.
const (
	counter = "c"
	gauge   = "g"
)

// Result is how a message ended.
type Result int

// The results of a message.
const (
	Completed Result = iota // the message was delivered
	Rejected                // the client may submit the message again
	Failed                  // not known to be delivered, and the client must not submit the message again
	resultCount
)

var resultNames = [resultCount]string{"completed", "rejected", "failed"}

// String returns the result as it is written in the names of metrics.
func (r Result) String() string { return resultNames[r] }

// Registry holds the metrics of a process. The zero value is ready to use.
type Registry struct {
	UpstreamRequests   atomic.Int64 // messages written in full to endpoints; each attempt counts
	Reloads            atomic.Int64 // configurations accepted at SIGHUP
	ReloadErrors       atomic.Int64 // configurations rejected at SIGHUP
	Pending            atomic.Int64 // accepted messages that have not ended
	Members            atomic.Int64 // endpoints in the list
	UnavailableMembers atomic.Int64 // endpoints in the list that receive no messages at the moment

	ConnectionsOpened atomic.Int64   // connections to endpoints that were established
	ConnectionsClosed LabeledCounter // connections to endpoints that the relay closed, by reason
	SurplusReceived   LabeledCounter // times that endpoints sent bytes which belong to no request, by when
	Attempts          LabeledCounter // attempts that ended, by outcome

	ClientConnections       atomic.Int64   // connections of clients that are open
	ClientConnectionsOpened atomic.Int64   // connections of clients that were accepted
	ClientConnectionsClosed LabeledCounter // connections of clients that ended, by reason
	RequestsRejected        LabeledCounter // responses with a client error, by status

	MemoryResident atomic.Int64 // resident memory of the process, in bytes
	MemoryPeak     atomic.Int64 // largest resident memory that the process has had, in bytes
	HeapBytes      atomic.Int64 // memory of objects on the heap, in bytes
	GCCycles       atomic.Int64 // cycles of the garbage collector

	MemoryReserved LabeledGauge   // memory that is reserved for what peers send, in bytes, by account
	MemoryRefused  LabeledCounter // reservations that were refused, by account

	NotificationsSent   atomic.Int64 // final notifications that the platform confirmed
	NotificationRetries atomic.Int64 // requests with final notifications that were not confirmed

	mu      sync.Mutex
	classes map[string]*classResults // by class name; bounded by the number of classes that configurations have named
}

// classResults counts the messages of a class by their result.
type classResults [resultCount]int64

// labeledValues holds values by a label. The zero value is ready to use.
type labeledValues struct {
	mu     sync.Mutex
	values map[string]int64
}

// change replaces the value of a label by the result of a function of it.
func (v *labeledValues) change(label string, f func(int64) int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.values == nil {
		v.values = map[string]int64{}
	}
	v.values[label] = f(v.values[label])
}

func (v *labeledValues) set(label string, value int64) {
	v.change(label, func(int64) int64 { return value })
}

func (v *labeledValues) get(label string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[label]
}

// writeTo writes the values as metrics of a kind, ordered by label.
func (v *labeledValues) writeTo(text *strings.Builder, name, kind string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(v.values)) {
		writeMetric(text, name+"."+label, v.values[label], kind)
	}
}

// LabeledCounter counts events by a label. The zero value is ready to use. The number of labels must be bounded.
type LabeledCounter struct{ counts labeledValues }

// Add adds n to the counter of a label. With 0 it adds the label, so that WriteTo includes it.
func (c *LabeledCounter) Add(label string, n int64) {
	c.counts.change(label, func(count int64) int64 { return count + n })
}

// Set sets the counter of a label to a total that is counted elsewhere.
func (c *LabeledCounter) Set(label string, total int64) { c.counts.set(label, total) }

// Get returns the count of a label.
func (c *LabeledCounter) Get(label string) int64 { return c.counts.get(label) }

func (c *LabeledCounter) writeTo(text *strings.Builder, name string) {
	c.counts.writeTo(text, name, counter)
}

// LabeledGauge holds levels by a label. The zero value is ready to use. The number of labels must be bounded.
type LabeledGauge struct{ levels labeledValues }

// Set sets the level of a label.
func (g *LabeledGauge) Set(label string, level int64) { g.levels.set(label, level) }

func (g *LabeledGauge) writeTo(text *strings.Builder, name string) {
	g.levels.writeTo(text, name, gauge)
}

// RegisterClass adds the counters of a class, so that WriteTo includes them before the first message of the class ends.
func (r *Registry) RegisterClass(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resultsOf(name)
}

// resultsOf returns the counters of a class, and adds them if there are none. The caller must hold mu.
func (r *Registry) resultsOf(class string) *classResults {
	results := r.classes[class]
	if results == nil {
		if r.classes == nil {
			r.classes = map[string]*classResults{}
		}
		results = new(classResults)
		r.classes[class] = results
	}
	return results
}

// CountResult increments the counter of a class and a result by one message.
func (r *Registry) CountResult(class string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resultsOf(class)[result]++
}

// WriteTo writes all metrics in a fixed order.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	var text strings.Builder
	r.writeResults(&text)
	writeMetric(&text, "upstream_requests", r.UpstreamRequests.Load(), counter)
	writeMetric(&text, "pending", r.Pending.Load(), gauge)
	writeMetric(&text, "members", r.Members.Load(), gauge)
	writeMetric(&text, "members_unavailable", r.UnavailableMembers.Load(), gauge)
	writeMetric(&text, "config_reloads", r.Reloads.Load(), counter)
	writeMetric(&text, "config_reload_errors", r.ReloadErrors.Load(), counter)
	writeMetric(&text, "connections_opened", r.ConnectionsOpened.Load(), counter)
	r.ConnectionsClosed.writeTo(&text, "connections_closed")
	r.SurplusReceived.writeTo(&text, "surplus_received")
	r.Attempts.writeTo(&text, "attempts")
	writeMetric(&text, "notifications_sent", r.NotificationsSent.Load(), counter)
	writeMetric(&text, "notification_retries", r.NotificationRetries.Load(), counter)
	writeMetric(&text, "client_connections", r.ClientConnections.Load(), gauge)
	writeMetric(&text, "client_connections_opened", r.ClientConnectionsOpened.Load(), counter)
	r.ClientConnectionsClosed.writeTo(&text, "client_connections_closed")
	r.RequestsRejected.writeTo(&text, "requests_rejected")
	writeMetric(&text, "memory_resident", r.MemoryResident.Load(), gauge)
	writeMetric(&text, "memory_peak", r.MemoryPeak.Load(), gauge)
	writeMetric(&text, "heap_bytes", r.HeapBytes.Load(), gauge)
	writeMetric(&text, "gc_cycles", r.GCCycles.Load(), counter)
	r.MemoryReserved.writeTo(&text, "memory_reserved")
	r.MemoryRefused.writeTo(&text, "memory_refused")
	n, err := io.WriteString(w, text.String())
	return int64(n), err
}

// writeResults writes the counters of each class, ordered by class name.
func (r *Registry) writeResults(text *strings.Builder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, class := range slices.Sorted(maps.Keys(r.classes)) {
		for result, count := range r.classes[class] {
			writeMetric(text, Result(result).String()+"."+class, count, counter)
		}
	}
}

func writeMetric(text *strings.Builder, name string, value int64, kind string) {
	fmt.Fprintf(text, "%s%s:%d|%s\n", prefix, name, value, kind)
}

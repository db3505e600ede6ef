package scenario

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const digestLength = 8 // bytes

// Plan holds the services, endpoints, messages and steps of a run, as drawn from a scenario and a seed.
type Plan struct {
	File          File
	Seed          uint64
	Services      []Service
	Endpoints     []Endpoint
	Arrivals      []Arrival // sorted by time
	Steps         []Step    // sorted by time
	DiscoverySeed uint64    // seeds the random delays of discovery
}

// Service is a destination with all its endpoints, or one endpoint if the kind has SeparateEndpoints.
type Service struct {
	Name        string
	Destination int
	Spec        upstream.Spec
	Seed        uint64
}

// Endpoint is an endpoint that is in the endpoint list at some time of the run.
type Endpoint struct {
	ID              string
	Service         string
	Destination     int
	Zone            string
	Kind            string
	Weight          float64 // in the endpoint list: the calls a second that its service can serve
	ReusesAddressOf string  // id of the removed endpoint whose address it reuses; "": a new address
	AddedLater      bool    // added by a step, not present at the start
}

// String returns the text form of an endpoint; see Plan.WriteTo.
func (e Endpoint) String() string {
	return fmt.Sprintf("{ID:%v Place:%v Dest:%v Zone:%v Kind:%v Weight:%v At:%v Later:%v}",
		e.ID, e.Service, e.Destination, e.Zone, e.Kind, e.Weight, e.ReusesAddressOf, e.AddedLater)
}

// Arrival is a message that a client submits.
type Arrival struct {
	At             time.Duration
	ID             string // message id of the first submission
	Relay          int    // counted from 0
	Class          int    // index in File.Classes
	Customer       int    // index in File.Customers
	Destination    int    // counted from 1
	IdempotencyKey string
	OrderingKey    string
	BodySize       int           // bytes
	RetryDelay     time.Duration // minimum time before a retry after a rejection; 0: no retry
}

// String returns the text form of an arrival; see Plan.WriteTo.
func (a Arrival) String() string {
	return fmt.Sprintf("{At:%v ID:%v Relay:%v Class:%v Customer:%v Dest:%v Key:%v Order:%v Body:%v Again:%v}",
		a.At, a.ID, a.Relay, a.Class, a.Customer,
		a.Destination, a.IdempotencyKey, a.OrderingKey, a.BodySize, a.RetryDelay)
}

// WriteTo writes the text form of a plan. Digest hashes this text, and stored records hold the digest. The keys in the
// text and their order must therefore not change, even if a field is renamed.
func (p Plan) WriteTo(w io.Writer) (int64, error) {
	buffer := bufio.NewWriter(w)
	written := 0
	printLine := func(format string, args ...any) {
		n, _ := fmt.Fprintf(buffer, format+"\n", args...) // the buffer keeps an error, and Flush returns it
		written += n
	}
	printLine("scenario %s seed %d delays %d", p.File.Name, p.Seed, p.DiscoverySeed)
	for _, s := range p.Services {
		printLine("place %s dest %d seed %d %v", s.Name, s.Destination, s.Seed, s.Spec)
	}
	for _, e := range p.Endpoints {
		printLine("endpoint %v", e)
	}
	for _, a := range p.Arrivals {
		printLine("arrival %v", a)
	}
	for _, s := range p.Steps {
		printLine("step %v", s)
	}
	return int64(written), buffer.Flush()
}

// Digest returns a short digest that identifies the plan.
func (p Plan) Digest() string {
	hash := sha256.New()
	_, _ = p.WriteTo(hash) // writes to a hash do not fail
	return hex.EncodeToString(hash.Sum(nil)[:digestLength])
}

package fake

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// agentFaultStream is the stream of the random numbers of faults of discovery agents.
const agentFaultStream = 0x6167656e

// agentFaults are the faults of a discovery agent's answers.
type agentFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	byOp   map[scenario.Op]answerFault
}

func newAgentFaults(seed uint64) *agentFaults {
	return &agentFaults{
		random: rand.New(rand.NewPCG(seed, agentFaultStream)),
		byOp:   map[scenario.Op]answerFault{},
	}
}

// SetFault sets the ratio of the agent's answers that a fault affects; 0 ends the fault. What follows an answer does so
// within maxDelay.
func (a *DiscoveryAgent) SetFault(op scenario.Op, ratio float64, maxDelay time.Duration) {
	a.faults.mu.Lock()
	defer a.faults.mu.Unlock()
	a.faults.byOp[op] = answerFault{ratio, maxDelay}
}

// draw reports whether a fault affects an answer, and draws the delay of what follows the answer.
func (f *agentFaults) draw(op scenario.Op) (affected bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.byOp[op]
	if fault.ratio <= 0 || f.random.Float64() >= fault.ratio {
		return false, 0
	}
	return true, time.Duration(f.random.Int64N(int64(fault.maxDelay) + 1))
}

// repeatEntries returns a list that names each of its endpoints twice, if the fault affects it.
func (f *agentFaults) repeatEntries(list EndpointList) EndpointList {
	if affected, _ := f.draw(scenario.OpRepeatEntries); affected {
		list.Endpoints = append(list.Endpoints[:len(list.Endpoints):len(list.Endpoints)], list.Endpoints...)
	}
	return list
}

// refuseNotices answers a request with notices with an error, if the fault affects it.
func (f *agentFaults) refuseNotices(w http.ResponseWriter) (refused bool) {
	refused, _ = f.draw(scenario.OpRefuseNotices)
	if refused {
		w.WriteHeader(http.StatusInternalServerError)
	}
	return refused
}

// agentListener is the listener of an agent. Its connections write second copies of answers.
type agentListener struct {
	net.Listener
	faults *agentFaults
}

// Accept accepts a connection.
func (l agentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &agentConn{Conn: conn, faults: l.faults}, nil
}

// agentConn is an agent's side of a connection from a relay.
type agentConn struct {
	net.Conn
	faults  *agentFaults
	writing sync.Mutex // held while something is written
}

// Write writes to the connection. A whole answer to a request with notices or to a poll may be written once more later.
// The lines of a watch are not, since they are parts of one answer.
func (c *agentConn) Write(text []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(text)
	whole := bytes.HasPrefix(text, []byte("HTTP/1.1 ")) && !bytes.Contains(text, []byte("chunked"))
	if err != nil || !whole {
		return n, err
	}
	if affected, delay := c.faults.draw(scenario.OpCopyReplies); affected {
		copied := bytes.Clone(text)
		time.AfterFunc(delay, func() { c.writeCopy(copied) })
	}
	return n, nil
}

// writeCopy writes a second copy of an answer, unless the connection has ended.
func (c *agentConn) writeCopy(text []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.Conn.Write(text)
}

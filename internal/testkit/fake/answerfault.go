package fake

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	// answerFaultStream is the stream of the random numbers of faults on the wire.
	answerFaultStream = 0x616e7377
	// trickleInterval is the pause between two bytes of an answer that arrives byte by byte.
	trickleInterval = time.Millisecond
	// maxInformational is the highest number of 1xx answers before an answer.
	maxInformational = 3
)

const (
	informationalText = "HTTP/1.1 100 Continue\r\n\r\n"
	junkText          = "\x00\x17junk\r\n"
)

// strayAnswers are the answers that no call asked for.
var strayAnswers = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// answerFault is a fault on the wire of a service's answers.
type answerFault struct {
	ratio    float64       // of the answers that it affects
	maxDelay time.Duration // the longest time after an answer until something follows it
}

// answerFaultOps are the operations of SetAnswerFault, in the order in which they change an answer.
var answerFaultOps = []scenario.Op{
	scenario.OpInformational,
	scenario.OpJunkAnswers,
	scenario.OpCutAnswers,
	scenario.OpTrickleAnswers,
	scenario.OpCopyAnswers,
	scenario.OpStrayAnswers,
	scenario.OpBreakIdle,
}

// SetAnswerFault sets the ratio of a service's answers that a fault on the wire affects; 0 ends the fault. What follows
// an answer does so within maxDelay.
func (w *World) SetAnswerFault(name string, op scenario.Op, ratio float64, maxDelay time.Duration) error {
	return w.updateService(name, func(s *service) { s.answerFaults[op] = answerFault{ratio, maxDelay} })
}

// connBreak is how an endpoint breaks an idle connection.
type connBreak int

const (
	breakNothing connBreak = iota
	breakReset
	breakHalfClose
	breakForget // nothing that arrives later has an effect
	connBreakCount
)

// follower is what follows an answer on its connection.
type follower struct {
	delay  time.Duration
	text   string
	breaks connBreak
}

// spoiltAnswer is an answer as it is written, with the faults that were drawn for it.
type spoiltAnswer struct {
	preceding int // length of the 1xx answers that precede it
	ownLength int // length of the answer itself
	text      string
	cut       bool // the connection ends after the text
	reset     bool // it ends with a reset
	trickled  bool
	followers []follower

	// beforeLastByte is called before the last byte of a trickled answer itself is written, without what follows it in
	// text: a relay may act on the answer from that byte on. nil: nothing is called.
	beforeLastByte func()
}

// spoil draws the faults of an answer.
func (e *Endpoint) spoil(text string) spoiltAnswer {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	s := spoiltAnswer{text: text, ownLength: len(text)}
	for _, op := range answerFaultOps {
		fault := e.service.answerFaults[op]
		if fault.ratio > 0 && e.world.random.Float64() < fault.ratio {
			s.apply(op, text, e.world.random, fault.maxDelay)
		}
	}
	return s
}

// apply adds a fault to an answer whose own text is own.
func (s *spoiltAnswer) apply(op scenario.Op, own string, random *rand.Rand, maxDelay time.Duration) {
	delay := time.Duration(random.Int64N(int64(maxDelay) + 1))
	switch op {
	case scenario.OpInformational:
		preceding := strings.Repeat(informationalText, 1+random.IntN(maxInformational))
		s.preceding, s.text = len(preceding), preceding+s.text
		s.followers = append(s.followers, follower{delay: delay, text: informationalText})
	case scenario.OpJunkAnswers:
		s.text += junkText
	case scenario.OpCutAnswers:
		s.text, s.cut, s.reset = s.text[:random.IntN(len(s.text))], true, random.IntN(2) == 0
	case scenario.OpTrickleAnswers:
		s.trickled = true
	case scenario.OpCopyAnswers:
		s.followers = append(s.followers, follower{delay: delay, text: own})
	case scenario.OpStrayAnswers:
		stray := strayAnswers[random.IntN(len(strayAnswers))]
		s.followers = append(s.followers, follower{delay: delay, text: stray})
	case scenario.OpBreakIdle:
		breaks := connBreak(1 + random.IntN(int(connBreakCount)-1))
		s.followers = append(s.followers, follower{delay: delay, breaks: breaks})
	}
}

// counts reports whether what is written of an answer is an answer by the platform's rules: all of it or, of an answer
// to a single message with status 200, its first line. Whether what follows it is cut does not matter.
func (s *spoiltAnswer) counts(a answer, isBatch bool) bool {
	needed := s.ownLength
	if !isBatch && a.delivers(0) {
		needed = len(a.statusLine())
	}
	return len(s.text) >= s.preceding+needed
}

// send writes an answer, and schedules what follows it. It reports whether the connection can carry further calls.
func (c *endpointConn) send(s spoiltAnswer) bool {
	if !c.write(s) {
		return false
	}
	if s.cut {
		if s.reset {
			c.abort()
		}
		return false
	}
	c.busy.Store(false) // what follows at once finds the connection idle
	for _, f := range s.followers {
		time.AfterFunc(f.delay, func() { c.follow(f) })
	}
	return true
}

// write writes the text of an answer, and reports whether that succeeded.
func (c *endpointConn) write(s spoiltAnswer) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !s.trickled {
		_, err := io.WriteString(c, s.text)
		return err == nil
	}
	lastByte := min(s.preceding+s.ownLength, len(s.text)) - 1
	for i := range len(s.text) {
		if i == lastByte && s.beforeLastByte != nil {
			s.beforeLastByte()
		}
		if _, err := io.WriteString(c, s.text[i:i+1]); err != nil {
			return false
		}
		time.Sleep(trickleInterval)
	}
	return true
}

// follow carries out what follows an answer. It breaks the connection only if it is idle.
func (c *endpointConn) follow(f follower) {
	c.writing.Lock()
	_, _ = io.WriteString(c, f.text) // the connection may have ended
	c.writing.Unlock()
	if c.busy.Load() {
		return
	}
	switch f.breaks {
	case breakReset:
		c.abort()
	case breakHalfClose:
		if conn, ok := c.Conn.(*net.TCPConn); ok {
			_ = conn.CloseWrite() // the connection may have ended
		}
	case breakForget:
		c.forgotten.Store(true)
	}
}

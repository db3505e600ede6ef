package ingress

// CloseReason is why a client's connection ended.
type CloseReason int

// The reasons for the end of a connection.
const (
	CloseByClient       CloseReason = iota // the client closed it, or it broke
	CloseByResponse                        // its last response announced the end
	CloseRejected                          // a request was invalid or incomplete, and was answered with an error
	CloseSilent                            // no request began in time
	CloseEvictedSilent                     // another connection needed its place, and it had sent no request
	CloseEvictedIdle                       // another connection needed its place, and no request was in progress
	CloseEvictedPartial                    // its place or memory was needed, and its request was incomplete
	CloseNotWanted                         // the relay ends, or hands over
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"client", "response", "rejected", "silent", "evicted_silent", "evicted_idle", "evicted_partial", "not_wanted",
}

// String returns the reason as it is written in the names of metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons.
func CloseReasons() []string { return closeReasonNames[:] }

// Observer is told what happens on connections of clients. Its methods may be called concurrently and must not block.
type Observer interface {
	// ConnOpened reports an accepted connection.
	ConnOpened()
	// ConnClosed reports the end of a connection.
	ConnClosed(reason CloseReason)
	// RequestRejected reports a response with a client error (4xx).
	RequestRejected(status int)
}

// noObserver ignores what happens.
type noObserver struct{}

// ConnOpened implements Observer.
func (noObserver) ConnOpened() {}

// ConnClosed implements Observer.
func (noObserver) ConnClosed(CloseReason) {}

// RequestRejected implements Observer.
func (noObserver) RequestRejected(int) {}

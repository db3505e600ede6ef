package egress

// CloseReason is why the relay closed a connection to an endpoint.
type CloseReason int

// The reasons to close a connection.
const (
	CloseKeepAlive  CloseReason = iota // it was idle for almost the endpoints' keep-alive time
	CloseByPeer                        // the endpoint closed it, or it broke, while it was idle
	CloseSurplus                       // the endpoint sent bytes that no request had asked for
	CloseEvicted                       // another connection needed its place
	CloseNotWanted                     // the endpoint was removed or ejected, or the relay ends
	CloseFailed                        // its call ended without a complete response
	CloseByResponse                    // its response was complete, but allows no other call
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"keep_alive", "peer", "surplus", "evicted", "not_wanted", "failed", "response",
}

// String returns the reason as it is written in logs and in the names of metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons.
func CloseReasons() []string { return closeReasonNames[:] }

// Surplus is when bytes of an endpoint were found that belong to no request.
type Surplus int

// The times at which surplus bytes are found.
const (
	SurplusIdle           Surplus = iota // while the connection was idle
	SurplusBeforeRequest                 // just before a request was written
	SurplusBehindResponse                // behind a complete response
	SurplusOtherCall                     // in place of the response to a call: a response to another one
	surplusCount
)

var surplusNames = [surplusCount]string{"idle", "before_request", "behind_response", "other_call"}

// String returns the time as it is written in logs and in the names of metrics.
func (s Surplus) String() string { return surplusNames[s] }

// Surpluses returns the names of all times at which surplus bytes are found.
func Surpluses() []string { return surplusNames[:] }

// Observer is told what happens on connections to endpoints. Its methods may be called concurrently and must not block.
type Observer interface {
	// RequestWritten reports that a request with so many messages was written completely.
	RequestWritten(messages int)
	// ConnOpened reports a new connection.
	ConnOpened()
	// ConnClosed reports that the relay closed a connection.
	ConnClosed(reason CloseReason)
	// SurplusReceived reports bytes that belong to no request of their connection.
	SurplusReceived(when Surplus)
}

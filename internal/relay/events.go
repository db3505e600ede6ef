package relay

import (
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
)

// The events of the loop, besides policy's own.
type (
	submitEvent struct {
		message    *journal.Message
		acceptedAs *message    // what it was taken for
		reply      chan answer // takes one without waiting
	}
	cancelEvent  struct{ messageID uint32 }
	callFinished struct {
		call    *call
		results []result
	}
	attemptTimeout struct{ attempt *attempt }
	sendCheck      struct {
		call  *call
		reply chan []*attempt // those that may still leave
	}
	notificationsAcked struct{ messageIDs []uint32 } // their notices were taken
	stopAccepting      struct{}                      // no more messages come
	stopSending        struct{}                      // from here on only outcomes are noted
	tick               struct{}                      // asks for a step
)

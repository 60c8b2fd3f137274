package scenarios

import (
	"errors"
	"fmt"

	"ospreycroft/internal/distribution"
)

// subscriberFault is a defect injected into the subscribers of all limiters, to verify that a check detects it. The
// zero value is no defect.
type subscriberFault string

const (
	noSubscriberFault subscriberFault = ""
	keepsToFirstRelay subscriberFault = "keeps to its first relay" // it never polls the second one
	acceptsOlderState subscriberFault = "takes an older state"     // from a relay that is behind the subscriber
)

var subscriberFaults = []subscriberFault{keepsToFirstRelay, acceptsOlderState}

// parseSubscriberFault parses the words of a step. It returns an error for unknown words.
func parseSubscriberFault(words string) (subscriberFault, error) {
	for _, fault := range subscriberFaults {
		if string(fault) == words {
			return fault, nil
		}
	}
	return noSubscriberFault, fmt.Errorf("unknown subscriber fault %q; want one of %q", words, subscriberFaults)
}

// acceptOlderState implements acceptsOlderState: where the relay answered that it is behind the subscriber, it
// replaces the subscriber by one restored from the relay's older state. It reports whether it did.
func (n *network) acceptOlderState(p, server *peer, err error) bool {
	var behind *distribution.BehindError
	if n.fault != acceptsOlderState || p.relay != nil || !errors.As(err, &behind) {
		return false
	}
	subscriber := n.newSubscriber(p)
	if subscriber.Restore(server.poller.Version(), server.poller.State().Clone(), 0) != nil {
		return false
	}
	p.poller.Subscriber = subscriber
	return true
}

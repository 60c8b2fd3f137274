package scenarios

import (
	"errors"
	"fmt"

	"ospreycroft/internal/distribution"
)

// subscriberFault is a way in which the subscribers of all limiters are broken on purpose, to see a check fail.
type subscriberFault string

const (
	noSubscriberFault subscriberFault = ""
	keepsToFirstRelay subscriberFault = "keeps to its first relay" // it never asks the other one
	acceptsOlderState subscriberFault = "takes an older state"     // of a relay that is behind it
)

var subscriberFaults = []subscriberFault{keepsToFirstRelay, acceptsOlderState}

// parseSubscriberFault reads a way from a story.
func parseSubscriberFault(words string) (subscriberFault, error) {
	for _, fault := range subscriberFaults {
		if string(fault) == words {
			return fault, nil
		}
	}
	return noSubscriberFault, fmt.Errorf("no subscriber %q: one of %q", words, subscriberFaults)
}

// acceptOlderState makes a subscriber that takes older states begin anew with the state of its relay where that is
// behind it, and tells whether it did.
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

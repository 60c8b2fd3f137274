package limiter

import "ospreycroft/choice"

// End is a way in which a connection can end, whoever ends it.
type End uint8

const (
	Refused    End = iota // it never came up
	DialOver              // it did not come up in time
	PeerClosed            // the other side ended it
	PeerReset             // the other side broke it off
	Garbled               // we ended it: what came was not understood
	CalledOff             // we ended it: the module called the attempt off
	TimeOver              // we ended it: the request's time was over
	Silent                // we ended it: nothing came for too long
	Unused                // we ended it: it was idle, or there was need of its descriptor
	NoRoom                // it was not opened: there was no descriptor left for it
	Overrun               // we ended it: the client does not read its answers
)

// outcome is the one place where the end of a connection becomes the outcome of an attempt that was out on it. An attempt
// is whole once the kernel has taken its last byte: it may have run then. One that is not whole never ran.
func (e End) outcome(whole bool) choice.Outcome {
	switch {
	case whole && e == CalledOff:
		return choice.Cancelled
	case whole && e == TimeOver:
		return choice.TimedOut
	case whole:
		return choice.Reset
	case e == CalledOff, e == TimeOver, e == NoRoom, e == Unused:
		// Our own doing, before the server had a part in it: it says nothing of the server.
		return choice.Moot
	}
	return choice.Unconnected
}

// counted is the same for a call to the counter: one that is whole may have been added, and one that is not was
// not added. Where the line broke or brought nonsense, the counter itself is neither down nor crowded.
func (e End) counted(whole bool) choice.Outcome {
	switch {
	case whole && (e == PeerClosed || e == PeerReset || e == Garbled):
		return choice.Broke
	case whole:
		return choice.TimedOut
	}
	return choice.Unconnected
}

func (e End) String() string {
	return [...]string{"refused", "dial-over", "peer-closed", "peer-reset", "garbled", "called-off", "time-over",
		"silent", "unused", "no-room", "overrun"}[e]
}

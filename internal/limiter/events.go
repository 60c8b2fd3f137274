package limiter

import "ospreycroft/internal/settings"

// ConnID identifies a connection.
type ConnID uint64

// Event is something that happened on the sockets or to the process: one of the types below. Step does not keep it, so
// that passing one need not allocate.
type Event interface{ isEvent() }

type (
	// ClientAccepted reports that a client has connected.
	ClientAccepted struct{ Conn ConnID }
	// Connected reports that a dialled connection is up.
	Connected struct{ Conn ConnID }
	// DataReceived reports that bytes have come, which Effects.Read copies during this Step.
	DataReceived struct {
		Conn ConnID
		Size int   // number of bytes, above 0
		Age  int64 // nanoseconds since the last of them reached this machine
	}
	// ConnClosed reports that the peer has ended a connection, or a dial has failed.
	ConnClosed struct {
		Conn   ConnID
		Reason CloseReason
	}
	// TimersDue reports that the time of the latest Effects.SetTimer has come.
	TimersDue struct{}
	// ShutdownRequested reports that the process is to shut down gracefully.
	ShutdownRequested struct{}
	// ConfigReloaded reports that the configuration file was replaced.
	ConfigReloaded struct{ Config *settings.Config }
)

func (ClientAccepted) isEvent() {}

func (Connected) isEvent() {}

func (DataReceived) isEvent() {}

func (ConnClosed) isEvent() {}

func (TimersDue) isEvent() {}

func (ShutdownRequested) isEvent() {}

func (ConfigReloaded) isEvent() {}

// Effects are the operations that the reducer needs from the sockets. All durations are nanoseconds.
type Effects interface {
	// Dial starts a connection; Connected or ConnClosed follows.
	Dial(address string, timeout int64) ConnID
	// Read copies the bytes of the present DataReceived event.
	Read(into []byte)
	// Write sends bytes on a connection that is up, and does nothing if it has ended. It does not keep the slice.
	Write(id ConnID, bytes []byte)
	// Alive tells whether a connection that is up is still open, as far as the sockets know. For a dialled one it also
	// tells whether events have reported all bytes that came.
	Alive(id ConnID) bool
	// PeerGone tells whether a client has disconnected, even if no event has reported it yet.
	PeerGone(id ConnID) bool
	// UnreadFor is how long a client's connection has had bytes in the kernel that are not read, nanoseconds; 0 if it has
	// none. PeerGone cannot tell of a close behind them.
	UnreadFor(id ConnID) int64
	// Written is how many of a connection's bytes the kernel has taken.
	Written(id ConnID) int64
	// Close ends a connection if it is still open; no event follows. It returns how many bytes the kernel has taken,
	// which is final.
	Close(id ConnID) int64
	// CloseGracefully ends a client's connection, unless bytes have come that no event has reported yet, and tells
	// whether it did. Output still arrives, input is no longer read. If the client does not close its side, the
	// connection is shut down after a time, but not while its machine has output to acknowledge, which may take up to
	// most.
	CloseGracefully(id ConnID, after, most int64) bool
	// HasBacklog tells whether clients wait in the kernel to be accepted.
	HasBacklog() bool
	// SinceStep is how long ago the present call of Step began. It is long only if the process was held up meanwhile.
	SinceStep() int64
	// SetTimer asks for TimersDue at a time; it replaces the time set before.
	SetTimer(at int64)
	// WallClock is the machine's wall clock in nanoseconds of Unix time, which may be stepped. The times given to Step
	// advance evenly from its value at the start.
	WallClock() int64
}

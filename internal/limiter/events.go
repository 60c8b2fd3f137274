package limiter

import "ospreycroft/internal/settings"

// ConnID names a connection.
type ConnID uint64

// Event is something that happened on the sockets or to the process: one of the types below. Step does not keep it, so
// that a caller's event costs no allocation.
type Event interface{ isEvent() }

type (
	// ClientAccepted says that a client has connected.
	ClientAccepted struct{ Conn ConnID }
	// Connected says that a connection that was dialled is up.
	Connected struct{ Conn ConnID }
	// DataReceived says that bytes have come; Effects.Read gives them while the event is taken.
	DataReceived struct {
		Conn ConnID
		Size int   // bytes
		Age  int64 // how long ago the last of them came to this machine, nanoseconds
	}
	// ConnClosed says that a connection has ended from the other side, or did not come up.
	ConnClosed struct {
		Conn   ConnID
		Reason CloseReason
	}
	// TimersDue says that the time of Effects.SetTimer has come.
	TimersDue struct{}
	// ShutdownRequested says that the process is to end gracefully.
	ShutdownRequested struct{}
	// ConfigReloaded says that the configuration was replaced.
	ConfigReloaded struct{ Config *settings.Config }
)

func (ClientAccepted) isEvent() {}

func (Connected) isEvent() {}

func (DataReceived) isEvent() {}

func (ConnClosed) isEvent() {}

func (TimersDue) isEvent() {}

func (ShutdownRequested) isEvent() {}

func (ConfigReloaded) isEvent() {}

// Effects are what the reducer asks of the sockets.
type Effects interface {
	// Dial begins a connection; Connected or Ended follows.
	Dial(address string, timeout int64) ConnID
	// Read copies the bytes that the present event told of.
	Read(into []byte)
	Write(id ConnID, bytes []byte)
	// Alive tells whether a connection that is up has not ended, as far as the sockets know; of one that was dialled,
	// also whether all that has come on it was told.
	Alive(id ConnID) bool
	// PeerGone tells whether a client has ended its connection, also where no event has told of that yet.
	PeerGone(id ConnID) bool
	// Written tells how many bytes the kernel has taken.
	Written(id ConnID) int64
	// Close ends the connection, if it has not ended yet; no event follows. It tells how many bytes the
	// kernel had taken, which will not become more.
	Close(id ConnID) int64
	// CloseGracefully ends a client's connection unless bytes have come on it that no event has told of yet, and tells
	// whether it did. What was written arrives; what comes from then on is never read. It is broken off so long after,
	// if the client does not end it, but not while its machine lacks bytes, which may last up to the longest time.
	CloseGracefully(id ConnID, after, most int64) bool
	// HasBacklog tells whether some clients wait in the kernel to be let in.
	HasBacklog() bool
	// SetTimer asks for Due at a time; only the latest wish counts.
	SetTimer(at int64)
	// WallClock is the machine's wall clock, nanoseconds of Unix time, which may step. The times that Step is given go on
	// evenly from what it was at the start.
	WallClock() int64
}

package main

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/syscallshim"
	"ospreycroft/internal/lab/testbed"
)

// brokenConnErrnos are the errors, beside a reset, that Linux returns for a read of a broken connection.
var brokenConnErrnos = []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH}

// connBreaker breaks a connection of the program at its next read, once peerAddress is set.
type connBreaker struct {
	peerAddress atomic.Value // string: the other side of the connection to break, empty for none
	breaks      atomic.Int64 // reads that failed
	errno       unix.Errno
}

// decide fails reads of the chosen connection and lets every other call proceed.
func (b *connBreaker) decide(c syscallshim.Call) syscallshim.Decision {
	peerAddress, ok := b.peerAddress.Load().(string)
	if !ok || c.Number != unix.SYS_READ || !c.IsSocket() || !isConnectedTo(c, peerAddress) {
		return syscallshim.Decision{}
	}
	b.breaks.Add(1)
	return syscallshim.Decision{Errno: b.errno, Shutdown: true}
}

// startWithConnBreaker starts the program with one server and accepts its connection to the counter.
func startWithConnBreaker(
	t *testing.T,
	b *connBreaker,
) (h *programHarness, server *testbed.Peer, counterConn *testbed.Conn) {
	t.Helper()
	log, _ := logFile(t)
	server = testbed.Listen(t)
	h = startHarnessWithShim(t, server.Address, log, b.decide)
	return h, server, h.counter.Accept(t)
}

// isConnectedTo tells whether a call is on a connection to the port of an address.
func isConnectedTo(c syscallshim.Call, address string) bool {
	fd, err := c.Descriptor()
	if err != nil {
		return false
	}
	defer func() { _ = unix.Close(fd) }()
	peer, err := unix.Getpeername(fd)
	inet, ok := peer.(*unix.SockaddrInet4)
	return err == nil && ok && strings.HasSuffix(address, ":"+strconv.Itoa(inet.Port))
}

// TestServerConnectionBreaks: the connection to the server breaks while an idempotent request is in flight. The request
// is not lost: it is retried, or rejected where no other server is left.
func TestServerConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			h.client.Send(t, testbed.Request("id", "read", 3000))
			counterConn.ReadLine(t)
			counterConn.Send(t, "ok 1\r\n")
			serverConn := server.Accept(t)
			serverConn.ReadCommand(t)
			b.peerAddress.Store(server.Address)
			serverConn.SendServed(t, "value")
			require.Contains(t, h.client.ReadAnswer(t), "-BUSY") // there is no other server to retry on
			require.Positive(t, b.breaks.Load())
		})
	}
}

// TestClientConnectionBreaks: a client's connection breaks with an error of the kernel while its request is in flight.
// The request is not retried, and other clients are served.
func TestClientConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			other := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
			h.client.Send(t, testbed.Request("gone", "read", 3000))
			counterConn.ReadLine(t)
			counterConn.Send(t, "ok 1\r\n")
			first := server.Accept(t)
			require.Equal(t, "gone", first.ReadCommand(t)[2])

			b.peerAddress.Store(h.client.TCP.LocalAddr().String())
			h.client.Send(t, "*1\r\n$4\r\nPING\r\n") // makes the program read the connection
			_, err := h.client.ReadToEnd(t)
			require.NoError(t, err, "the connection is closed without an answer")
			require.Positive(t, b.breaks.Load())
			require.NoError(t, first.TCP.Close())

			other.Send(t, testbed.Request("stays", "read", 3000))
			counterConn.ReadLine(t) // settles the abandoned request's units, or reserves this one's
			counterConn.Send(t, "ok 1\r\n")
			second := server.Accept(t)
			require.Equal(t, "stays", second.ReadCommand(t)[2], "the abandoned request is not retried")
			second.SendServed(t, "value")
			require.Equal(t, "$value", other.ReadAnswer(t))
		})
	}
}

// TestCounterConnectionBreaks: the connection to the counter breaks during a call. The local quota decides on the
// request, and the next call uses a new connection.
func TestCounterConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			h.client.Send(t, testbed.Request("id", "read", 3000))
			require.Contains(t, counterConn.ReadLine(t), "tally ")
			b.peerAddress.Store(h.counter.Address)
			counterConn.Send(t, "ok 1\r\n")
			serverConn := server.Accept(t)
			require.Equal(t, "id", serverConn.ReadCommand(t)[2])
			b.peerAddress.Store("")
			serverConn.SendServed(t, "value")
			require.Equal(t, "$value", h.client.ReadAnswer(t))
			require.Positive(t, b.breaks.Load())

			h.client.Send(t, testbed.Request("next", "read", 3000))
			newCounterConn := h.counter.Accept(t)
			require.Contains(t, newCounterConn.ReadLine(t), "tally ")
			newCounterConn.Send(t, "ok 1\r\n")
		})
	}
}

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

// brokenConnErrnos are the errors that Linux gives for reads of a broken connection, beside a reset.
var brokenConnErrnos = []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH}

// connBreaker breaks a connection of the program, at its next read, once it is told which.
type connBreaker struct {
	peerAddress atomic.Value // string: of the other side
	breaks      atomic.Int64
	errno       unix.Errno
}

// decide breaks the connection, and lets all else go on.
func (b *connBreaker) decide(c syscallshim.Call) syscallshim.Decision {
	peerAddress, ok := b.peerAddress.Load().(string)
	if !ok || c.Number != unix.SYS_READ || !c.IsSocket() || !isConnectedTo(c, peerAddress) {
		return syscallshim.Decision{}
	}
	b.breaks.Add(1)
	return syscallshim.Decision{Errno: b.errno, Break: true}
}

// startWithConnBreaker starts the program with one server, and gives its line to the counter.
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

// isConnectedTo tells whether a call is on a connection to an address.
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

// TestServerConnectionBreaks: the connection to the server breaks under a request that may run again. The request is not
// lost: it goes again, or is rejected.
func TestServerConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			h.client.Say(t, testbed.Request("id", "read", 3000))
			counterConn.Line(t)
			counterConn.Say(t, "ok 1\r\n")
			serverConn := server.Accept(t)
			serverConn.Command(t)
			b.peerAddress.Store(server.Address)
			serverConn.Serve(t, "value")
			require.Contains(t, h.client.Answer(t), "-BUSY") // there is no other server to go to
			require.Positive(t, b.breaks.Load())
		})
	}
}

// TestClientConnectionBreaks: a client's connection breaks, by an error that the kernel gives for that, while its request
// is at the server. Nothing more is sent for it, and other clients are served.
func TestClientConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			other := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
			h.client.Say(t, testbed.Request("gone", "read", 3000))
			counterConn.Line(t)
			counterConn.Say(t, "ok 1\r\n")
			first := server.Accept(t)
			require.Equal(t, "gone", first.Command(t)[2])

			b.peerAddress.Store(h.client.TCP.LocalAddr().String())
			h.client.Say(t, "*1\r\n$4\r\nPING\r\n") // so that there is something to read
			_, err := h.client.Rest(t)
			require.NoError(t, err, "it is closed with no answer")
			require.Positive(t, b.breaks.Load())
			require.NoError(t, first.TCP.Close())

			other.Say(t, testbed.Request("stays", "read", 3000))
			counterConn.Line(t) // the units of the one that has gone, or those of this one
			counterConn.Say(t, "ok 1\r\n")
			second := server.Accept(t)
			require.Equal(t, "stays", second.Command(t)[2], "the one that has gone is not sent again")
			second.Serve(t, "value")
			require.Equal(t, "$value", other.Answer(t))
		})
	}
}

// TestCounterConnectionBreaks: the connection to the counter breaks under a call. The local quota decides on its request,
// and the counter is asked again on a new connection.
func TestCounterConnectionBreaks(t *testing.T) {
	for _, errno := range brokenConnErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &connBreaker{errno: errno}
			h, server, counterConn := startWithConnBreaker(t, b)
			h.client.Say(t, testbed.Request("id", "read", 3000))
			require.Contains(t, counterConn.Line(t), "tally ")
			b.peerAddress.Store(h.counter.Address)
			counterConn.Say(t, "ok 1\r\n")
			serverConn := server.Accept(t)
			require.Equal(t, "id", serverConn.Command(t)[2])
			b.peerAddress.Store("")
			serverConn.Serve(t, "value")
			require.Equal(t, "$value", h.client.Answer(t))
			require.Positive(t, b.breaks.Load())

			h.client.Say(t, testbed.Request("next", "read", 3000))
			newCounterConn := h.counter.Accept(t)
			require.Contains(t, newCounterConn.Line(t), "tally ")
			newCounterConn.Say(t, "ok 1\r\n")
		})
	}
}

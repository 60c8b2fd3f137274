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

// brokenBy are the errors that Linux gives for reads of a broken connection, beside a reset.
var brokenBy = []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH}

// breaker breaks a connection of the program, at its next read, once it is told which.
type breaker struct {
	address atomic.Value // string: of the other side
	broken  atomic.Int64
	errno   unix.Errno
}

// decide breaks the connection, and lets all else go on.
func (b *breaker) decide(c syscallshim.Call) syscallshim.Decision {
	address, is := b.address.Load().(string)
	if !is || c.Number != unix.SYS_READ || !c.IsSocket() || !reads(c, address) {
		return syscallshim.Decision{}
	}
	b.broken.Add(1)
	return syscallshim.Decision{Errno: b.errno, Break: true}
}

// beginBreaking starts the program with one server, and gives its line to the counter.
func beginBreaking(t *testing.T, b *breaker) (e *ending, server *testbed.Peer, line *testbed.Conn) {
	t.Helper()
	log, _ := logFile(t)
	server = testbed.Listen(t)
	e = beginUnder(t, server.Address, log, b.decide)
	return e, server, e.counter.Accept(t)
}

// reads tells whether a call is on a connection to an address.
func reads(c syscallshim.Call, address string) bool {
	fd, err := c.Descriptor()
	if err != nil {
		return false
	}
	defer func() { _ = unix.Close(fd) }()
	peer, err := unix.Getpeername(fd)
	inet, is := peer.(*unix.SockaddrInet4)
	return err == nil && is && strings.HasSuffix(address, ":"+strconv.Itoa(inet.Port))
}

// TestServerConnectionBreaks: the connection to the server breaks under a request that may run again. The request is not
// lost: it goes again, or is rejected.
func TestServerConnectionBreaks(t *testing.T) {
	for _, errno := range brokenBy {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &breaker{errno: errno}
			e, server, line := beginBreaking(t, b)
			e.client.Say(t, testbed.Request("id", "read", 3000))
			line.Line(t)
			line.Say(t, "ok 1\r\n")
			c := server.Accept(t)
			c.Command(t)
			b.address.Store(server.Address)
			c.Serve(t, "value")
			require.Contains(t, e.client.Answer(t), "-BUSY") // there is no other server to go to
			require.Positive(t, b.broken.Load())
		})
	}
}

// TestClientConnectionBreaks: a client's connection breaks, by an error that the kernel gives for that, while its request
// is at the server. Nothing more is sent for it, and other clients are served.
func TestClientConnectionBreaks(t *testing.T) {
	for _, errno := range brokenBy {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &breaker{errno: errno}
			e, server, line := beginBreaking(t, b)
			other := (&testbed.Rig{Address: e.client.TCP.RemoteAddr().String()}).Dial(t)
			e.client.Say(t, testbed.Request("gone", "read", 3000))
			line.Line(t)
			line.Say(t, "ok 1\r\n")
			first := server.Accept(t)
			require.Equal(t, "gone", first.Command(t)[2])

			b.address.Store(e.client.TCP.LocalAddr().String())
			e.client.Say(t, "*1\r\n$4\r\nPING\r\n") // so that there is something to read
			_, err := e.client.Rest(t)
			require.NoError(t, err, "it is closed with no answer")
			require.Positive(t, b.broken.Load())
			require.NoError(t, first.TCP.Close())

			other.Say(t, testbed.Request("stays", "read", 3000))
			line.Line(t) // the units of the one that has gone, or those of this one
			line.Say(t, "ok 1\r\n")
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
	for _, errno := range brokenBy {
		t.Run(errno.Error(), func(t *testing.T) {
			b := &breaker{errno: errno}
			e, server, line := beginBreaking(t, b)
			e.client.Say(t, testbed.Request("id", "read", 3000))
			require.Contains(t, line.Line(t), "tally ")
			b.address.Store(e.counter.Address)
			line.Say(t, "ok 1\r\n")
			c := server.Accept(t)
			require.Equal(t, "id", c.Command(t)[2])
			b.address.Store("")
			c.Serve(t, "value")
			require.Equal(t, "$value", e.client.Answer(t))
			require.Positive(t, b.broken.Load())

			e.client.Say(t, testbed.Request("next", "read", 3000))
			again := e.counter.Accept(t)
			require.Contains(t, again.Line(t), "tally ")
			again.Say(t, "ok 1\r\n")
		})
	}
}

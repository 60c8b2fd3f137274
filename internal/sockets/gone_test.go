package sockets

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGoneInDoubt: the process has stood still, and no attempt goes out until the list is sure. Of the requests that
// wait for that, the one whose client closes meanwhile is never sent.
func TestGoneInDoubt(t *testing.T) {
	server := local(t)
	d := driven(t, 64, server)
	gone, stays := d.dial(), d.dial()
	d.turn(2e9) // two seconds without an event
	for c, id := range map[net.Conn]string{gone: "g1", stays: "st"} {
		ask(
			t,
			c,
			"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000f\r\n$2\r\n"+id+"\r\n$39\r\nc=c,t=p,d=4000,units=1,spread=1,first=0\r\n",
		)
	}
	clients := func() (read int) {
		for _, l := range d.s.connections {
			if l.accepting != nil && l.bytesDelivered.Load() > 0 {
				read++
			}
		}
		return read
	}
	d.until("both requests are read", func() bool { return clients() == 2 })
	require.NoError(t, gone.Close())
	d.until("it has gone", func() bool { return clients() == 1 })
	deadline := func(after time.Duration) { _ = server.(*net.TCPListener).SetDeadline(time.Now().Add(after)) }
	deadline(20 * time.Millisecond)
	_, err := server.Accept()
	require.Error(t, err, "it was not in doubt")
	d.turn(26e7)
	deadline(patience)
	c, err := server.Accept()
	require.NoError(t, err)
	d.until("it is sent", func() bool {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		text := make([]byte, 1<<12)
		n, _ := c.Read(text)
		require.NotContains(t, string(text[:n]), "g1")
		return strings.Contains(string(text[:n]), "st")
	})
	deadline(20 * time.Millisecond)
	_, err = server.Accept()
	require.Error(t, err, "the request of the client that had gone was sent on")
}

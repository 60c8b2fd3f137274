package sockets

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientClosesWhileListUncertain: after a pause of the process the limiter holds requests back until it trusts its
// endpoint list again. A request whose client closes meanwhile must never be forwarded.
func TestClientClosesWhileListUncertain(t *testing.T) {
	server := listenLoopback(t)
	d := newDriver(t, 64, server)
	leavingClient, stayingClient := d.dialClient(), d.dialClient()
	d.step(2e9) // a pause of two seconds, in which no event was handled
	for c, id := range map[net.Conn]string{leavingClient: "g1", stayingClient: "st"} {
		send(
			t,
			c,
			"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000f\r\n$2\r\n"+id+
				"\r\n$39\r\nc=c,t=p,d=4000,units=1,spread=1,first=0\r\n",
		)
	}
	openClientsRead := func() (count int) {
		for _, conn := range d.s.connections {
			if conn.listener != nil && conn.bytesDelivered.Load() > 0 {
				count++
			}
		}
		return count
	}
	d.stepUntil("both requests are read", func() bool { return openClientsRead() == 2 })
	require.NoError(t, leavingClient.Close())
	d.stepUntil("the close is delivered", func() bool { return openClientsRead() == 1 })
	deadline := func(after time.Duration) { _ = server.(*net.TCPListener).SetDeadline(time.Now().Add(after)) }
	deadline(20 * time.Millisecond)
	_, err := server.Accept()
	require.Error(t, err, "a request was forwarded while the list was uncertain")
	d.step(26e7)
	deadline(testTimeout)
	c, err := server.Accept()
	require.NoError(t, err)
	d.stepUntil("the request is forwarded", func() bool {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		text := make([]byte, 1<<12)
		n, _ := c.Read(text)
		require.NotContains(t, string(text[:n]), "g1")
		return strings.Contains(string(text[:n]), "st")
	})
	deadline(20 * time.Millisecond)
	_, err = server.Accept()
	require.Error(t, err, "the request of the closed client was forwarded")
}

package sockets

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// TestOldWatchReadAsDiscoveryMoves: the poller has read a response of the old discovery service, and after it a
// client's commands, when a reloaded configuration moves discovery to another address. The old response, delivered
// after the reload, must be ignored, and the commands must be answered.
func TestOldWatchReadAsDiscoveryMoves(t *testing.T) {
	server := listenLoopback(t)
	d := newDriver(t, 64, server)
	client := d.dialClient()
	send(t, client, ping)
	d.stepUntil("the client is answered", func() bool { return anyResponseWritten(d, 1) })
	expectRead(t, client, "-LOADING not ready yet\r\n")
	readUntil := func(c net.Conn, suffix string) (text string) {
		t.Helper()
		t.Cleanup(func() { _ = c.Close() })
		d.stepUntil("the data arrives", func() bool {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			buf := make([]byte, 1<<10)
			n, _ := c.Read(buf)
			text += string(buf[:n])
			return strings.HasSuffix(text, suffix)
		})
		return text
	}
	moveDiscovery := func() (net.Conn, string) { // reloads with a new discovery address and returns the first call there
		discovery := listenLoopback(t)
		defer func() { _ = discovery.Close() }()
		d.s.step(d.now, d.l, limiter.ConfigReloaded{Config: &settings.Config{Discovery: discovery.Addr().String(),
			Settings: &settings.Settings{Settings: &choice.Settings{}}}})
		c, err := discovery.Accept()
		require.NoError(t, err)
		return c, readUntil(c, "\r\n\r\n")
	}
	oldWatch, _ := moveDiscovery()
	list := `{"generation":9,"reset":true,"instances":[]}`
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	commands := ping +
		"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000f\r\n$2\r\nid\r\n$39\r\nc=c,t=p,d=4000,units=1,spread=1,first=0\r\n"
	send(t, oldWatch, response)
	require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond, "the poller has read the response")
	send(t, client, commands)
	require.Eventually(t, func() bool {
		d.s.mutex.Lock()
		defer d.s.mutex.Unlock()
		return len(d.s.queued.bytes) == len(response)+len(commands)
	}, testTimeout, time.Millisecond, "the poller has read the commands after it")
	_, call := moveDiscovery()
	require.Contains(t, call, "GET /discovery/hosts HTTP/1.1")
	line := make([]byte, 64)
	n, err := client.Read(line)
	require.NoError(t, err)
	require.Contains(t, []string{"+PONG\r\n", "-LOADING not ready yet\r\n"}, string(line[:n]))
	_ = server.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	c, err := server.Accept()
	require.NoError(t, err, "the old list was applied")
	require.Contains(t, readUntil(c, "\r\n"), "SVC.QUERY")
}

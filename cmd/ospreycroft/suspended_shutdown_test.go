package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// TestUnreadRequestsDuringShutdown: the process is suspended around the time, 0.5 s after SIGTERM, when it closes idle
// connections of clients. Requests that came meanwhile are still unread in the kernel: each one is answered, and no
// connection is closed with a request unanswered.
func TestUnreadRequestsDuringShutdown(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	h := startHarness(t, testbed.Listen(t).Address, log)
	require.Eventually(t, func() bool { return ping(t, h.client) == "+PONG" }, testbed.Timeout, 20*time.Millisecond)
	clients := []*testbed.Conn{h.client}
	for len(clients) < 20 {
		c := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
		require.Equal(t, "+PONG", ping(t, c))
		clients = append(clients, c)
	}
	stopSent := time.Now()
	require.NoError(t, h.program.Process.Signal(syscall.SIGTERM))
	time.Sleep(time.Until(stopSent.Add(300 * time.Millisecond)))
	require.NoError(t, h.program.Process.Signal(syscall.SIGSTOP))
	for i, c := range clients {
		c.Send(t, testbed.Request(fmt.Sprint("id", i), "none", 3000))
	}
	time.Sleep(time.Until(stopSent.Add(560 * time.Millisecond)))
	require.NoError(t, h.program.Process.Signal(syscall.SIGCONT))
	unanswered := 0
	for _, c := range clients {
		if text, _ := c.ReadToEnd(t); text == "" {
			unanswered++
		}
	}
	assert.Zero(t, unanswered, "of %d requests", len(clients))
	h.requireExit(testbed.Timeout)
}

// ping returns the answer to PING.
func ping(t *testing.T, c *testbed.Conn) string {
	t.Helper()
	c.Send(t, "*1\r\n$4\r\nPING\r\n")
	return c.ReadAnswer(t)
}

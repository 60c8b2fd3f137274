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

// TestRequestUnreadAsItsConnectionIsLeft: the process has no processor around the time, 0.5 s after SIGTERM, when idle
// connections of clients are left. Requests that came meanwhile lie unread in the kernel then: each is answered, and no
// connection ends under one.
func TestRequestUnreadAsItsConnectionIsLeft(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	e := begin(t, testbed.Listen(t).Address, log)
	require.Eventually(t, func() bool { return ping(t, e.client) == "+PONG" }, testbed.Patience, 20*time.Millisecond)
	clients := []*testbed.Conn{e.client}
	for len(clients) < 20 {
		c := (&testbed.Rig{Address: e.client.TCP.RemoteAddr().String()}).Dial(t)
		require.Equal(t, "+PONG", ping(t, c))
		clients = append(clients, c)
	}
	asked := time.Now()
	require.NoError(t, e.program.Process.Signal(syscall.SIGTERM))
	time.Sleep(time.Until(asked.Add(300 * time.Millisecond)))
	require.NoError(t, e.program.Process.Signal(syscall.SIGSTOP))
	for i, c := range clients {
		c.Say(t, testbed.Request(fmt.Sprint("id", i), "none", 3000))
	}
	time.Sleep(time.Until(asked.Add(560 * time.Millisecond)))
	require.NoError(t, e.program.Process.Signal(syscall.SIGCONT))
	unanswered := 0
	for _, c := range clients {
		if text, _ := c.Rest(t); text == "" {
			unanswered++
		}
	}
	assert.Zero(t, unanswered, "of %d requests", len(clients))
	e.ends(testbed.Patience)
}

// ping is the answer to PING.
func ping(t *testing.T, c *testbed.Conn) string {
	t.Helper()
	c.Say(t, "*1\r\n$4\r\nPING\r\n")
	return c.Answer(t)
}

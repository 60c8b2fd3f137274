package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/testbed"
)

// TestRequestsOfDepartedClientNotSent guards against attempts for a client that sent very much and closed its connection
// before the limiter had read it.
func TestRequestsOfDepartedClientNotSent(t *testing.T) {
	const (
		requests   = 6000
		leaveGrace = 100 * time.Millisecond
	)
	server := testbed.ReservePort(t)
	listener, err := server.Listen()
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	limiter := startWithServers(t, "127.0.0.1:1", inService("s", listener.Addr().String(), "a"))
	var mutex sync.Mutex
	var received []time.Time
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() {
				_ = emulator.ReadCommands(conn, func([][]byte) bool {
					mutex.Lock()
					received = append(received, time.Now())
					mutex.Unlock()
					_, err := conn.Write([]byte(testbed.ServedAnswer("v")))
					return err == nil
				})
				_ = conn.Close()
			}()
		}
	}()
	for round := range 5 {
		client := limiter.Dial(t)
		var text strings.Builder
		for i := range requests {
			text.WriteString(testbed.Request(fmt.Sprintf("leaver-%d-%d", round, i), "read", 2000))
		}
		_ = client.TCP.SetWriteBuffer(text.Len())
		client.Send(t, text.String())
		_ = client.TCP.Close()
		left := time.Now()
		time.Sleep(time.Second)
		mutex.Lock()
		late := 0
		for _, at := range received {
			if at.After(left.Add(leaveGrace)) {
				late++
			}
		}
		require.Zero(t, late, "attempts began so long after the client had left, of %d", len(received))
		received = nil
		mutex.Unlock()
	}
}

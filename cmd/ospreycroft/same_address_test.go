package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/testbed"
)

// resettingServer counts the requests that it receives and resets each connection in place of an answer.
type resettingServer struct {
	address  string
	mutex    *sync.Mutex
	received map[string]int // by the request's id; shared by the servers of a test
}

func (s *resettingServer) start(t *testing.T) {
	t.Helper()
	listener, err := testbed.ReservePort(t).Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s.address = listener.Addr().String()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go s.serve(conn.(*net.TCPConn))
		}
	}()
}

func (s *resettingServer) serve(conn *net.TCPConn) {
	_ = emulator.ReadCommands(conn, func(words [][]byte) bool {
		s.mutex.Lock()
		s.received[string(words[2])]++
		s.mutex.Unlock()
		return false
	})
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// TestProcessAtAddressOfAnother guards against a keyed request that runs in two zones: a process of another zone has come
// up at the address of a server whose removal no list has told.
func TestProcessAtAddressOfAnother(t *testing.T) {
	const requests = 20
	received, mutex := map[string]int{}, &sync.Mutex{}
	staying, replaced := resettingServer{mutex: mutex, received: received}, resettingServer{mutex: mutex, received: received}
	staying.start(t)
	replaced.start(t) // the process that listens there is the new one from the start
	discovery := testbed.Listen(t)
	limiter := startWithServers(t, discovery.Address, inService("staying", staying.address, "a"),
		inService("gone", replaced.address, "a"))
	watch := discovery.Accept(t)
	for watch.ReadLine(t) != "" {
	}
	change, err := json.Marshal(map[string]any{"generation": 2, "reset": false,
		"instances": []emulator.Instance{inService("new", replaced.address, "b")}})
	require.NoError(t, err)
	watch.Send(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(change), change))
	for watch.ReadLine(t) != "" { // the next call shows that the change was read
	}
	for i := range requests {
		client := limiter.Dial(t)
		client.Send(t, testbed.Request(fmt.Sprint("keyed", i), "keyed", 1000))
		_ = client.ReadAnswer(t)
		time.Sleep(10 * time.Millisecond)
	}
	mutex.Lock()
	defer mutex.Unlock()
	require.NotEmpty(t, received)
	for id, times := range received {
		require.Equal(t, 1, times, id)
	}
}

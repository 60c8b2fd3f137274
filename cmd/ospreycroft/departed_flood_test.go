package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/flood"
	"ospreycroft/internal/lab/testbed"
)

const (
	departedRequests = 6000
	floodingClients  = 100                    // others, which make the limiter read slowly
	floodRounds      = 3                      // of a second each
	leaveGrace       = 100 * time.Millisecond // the operators allow attempts that begin so long after the close
)

// arrivals records when a server received requests.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.times = append(a.times, time.Now())
}

// takeLater returns how many requests came after a time, of how many, and forgets all.
func (a *arrivals) takeLater(limit time.Time) (later, all int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, at := range a.times {
		if at.After(limit) {
			later++
		}
	}
	all = len(a.times)
	a.times = nil
	return later, all
}

// TestRequestsOfDepartedClientNotSent guards against attempts for a client that sent very much and closed its connection
// before the limiter had read it.
func TestRequestsOfDepartedClientNotSent(t *testing.T) {
	for name, answer := range map[string]func(conn *net.TCPConn) bool{
		"served": func(conn *net.TCPConn) bool {
			_, err := conn.Write([]byte(testbed.ServedAnswer("v")))
			return err == nil
		},
		"reset after a while": func(conn *net.TCPConn) bool {
			time.Sleep(3 * leaveGrace)
			_ = conn.SetLinger(0)
			return false
		},
		"not answered": func(*net.TCPConn) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := testbed.ReservePort(t).Listen()
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			limiter := startWithServers(t, "127.0.0.1:1", inService("s", listener.Addr().String(), "a"),
				inService("other", listener.Addr().String(), "a")) // a retry goes to another server
			var received arrivals
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					go func() {
						tcp := conn.(*net.TCPConn)
						_ = emulator.ReadCommands(conn, func([][]byte) bool {
							received.add()
							return answer(tcp)
						})
						_ = conn.Close()
					}()
				}
			}()
			pings, _ := flood.KindByName("pings")
			until := time.Now().Add(floodRounds * time.Second)
			for range floodingClients {
				go flood.Send(limiter.Address, pings, false, until)
			}
			time.Sleep(leaveGrace)
			for round := range floodRounds {
				left := sendAndClose(t, limiter, round)
				time.Sleep(time.Second)
				later, all := received.takeLater(left.Add(leaveGrace))
				require.Zero(t, later, "attempts began so long after the client had left, of %d", all)
			}
		})
	}
}

// sendAndClose sends very many requests on one connection, closes it and returns when.
func sendAndClose(t *testing.T, limiter *testbed.Rig, round int) time.Time {
	t.Helper()
	client := limiter.Dial(t)
	var text strings.Builder
	for i := range departedRequests {
		text.WriteString(testbed.Request(fmt.Sprintf("leaver-%d-%d", round, i), "read", 2000))
	}
	_ = client.TCP.SetWriteBuffer(text.Len())
	client.Send(t, text.String())
	require.NoError(t, client.TCP.Close())
	return time.Now()
}

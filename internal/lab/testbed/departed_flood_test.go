package testbed

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsOfDepartedClientNotSent guards against attempts for a client that sent very much and closed its connection
// before the limiter had read it.
func TestRequestsOfDepartedClientNotSent(t *testing.T) {
	const (
		requests   = 6000
		leaveGrace = 100 * time.Millisecond
	)
	server := Listen(t)
	config := Config(server)
	config.Settings.Plans["plain"].Rate = 1e6
	config.Settings.Plans["plain"].Burst = 1e6
	r := Start(t, config)
	var mutex sync.Mutex
	var received []time.Time
	go func() {
		for {
			conn, err := server.ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 4096)
				for {
					n, err := conn.Read(buf)
					if err != nil {
						return
					}
					mutex.Lock()
					received = append(received, time.Now())
					mutex.Unlock()
					_, _ = conn.Write([]byte(strings.Repeat(ServedAnswer("v"), strings.Count(string(buf[:n]), "SVC."))))
				}
			}()
		}
	}()
	for round := range 5 {
		client := r.Dial(t)
		var text strings.Builder
		for i := range requests {
			text.WriteString(Request(fmt.Sprintf("leaver-%d-%d", round, i), "read", 2000))
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

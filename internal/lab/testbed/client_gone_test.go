package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientGoneDuringDial: a request waits for a connection to a server whose machine takes none in for a second.
// Before the connection comes up the client goes, by an end, by a reset, or by the end of its sending alone, which
// counts as gone: it finds its connection ended. Nothing is written to the server.
func TestClientGoneDuringDial(t *testing.T) {
	for name, disconnect := range map[string]func(c *Conn){
		"close":      func(c *Conn) { _ = c.TCP.Close() },
		"reset":      (*Conn).Reset,
		"half-close": func(c *Conn) { _ = c.TCP.CloseWrite() },
	} {
		for _, class := range []string{"read", "write", "keyed"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				server, accept := listenBacklogged(t)
				config := Config(server)
				config.Settings.DialTimeout = int64(3 * time.Second)
				client := Start(t, config).Dial(t)
				client.Say(t, Request("id", class, 4000))
				// by now it is dialled, and the kernel asks again a second after that
				time.Sleep(300 * time.Millisecond)
				disconnect(client)
				conn := accept(Patience) // the queue has room now, and the next try gets in
				require.NotNil(t, conn)
				conn.Quiet(t, 300*time.Millisecond)
				if name == "half-close" {
					text, err := client.Rest(t)
					require.NoError(t, err)
					require.Empty(t, text)
				}
			})
		}
	}
}

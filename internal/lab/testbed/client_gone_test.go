package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientGoneDuringDial checks that nothing is written to a server if the client disconnects while its request waits
// for the connection to that server, which takes a second to be established. The client closes, resets, or half-closes
// its connection; a half-close counts as a disconnect, and the limiter closes the connection.
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
				client.Send(t, Request("id", class, 4000))
				// the limiter has dialled by now; the kernel repeats the SYN a second after the first one
				time.Sleep(300 * time.Millisecond)
				disconnect(client)
				conn := accept(Timeout) // makes room in the queue, so that the next SYN is accepted
				require.NotNil(t, conn)
				conn.ExpectNothing(t, 300*time.Millisecond)
				if name == "half-close" {
					text, err := client.ReadToEnd(t)
					require.NoError(t, err)
					require.Empty(t, text)
				}
			})
		}
	}
}

package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServe plays one request of each class through, and the end of a limiter that owes nothing.
func TestServe(t *testing.T) {
	server := Listen(t)
	r := Start(t, Config(server))
	client := r.Dial(t)
	var c *Conn
	for _, class := range []string{"read", "write", "keyed"} {
		client.Say(t, Request("id-"+class, class, 2000))
		if c == nil {
			c = server.Accept(t)
		}
		require.Equal(t, "id-"+class, c.Command(t)[2])
		c.Serve(t, "value")
		require.Equal(t, "$value", client.Answer(t))
		time.Sleep(50 * time.Millisecond) // the connection rests
	}
	r.Stop()
	_, err := client.Rest(t)
	require.NoError(t, err)
	r.Finish(t, Patience)
}

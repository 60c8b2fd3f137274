package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// TestIDNotRunAgainAfterClientLeft guards against a non-idempotent request that runs twice when its id comes again, on
// another connection, after its client has left.
func TestIDNotRunAgainAfterClientLeft(t *testing.T) {
	for _, end := range []string{"answered", "reset"} {
		t.Run(end, func(t *testing.T) {
			server := testbed.Listen(t)
			limiter := startWithServers(t, "127.0.0.1:1", inService("s", server.Address, "a"))
			client := limiter.Dial(t)
			client.Send(t, testbed.Request("same", "write", 2000))
			serving := server.Accept(t)
			require.Equal(t, "same", serving.ReadCommand(t)[2])
			require.NoError(t, client.TCP.Close())
			time.Sleep(50 * time.Millisecond)
			if end == "reset" {
				serving.Reset()
			} else {
				serving.SendServed(t, "v")
			}
			time.Sleep(100 * time.Millisecond) // past the reuse delay of the connection
			again := limiter.Dial(t)
			again.Send(t, testbed.Request("same", "write", 2000))
			if end == "answered" {
				serving.ExpectNothing(t, 100*time.Millisecond)
			}
			server.ExpectNoConnection(t, 300*time.Millisecond)
			require.Contains(t, again.ReadAnswer(t), "-ERR")
		})
	}
}

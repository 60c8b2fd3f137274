package testbed

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvictOnlyIdleClients checks that a limiter at its client limit closes idle clients only. Clients with open
// requests hold a quarter of the descriptors, and the connections to the server that serve them hold another quarter.
// Further requests are rejected at once and never forwarded, and each open request is answered.
func TestEvictOnlyIdleClients(t *testing.T) {
	server := Listen(t)
	config := Config(server)
	config.Sockets = 64
	config.Settings.DialTimeout = 8e8 // a new client may stay silent for a quarter of it
	for _, class := range config.Settings.Classes {
		class.LatencyObjective = 4e9 // no request here exceeds it
	}
	r := Start(t, config)
	classes := []string{"read", "write", "keyed"}
	var idle []*Conn
	for i := range 4 { // idle clients that have sent a request
		c := r.Dial(t)
		c.Send(t, Request(fmt.Sprint("first", i), "read", 4000))
		serving := server.Accept(t)
		serving.ReadCommand(t)
		serving.SendServed(t, "v")
		require.Equal(t, "$v", c.ReadAnswer(t))
		serving.Reset() // so that each open request gets a connection of its own
		idle = append(idle, c)
	}
	const clientCount = 64 / 4
	var open [clientCount]*Conn
	serving := map[string]*Conn{}
	for i := range open {
		open[i] = r.Dial(t)
		open[i].Send(t, Request(fmt.Sprint("open", i), classes[i%3], 4000))
		c := server.Accept(t)
		serving[c.ReadCommand(t)[2]] = c
	}
	for _, class := range classes {
		rejected := r.Dial(t)
		start := time.Now()
		rejected.Send(t, Request("more", class, 4000))
		require.Regexp(t, "^-BUSY", rejected.ReadAnswer(t))
		require.Less(t, time.Since(start), time.Second)
		idle = append(idle, rejected)
	}
	for range 4 { // idle clients that have sent nothing
		idle = append(idle, r.Dial(t))
	}
	for i, c := range idle {
		rest, err := c.ReadToEnd(t)
		require.True(t, rest == "" && err == nil, "idle client %d: %q, %v", i, rest, err)
	}
	server.ExpectNoConnection(t, time.Millisecond)
	for i, c := range open {
		id := fmt.Sprint("open", i)
		serving[id].ExpectNothing(t, time.Millisecond)
		serving[id].SendServed(t, id)
		require.Equal(t, "$"+id, c.ReadAnswer(t))
	}
}

// TestServerRemovedDuringAttempt checks the removal of a server from the endpoint list while an attempt is in flight
// there: the answer still reaches the client, and only then is the connection closed and the server forgotten.
func TestServerRemovedDuringAttempt(t *testing.T) {
	for _, class := range []string{"read", "write", "keyed"} {
		t.Run(class, func(t *testing.T) {
			f := newWatchFixture(t)
			client := f.Dial(t)
			client.Send(t, Request("out", class, 4000))
			old := f.s0.Accept(t)
			require.Equal(t, "out", old.ReadCommand(t)[2])
			f.pollConn.Send(t, okResponse(listJSON(2, true, entryJSON("s1", f.s1, "in_service", 0))))
			require.Equal(t, "2", f.pollConn.readPoll(t))
			f.requireServed(t, f.s1)
			old.ExpectNothing(t, time.Millisecond)
			old.SendServed(t, "late")
			require.Equal(t, "$late", client.ReadAnswer(t))
			rest, err := old.ReadToEnd(t)
			require.True(t, rest == "" && err == nil, "%q, %v", rest, err)
			f.s0.ExpectNoConnection(t, time.Millisecond)
			f.Sockets.Halt()
			f.WaitDone(t, Timeout)
			pools := reflect.ValueOf(f.Limiter).Elem().FieldByName("servers").FieldByName("pools")
			require.Equal(t, 1, pools.Len(), "%v", pools.MapKeys())
		})
	}
}

// TestStalledClientsGiveWay guards against requests on new connections that wait behind clients which stopped half way
// through a command and hold all connections.
func TestStalledClientsGiveWay(t *testing.T) {
	server := Listen(t)
	config := Config(server)
	config.Sockets = 64
	r := Start(t, config)
	half := Request("stalled", "write", 4000)
	half = half[:len(half)/2]
	var stalled []*Conn
	for range config.Sockets {
		c := r.Dial(t)
		c.Send(t, half)
		stalled = append(stalled, c)
	}
	time.Sleep(20 * time.Millisecond)
	client := r.Dial(t)
	start := time.Now()
	client.Send(t, Request("usual", "read", 1500))
	serving := server.Accept(t)
	require.Equal(t, "usual", serving.ReadCommand(t)[2])
	serving.SendServed(t, "v")
	require.Equal(t, "$v", client.ReadAnswer(t))
	require.Less(t, time.Since(start), 1500*time.Millisecond)
	for _, c := range stalled {
		text, err := c.ReadToEnd(t)
		require.NoError(t, err)
		require.Equal(t, "-ERR too slow\r\n", text)
	}
}

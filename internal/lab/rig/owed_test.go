package rig

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/settings"
)

// counted is a rig's configuration with a counter.
func counted(config *settings.Config, counter *Peer) *settings.Config {
	config.Counter, config.Settings.CounterWait, config.Settings.MostTrue = counter.Address, int64(time.Second), 64
	return config
}

// add reads one call and gives what it adds, in units as of its time.
func (c *Conn) add(t testing.TB) float64 {
	t.Helper()
	var name uint64
	var amount float64
	var life int64
	line := c.Line(t)
	_, err := fmt.Sscanf(line, "tally %d %g %d", &name, &amount, &life)
	require.NoError(t, err, line)
	return amount
}

// TestOwedAtTheEnd: the counter turns a reservation away, the slice lets the request through, and the process is told to end before
// another call could bring the units to the counter: they are added before it goes, once, and it waits for the answer.
func TestOwedAtTheEnd(t *testing.T) {
	server, counter := Listen(t), Listen(t)
	r := Start(t, counted(Config(server), counter))
	client := r.Dial(t)
	client.Say(t, Request("a", "read", 3000))
	calls := counter.Accept(t)
	reserved := calls.add(t)
	calls.Say(t, "busy\r\n")
	c := server.Accept(t)
	require.Equal(t, "a", c.Command(t)[2])
	r.Stop()
	calls.Quiet(t, 700*time.Millisecond) // nothing is settled while the attempt is out
	c.Serve(t, "value")
	require.Equal(t, "$value", client.Answer(t))
	require.InEpsilon(t, reserved, calls.add(t), 0.2) // the same units, a little later
	select {
	case <-r.Ended():
		t.Fatal("it has ended before the counter has answered")
	case <-time.After(50 * time.Millisecond):
	}
	calls.Say(t, "ok 1\r\n")
	_, err := client.Rest(t)
	require.NoError(t, err)
	_ = client.TCP.Close()
	r.Finish(t, Patience)
	calls.Quiet(t, 50*time.Millisecond) // it is added once
}

// TestGoneAtTheEnd: a client leaves while its attempt is out and the process is told to end: it stays until the server has told the
// true units, and these are settled.
func TestGoneAtTheEnd(t *testing.T) {
	server, counter := Listen(t), Listen(t)
	r := Start(t, counted(Config(server), counter))
	client := r.Dial(t)
	client.Say(t, Request("a", "read", 3000))
	calls := counter.Accept(t)
	reserved := calls.add(t)
	calls.Say(t, fmt.Sprintf("ok %g\r\n", reserved))
	c := server.Accept(t)
	c.Command(t)
	_ = client.TCP.Close()
	r.Stop()
	select {
	case <-r.Ended():
		t.Fatal("it has ended while an attempt was out")
	case <-time.After(time.Second): // it would end after 0.7 s
	}
	c.Say(t, "*3\r\n$1\r\nv\r\n$6\r\ncost=4\r\n$-1\r\n")
	require.InEpsilon(t, 3*reserved, calls.add(t), 0.2) // one was reserved and four were used
	calls.Say(t, "ok 4\r\n")
	r.Finish(t, Patience)
}

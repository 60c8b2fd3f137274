package rig

import (
	"bytes"
	"log"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

// lines is a log that a test may read while the limiter writes it.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

// kept are the keys that the limiter has said it keeps, once it has said what it has read.
func (l *lines) kept(t *testing.T) (keys []string) {
	t.Helper()
	var text string
	require.Eventually(t, func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		text = l.text.String()
		return strings.Contains(text, "event=config-read")
	}, Patience, time.Millisecond)
	for line := range strings.Lines(text) {
		if _, key, is := strings.Cut(strings.TrimSpace(line), "event=config-kept key="); is {
			keys = append(keys, strings.Trim(key, `"`))
		}
	}
	return keys
}

// hear takes the log for the test's time.
func hear(t *testing.T) *lines {
	l := &lines{}
	log.SetOutput(l)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return l
}

// TestRenewCounterGone brings a configuration without the counter and with another class, plan and limits: the settings that
// hold have a counter, so it is asked as before, on the line that it has, and each key that is not taken is in the log.
func TestRenewCounterGone(t *testing.T) {
	said := hear(t)
	server, counter := Listen(t), Listen(t)
	config := Config(server)
	set := *config.Settings.Settings
	set.CounterWait = int64(2 * time.Second)
	config.Counter, config.Settings = counter.Address, &settings.Settings{Settings: &set, IdleClose: config.Settings.IdleClose}
	r := Start(t, config)
	line, client := counter.Accept(t), r.Dial(t)
	serve := func(id string, c *Conn) *Conn {
		client.Say(t, Request(id, "read", 2000))
		require.True(t, strings.HasPrefix(line.Line(t), "tally "), "the counter is not asked")
		line.Say(t, "ok 1\r\n")
		if c == nil {
			c = server.Accept(t)
		}
		require.Equal(t, id, c.Command(t)[2])
		c.Serve(t, "value")
		require.Equal(t, "$value", client.Answer(t))
		return c
	}
	c := serve("first", nil)
	time.Sleep(10 * time.Millisecond) // the connection rests for a tick
	r.Renew(func(next *settings.Config) {
		other := set
		other.CounterWait, other.MostShots = 0, 9
		other.Tracks = map[string]*choice.Track{"read": set.Tracks["read"], "new": set.Tracks["read"], "keyed": {Agreed: 1, Benefit: 1}}
		other.Plans = map[string]*choice.Plan{"plain": {}}
		next.Counter, next.Sockets = "", 64
		next.Settings = &settings.Settings{Settings: &other, IdleClose: next.Settings.IdleClose}
	})
	require.Equal(t, []string{"counter", "limits: sockets", "settings: family-info: count-wait", "settings: permissions: attempts-cap",
		"settings: classes: keyed", "settings: classes: new", "settings: classes: write", "settings: tariffs: plain"}, said.kept(t))
	serve("second", c)
	counter.None(t, 20*time.Millisecond)
	client.Say(t, Request("unknown", "new", 2000))
	require.Equal(t, "-ERR unknown class", client.Answer(t))
}

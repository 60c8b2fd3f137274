package testbed

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/logging"
	"ospreycroft/internal/settings"
)

// logBuffer collects log lines; a test may read it while the limiter writes.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

// keptKeys waits for the event config-read and returns the keys of the events config-kept, in order.
func (l *logBuffer) keptKeys(t *testing.T) (keys []string) {
	t.Helper()
	var text string
	require.Eventually(t, func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		text = l.text.String()
		return strings.Contains(text, "event=config-read")
	}, Timeout, time.Millisecond)
	for line := range strings.Lines(text) {
		if _, key, found := strings.Cut(strings.TrimSpace(line), "event=config-kept key="); found {
			keys = append(keys, strings.Trim(key, `"`))
		}
	}
	return keys
}

// redirectLog sends the default logger's lines to w until the test ends.
func redirectLog(t *testing.T, w io.Writer) {
	t.Helper()
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(w)))
}

// captureLog collects the default logger's lines until the test ends.
func captureLog(t *testing.T) *logBuffer {
	b := &logBuffer{}
	redirectLog(t, b)
	return b
}

// TestReloadWithoutCounter reloads a configuration that drops the counter and changes classes, plans and limits. None
// of these can change at run time: the counter is used as before, on the existing connection, and each key that keeps
// its value is logged.
func TestReloadWithoutCounter(t *testing.T) {
	logged := captureLog(t)
	server, counter := Listen(t), Listen(t)
	config := Config(server)
	base := *config.Settings.Settings
	base.CounterTimeout = int64(2 * time.Second)
	config.Counter, config.Settings = counter.Address, &settings.Settings{
		Settings:  &base,
		IdleClose: config.Settings.IdleClose,
	}
	r := Start(t, config)
	counterConn, client := counter.Accept(t), r.Dial(t)
	serve := func(id string, c *Conn) *Conn {
		client.Send(t, Request(id, "read", 2000))
		require.True(t, strings.HasPrefix(counterConn.ReadLine(t), "tally "), "no tally was sent to the counter")
		counterConn.Send(t, "ok 1\r\n")
		if c == nil {
			c = server.Accept(t)
		}
		require.Equal(t, id, c.ReadCommand(t)[2])
		c.SendServed(t, "value")
		require.Equal(t, "$value", client.ReadAnswer(t))
		return c
	}
	c := serve("first", nil)
	time.Sleep(50 * time.Millisecond) // the server connection becomes idle
	r.Reload(func(next *settings.Config) {
		other := base
		other.CounterTimeout, other.MaxAttempts = 0, 9
		other.Classes = map[string]*choice.Class{
			"read":  base.Classes["read"],
			"new":   base.Classes["read"],
			"keyed": {LatencyObjective: 1, PriorityWeight: 1},
		}
		other.Plans = map[string]*choice.Plan{"plain": {}}
		next.Counter, next.Sockets = "", 64
		next.Settings = &settings.Settings{Settings: &other, IdleClose: next.Settings.IdleClose}
	})
	require.Equal(
		t,
		[]string{
			"counter",
			"limits: sockets",
			"settings: family-info: count-wait",
			"settings: permissions: attempts-cap",
			"settings: classes: keyed",
			"settings: classes: new",
			"settings: classes: write",
			"settings: tariffs: plain",
		},
		logged.keptKeys(t),
	)
	serve("second", c)
	counter.ExpectNoConnection(t, 20*time.Millisecond)
	client.Send(t, Request("unknown", "new", 2000))
	require.Equal(t, "-ERR unknown class", client.ReadAnswer(t))
}

// blockingLog is a log writer that blocks the reducer. The write of the line that contains trigger closes blocked and
// returns once release is closed.
type blockingLog struct {
	trigger string
	blocked chan struct{}
	release chan struct{}
}

func (s *blockingLog) Write(b []byte) (int, error) {
	if strings.Contains(string(b), s.trigger) {
		close(s.blocked)
		<-s.release
	}
	return len(b), nil
}

// TestBlockedReducerPollsBeforeForwarding blocks the reducer for longer than the drain grace, but for less than two
// dial timeouts. Meanwhile a request arrives, and after it a list in which the only server drains. When the reducer
// continues it reads the request first. It must poll the list before it forwards the request.
func TestBlockedReducerPollsBeforeForwarding(t *testing.T) {
	for _, c := range []struct{ dialTimeout, drainGrace, block time.Duration }{
		{250 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond},
		{2 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond}, // long dial timeout, short drain grace
	} {
		server, discovery := Listen(t), Listen(t)
		config := Config(server)
		base := *config.Settings.Settings
		base.DialTimeout = int64(c.dialTimeout)
		config.Discovery = discovery.Address
		config.Settings = &settings.Settings{
			Settings:   &base,
			IdleClose:  config.Settings.IdleClose,
			DrainGrace: int64(c.drainGrace),
		}
		r := Start(t, config)
		poll, client := discovery.Accept(t), r.Dial(t)
		poll.readPoll(t)
		client.Send(t, Request("first", "read", 2000))
		conn := server.Accept(t)
		conn.ReadCommand(t)
		conn.SendServed(t, "value")
		require.Equal(t, "$value", client.ReadAnswer(t))
		time.Sleep(50 * time.Millisecond) // the server connection becomes idle
		s := &blockingLog{trigger: "event=config-read", blocked: make(chan struct{}), release: make(chan struct{})}
		redirectLog(t, s)
		r.Reload(func(*settings.Config) {})
		<-s.blocked
		body := `{"generation":2,"instances":[{"instanceId":"s0","lifecycle":"terminating"}]}`
		drainResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		client.Send(t, Request("second", "read", 2000))
		time.Sleep(20 * time.Millisecond) // the request arrives before the list
		poll.Send(t, drainResponse)
		time.Sleep(c.block)
		close(s.release)
		newPoll := discovery.Accept(t)
		newPoll.readPoll(t)
		newPoll.Send(t, drainResponse)
		sent, err := conn.ReadToEnd(t)
		require.NoError(t, err)
		require.Empty(t, sent, "a request was forwarded after the drain grace")
		require.Regexp(t, "^-BUSY", client.ReadAnswer(t))
		client.Reset()
		r.Stop()
		defer r.WaitDone(t, Timeout) // the limiter dials while it stops, and Halt does not wait for dials
	}
}

// configTemplate is a configuration whose verbs take the counter's address and the endpoint list.
const configTemplate = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","counter":%q,"seed":"ff",
	"limits":{"memory_mb":192,"sockets":1024},"known":%s,"settings":{"balancers":1,"classes":[
	{"name":"read","aim":1,"effect":"free"},{"name":"write","aim":1,"effect":"single_shot"},
	{"name":"keyed","aim":1,"effect":"guarded","group":"all","dedup-window":5}],
	"tariffs":[{"name":"plain","rate":50,"most-at-once":1000}],"family-info":{"has-counter":false,"units-top":64},
	"contract":{"cold-from":0.5,"warm-within":10,"stop-sending-within":0.25},
	"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"cancelling":true},"granularity":0.004}}`

// TestExtremeSettings starts a limiter with each extreme value that the settings accept. A request of each class is
// served, or rejected where the setting leaves no time or no quota.
func TestExtremeSettings(t *testing.T) {
	const served, rejected, either = `^\$value$`, `^-BUSY`, `^(\$value$|-BUSY)`
	for _, c := range []struct{ old, new, answer string }{
		{`"aim":1,`, `"aim":1e-4,`, either}, {`"aim":1,`, `"aim":1e8,`, served},
		{`"dedup-window":5`, `"dedup-window":0`, served}, {`"dedup-window":5`, `"dedup-window":1e8`, served},
		{`"aim":1,`, `"aim":1,"worth":1e12,`, served}, {`"aim":1,"effect":"single_shot"`, `"aim":1,"effect":"single_shot","worth":1e-300`, either},
		{`0.004`, `1e-4`, served}, {`0.004`, `1e8`, rejected},
		{`"balancers":1`, `"balancers":1000000`, served}, {`"balancers":1`, `"balancers":1000000,"position":999999`, served},
		{`"units-top":64`, `"units-top":1e9`, served}, {`"units-top":64`, `"units-top":1`, served},
		{`"cold-from":0.5`, `"cold-from":0`, served}, {`"cold-from":0.5`, `"cold-from":1`, served},
		{`"cold-from":0.5,`, ``, served}, {`"startedAtMs":0`, `"startedAtMs":9000000000000`, served},
		{`"warm-within":10`, `"warm-within":1e-4`, served}, {`"warm-within":10`, `"warm-within":1e8`, served},
		{`"stop-sending-within":0.25`, `"stop-sending-within":0`, served}, {`,"stop-sending-within":0.25`, ``, served},
		{`"stop-sending-within":0.25`, `"stop-sending-within":1e-4`, served}, {`"stop-sending-within":0.25`, `"stop-sending-within":1e8`, served},
		{`"attempts-cap":3`, `"attempts-cap":1`, served}, {`"attempts-cap":3`, `"attempts-cap":1000000000`, served},
		{`"dial-timeout":0.25`, `"dial-timeout":1e-4`, either}, {`"dial-timeout":0.25`, `"dial-timeout":1e8`, served},
		{`"idle-close":15`, `"idle-close":1e-4`, either}, {`"idle-close":15`, `"idle-close":1e8`, served},
		{`"cancelling":true`, `"cancelling":true,"retry-after":true,"max-retry-after":0`, served},
		{`"cancelling":true`, `"cancelling":true,"probes":true`, served},
		{`"stop-sending-within":0.25}`, `"ask-every":1e-4},"registry-mode":"on_request"`, served},
		{`"stop-sending-within":0.25}`, `"ask-every":1e8},"registry-mode":"on_request"`, served},
		{`"rate":50,"most-at-once":1000`, `"rate":0`, served}, {`"rate":50,"most-at-once":1000`, `"rate":0,"parallel":1`, either},
		{`"rate":50,"most-at-once":1000`, `"rate":0,"parallel":1000000000000`, served},
		{`"rate":50,"most-at-once":1000`, `"rate":1e12,"most-at-once":1e12`, served},
		{`"rate":50,"most-at-once":1000`, `"rate":1e-9,"most-at-once":0.1`, rejected},
		{`"rate":50,"most-at-once":1000`, `"rate":1e-300,"most-at-once":1e-300`, rejected},
		{`"rate":50,"most-at-once":1000`, `"rate":0,"hard-rate":1e-9,"never-over-depth":0.1`, rejected},
		{`"rate":50,"most-at-once":1000`, `"rate":0,"hard-rate":1e12,"never-over-depth":1e12`, served},
		{`"rate":50,`, `"rate":50,"beyond-costs":1e12,"extra-worth":1e12,"value-factor":0,`, served},
		{`"memory_mb":192`, `"memory_mb":1`, served}, {`"memory_mb":192`, `"memory_mb":1e9`, served},
		{`"sockets":1024`, `"sockets":1048576`, served},
		{`"has-counter":false`, `"has-counter":true,"count-wait":1e-4`, served},
	} {
		t.Log(c.old, c.new)
		server, counter := Listen(t), Listen(t)
		known := fmt.Sprintf(`{"generation":1,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"in_service",`+
			`"startedAtMs":0}]}`, server.Address)
		text := fmt.Sprintf(configTemplate, counter.Address, known)
		require.Contains(t, text, c.old)
		config, err := settings.DecodeConfig([]byte(strings.Replace(text, c.old, c.new, 1)))
		require.NoError(t, err)
		r := Start(t, config)
		go func() {
			for conn, err := server.ln.Accept(); err == nil; conn, err = server.ln.Accept() {
				go func() {
					defer func() { _ = conn.Close() }()
					_ = emulator.ReadCommands(conn, func([][]byte) bool {
						_, err := io.WriteString(conn, ServedAnswer("value"))
						return err == nil
					})
				}()
			}
		}()
		client := r.Dial(t)
		for _, class := range []string{"read", "write", "keyed"} {
			client.Send(t, Request("id-"+class, class, 1000))
			require.Regexp(t, c.answer, client.ReadAnswer(t), class)
		}
	}
}

package limiter

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/settings"
)

// The benchmarks measure how the costs of applying an endpoint list and of maintenance grow with the number of servers.

// benchConnections is the number of idle connections to servers: about the subset that one of 550 limiters uses of
// 8,500 servers.
const benchConnections = 250

// benchList returns a list of the servers numbered from "from" up to but not including "to", all in one lifecycle
// state.
func benchList(b *testing.B, from, to int, complete bool, state string) *discovery.List {
	var text strings.Builder
	fmt.Fprintf(&text, `{"generation":8,"reset":%v,"instances":[`, complete)
	for i := from; i < to; i++ {
		if i > from {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"instanceId":"server-%d","hostPort":"127.0.0.1:9","lifecycle":%q,"weight":1}`, i, state)
	}
	text.WriteString("]}")
	list, err := discovery.DecodeList([]byte(text.String()))
	if err != nil {
		b.Fatal(err)
	}
	return list
}

// benchLimiter returns a limiter that knows the given number of servers and has idle connections to benchConnections of
// them, or to all if there are fewer.
func benchLimiter(b *testing.B, servers int) *Limiter {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(previous) })
	w := &fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernelAccepted: map[ConnID]int64{}}
	l, err := New(
		0,
		&settings.Config{Discovery: "disco", Counter: "counter", Memory: 1 << 27, Sockets: 1024, Known: []byte("null"),
			Settings: &settings.Settings{IdleClose: 15 * second, Settings: &choice.Settings{
				Classes: map[string]*choice.Class{
					"read": {LatencyObjective: second},
				}, Plans: map[string]*choice.Plan{"plain": {Rate: 5, Burst: 100}},
				CounterTimeout: second / 20, MaxRequestUnits: 8, MaxLease: 60 * second, Limiters: 550, Position: 3,
				ColdCapacity: 0.25, SlowStartWindow: 10 * second, DialTimeout: second / 4, MaxAttempts: 3,
				MaxRetryAfter: second, TimerResolution: second / 250,
			}}},
		w,
	)
	if err != nil {
		b.Fatal(err)
	}
	w.limiter = l
	l.discovery.applyList(benchList(b, 0, servers, true, "in_service"), coldstart.ListReceived)
	for i := range min(benchConnections, servers) {
		connection := l.servers.pools[fmt.Sprintf("server-%d", i*servers/min(benchConnections, servers))].acquire()
		connection.conn = l.dial(connection, connection.address, second)
		l.Step(0, Connected{Conn: connection.conn.id})
	}
	return l
}

func BenchmarkApplyList(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		for _, change := range []struct {
			name string
			list *discovery.List
		}{
			{"whole-unchanged", benchList(b, 0, servers, true, "in_service")},
			{"quarter-draining", benchList(b, 0, servers/4, false, "terminating")},
			{"quarter-gone", benchList(b, 0, servers/4, false, "terminated")},
			{"whole-without-half", benchList(b, servers/2, servers, true, "in_service")},
		} {
			b.Run(fmt.Sprintf("%s/servers=%d", change.name, servers), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					l := benchLimiter(b, servers)
					b.StartTimer()
					l.discovery.applyList(change.list, coldstart.ListReceived)
				}
			})
		}
	}
}

func BenchmarkMaintain(b *testing.B) {
	for _, servers := range []int{20, 1000, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l := benchLimiter(b, servers)
			b.ResetTimer()
			for range b.N {
				l.maintain()
				l.timers.heap = l.timers.heap[:0]
			}
		})
	}
}

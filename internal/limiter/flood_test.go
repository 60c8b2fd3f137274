package limiter

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

// floodMemory is the memory limit of the limiters in the flood tests, the smallest that operators set, in bytes.
const floodMemory = 32 << 20

// newFloodedLimiter returns a limiter with the memory limit of the flood tests. It knows no servers, so it rejects each
// request at once for want of capacity.
func newFloodedLimiter(t *testing.T) (*Limiter, *fakeSockets) {
	t.Helper()
	return newConfiguredLimiter(t, func(config *settings.Config) {
		config.Memory = floodMemory
		config.Settings.MemoryLimit = floodMemory
		config.Known = nil
	})
}

// floodCommand returns a command with the given customer, ID and time left in milliseconds.
func floodCommand(customer uint64, id, timeLeft string) string {
	fields := "c=read,t=plain,d=" + timeLeft + ",units=2,spread=1,first=0"
	return string(resp.AppendCommand(nil, []byte("SVC.QUERY"), fmt.Appendf(nil, "%016x", customer), []byte(id),
		[]byte(fields)))
}

// liveHeap returns the bytes of heap objects that are in use.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// flood has a client send rounds of a hundred commands, 25 ms apart, and forgets what the limiter writes. command
// returns the text of a command by its number. It returns the growth of the live heap in bytes.
func flood(t *testing.T, l *Limiter, w *fakeSockets, rounds int, command func(number int) string) int64 {
	const commandsPerRound = 100
	const roundInterval = second / 40
	t.Helper()
	w.discard = true
	before := liveHeap()
	now := l.now
	for round := range rounds {
		var text strings.Builder
		for k := range commandsPerRound {
			text.WriteString(command(round*commandsPerRound + k))
		}
		now += roundInterval
		w.advance(l, now)
		w.receive(l, now, clientConn, text.String())
		w.closed = nil
	}
	require.NotNil(t, l.conns[clientConn], "the flooding client was closed")
	clear(w.dialed)
	grown := int64(liveHeap()) - int64(before)
	runtime.KeepAlive(l)
	return grown
}

// TestNewCustomersDoNotFillMemory guards against a limiter that is killed for memory because a client names a customer
// never seen before in each command.
func TestNewCustomersDoNotFillMemory(t *testing.T) {
	l, w := newFloodedLimiter(t)
	grown := flood(t, l, w, 1000, func(number int) string {
		return floodCommand(uint64(1<<28+number), fmt.Sprint("new-", number), "2500")
	})
	require.Less(t, grown, int64(floodMemory/4), "the live heap has grown by so many bytes")
}

// maxIdleTimers is an upper bound of the timers of a limiter that has no open requests: a few of its own, and those of
// ended requests that it may keep.
const maxIdleTimers = 64 + maxStoppedTimers

// TestEndedRequestsLeaveNoTimers guards against a limiter whose memory fills with the deadlines of requests that were
// rejected long before.
func TestEndedRequestsLeaveNoTimers(t *testing.T) {
	l, w := newTestLimiter(t)
	const customer = 0xff
	w.receive(l, 0, clientConn, floodCommand(customer, "first", "999999999"))
	w.receive(l, 0, counterConnID, "ok 1000000\r\n") // the quota is used up, so the counter is not called any more
	grown := flood(t, l, w, 100, func(number int) string {
		return floodCommand(customer, fmt.Sprint("again-", number), "999999999")
	})
	require.Empty(t, l.requests.byID)
	require.Less(t, l.Usage().Timers, maxIdleTimers)
	require.Less(t, grown, int64(floodMemory/16))
}

// TestClosedClientsLeaveNoTimers guards against memory that fills with closed connections of clients that sent a request
// and something malformed behind it.
func TestClosedClientsLeaveNoTimers(t *testing.T) {
	l, w := newTestLimiter(t)
	for id := clientConn + 1; id <= clientConn+5000; id++ {
		l.Step(l.now, ClientAccepted{Conn: id})
		w.receive(l, l.now, id, command(fmt.Sprint("request-", id), "read", "480")+"malformed")
		l.Step(l.now, ConnClosed{Conn: id, Reason: PeerClosed})
	}
	w.advance(l, l.now+second/10) // past the time-out of the calls to the counter
	require.Empty(t, l.requests.byID)
	require.Less(t, l.Usage().Timers, maxIdleTimers)
}

// TestClosedClientKeepsNoInput guards against memory that fills with the partial commands of clients that have left,
// while their earlier requests are at a server.
func TestClosedClientKeepsNoInput(t *testing.T) {
	l, w, _ := requestSent(t, "write")
	req := l.requests.byID["j"]
	w.receive(l, 0, clientConn, "*2\r\n$1\r\nX\r\n$60000\r\n"+strings.Repeat("x", 50000))
	require.GreaterOrEqual(t, req.client.conn.input.Cap(), 50000)
	l.Step(0, ConnClosed{Conn: clientConn, Reason: PeerReset})
	require.Same(t, req, l.requests.byID["j"], "the request's attempt is still open")
	require.Zero(t, req.client.conn.input.Cap())
}

// TestTimeoutIsLimited guards against requests that name an enormous time and hold a server's connection for good when
// the server does not answer.
func TestTimeoutIsLimited(t *testing.T) {
	l, w := newConfiguredLimiter(t, func(config *settings.Config) { config.Settings.LongestDeadline = 2 * second })
	w.receive(l, 0, clientConn, command("j", "write", "999999999"))
	w.receive(l, 0, counterConnID, "ok 2\r\n")
	server := w.last
	l.Step(0, Connected{Conn: server})
	require.Contains(t, w.wrote[server], "SVC.SUBMIT")
	w.advance(l, 2*second) // SIGKILL may come so long after SIGTERM, and 0.7 s
	require.Contains(t, w.wrote[clientConn], "-ERR")
	require.Contains(t, w.closed, server)
	require.Empty(t, l.requests.byID)
}

// floodAtOnce has clients connect and each send a text, all at the same time. It returns the growth of the live heap in
// bytes.
func floodAtOnce(l *Limiter, w *fakeSockets, clients int, text func(client int) string) int64 {
	before := liveHeap()
	w.discard = true
	for client := range clients {
		id := clientConn + 1 + ConnID(client)
		l.Step(l.now, ClientAccepted{Conn: id})
		w.receive(l, l.now, id, text(client))
	}
	w.incoming = ""
	grown := int64(liveHeap()) - int64(before)
	runtime.KeepAlive(l)
	return grown
}

// newCrowdedLimiter returns a limiter with the memory limit of the flood tests and descriptors for 512 clients, whose
// counter does not answer.
func newCrowdedLimiter(t *testing.T) (*Limiter, *fakeSockets) {
	t.Helper()
	return newConfiguredLimiter(t, func(config *settings.Config) {
		config.Memory = floodMemory
		config.Settings.MemoryLimit = floodMemory
		config.Sockets = 4096 // so that no idle client is evicted
	})
}

// TestOpenRequestsDoNotFillMemory guards against a limiter that counts only the bytes of the commands of open requests,
// which take many times that. Beyond the limit a client of which few commands wait is still served.
func TestOpenRequestsDoNotFillMemory(t *testing.T) {
	l, w := newCrowdedLimiter(t)
	grown := floodAtOnce(l, w, 60, func(client int) string {
		var text strings.Builder
		for k := range 1000 {
			text.WriteString(floodCommand(uint64(client), fmt.Sprint("r-", client, "-", k), "2500"))
		}
		return text.String()
	})
	require.Less(t, grown, int64(floodMemory/4), "the live heap has grown by so many bytes")
	open := len(l.requests.byID)
	l.Step(l.now, ClientAccepted{Conn: 50000})
	w.receive(l, l.now, 50000, floodCommand(0xff, "usual", "480"))
	require.Equal(t, open+1, len(l.requests.byID), "a usual client's request was rejected")
	require.Positive(t, l.stats.memory.rejectedRequests)
}

// TestWaitingAnswersDoNotFillMemory guards against clients that have many finished answers wait behind one open request.
func TestWaitingAnswersDoNotFillMemory(t *testing.T) {
	l, w := newCrowdedLimiter(t)
	const pings = 1000
	grown := floodAtOnce(l, w, 512, func(client int) string {
		return floodCommand(uint64(client), fmt.Sprint("r-", client), "2500") +
			strings.Repeat("*1\r\n$4\r\nPING\r\n", pings)
	})
	require.Less(t, grown, int64(floodMemory/4), "the live heap has grown by so many bytes")
	require.Positive(t, l.stats.memory.closedClients)
	w.advance(l, l.now+second) // the requests end, and so do the clients that were rejected
	require.Zero(t, l.clients.pendingAnswers)
}

// TestRequestBytes checks that choice.RequestBytes is enough for an open request with its entries in all tables.
func TestRequestBytes(t *testing.T) {
	l, w := newTestLimiter(t)
	const requests = 1000
	grown := floodAtOnce(l, w, 1, func(int) string {
		var text strings.Builder
		for k := range requests {
			text.WriteString(floodCommand(0xff, fmt.Sprint("r-", k), "2500"))
		}
		return text.String()
	})
	require.Equal(t, requests, len(l.requests.byID))
	require.Less(t, grown/requests, int64(choice.RequestBytes))
	t.Logf("a request takes %d bytes", grown/requests)
}

// TestServersDoNotFillMemory guards against a discovery service whose changes name ever new servers that never end. What
// it tells of known servers must still be learnt.
func TestServersDoNotFillMemory(t *testing.T) {
	l, w := newCrowdedLimiter(t)
	before := liveHeap()
	change := func(version int, servers ...string) {
		body := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[%s]}`, version, strings.Join(servers, ","))
		w.receive(l, l.now, discoveryConn,
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	server := func(id, address, lifecycle string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"weight":1}`, id, address, lifecycle)
	}
	const changes, serversPerChange = 200, 100
	for version := range changes {
		var servers []string
		for k := range serversPerChange {
			address := fmt.Sprintf("127.1.%d.%d:9", version, k)
			servers = append(servers, server(fmt.Sprint("new-", version, "-", k), address, "in_service"))
		}
		change(8+version, servers...)
	}
	grown := int64(liveHeap()) - int64(before)
	require.Less(t, grown, int64(floodMemory/4), "the live heap has grown by so many bytes")
	require.False(t, l.servers.pools["s"].draining)
	change(8+changes, server("s", "127.0.0.1:9", "terminating"))
	require.True(t, l.servers.pools["s"].draining, "a drain was not learnt")
}

// TestRejectedCallsAreLoggedOnce guards against a counter that rejects each call and fills the log.
func TestRejectedCallsAreLoggedOnce(t *testing.T) {
	l, w := newTestLimiter(t)
	var log bytes.Buffer
	captureLog(t, &log)
	w.advance(l, second)
	for name := range uint64(100) {
		l.AddToCounter(name, 1, second)
		w.receive(l, l.now, counterConnID, "error\r\n")
	}
	require.Equal(t, 1, strings.Count(log.String(), "event=counter-refused"))
	w.advance(l, l.now+second)
	l.AddToCounter(1000, 1, second)
	w.receive(l, l.now, counterConnID, "error\r\n")
	require.Contains(t, log.String(), "left_out=99")
}

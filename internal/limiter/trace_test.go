package limiter

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTraceFollowsRequest: the trace has each step of a request with its id, and why its attempts and connections
// ended.
func TestTraceFollowsRequest(t *testing.T) {
	l, w, id := requestSent(t, "read")
	var out bytes.Buffer
	captureLog(t, &out)
	l.Step(second/10, ConnClosed{Conn: id, Reason: PeerReset})
	l.LogTrace(AllTrace)
	text := out.String()
	for _, want := range []string{
		`step=accepted request=j conn=100`,
		`step=attempt request=j attempt=0 peer=s`,
		`step=closed conn=` + "3" + ` peer=server detail=peer-reset`,
		`step=attempt-ended request=j attempt=0 detail=connection-lost`,
		`step=rejected request=j detail=attempts`,
		`step=ended request=j detail=rejected`,
	} {
		require.Contains(t, text, want)
	}
	require.Contains(t, w.wrote[clientConn], "-BUSY")
}

// TestTraceKeepsTheLatest: new records replace the oldest, and latest returns no more than the requested number.
func TestTraceKeepsTheLatest(t *testing.T) {
	var records trace
	require.Empty(t, records.latest(AllTrace))
	for i := range traceSize + 10 {
		records.add(traceRecord{at: int64(i)})
	}
	all := records.latest(AllTrace)
	require.Len(t, all, traceSize)
	require.Equal(t, int64(10), all[0].at)
	two := records.latest(2)
	require.Equal(t, []int64{traceSize + 8, traceSize + 9}, []int64{two[0].at, two[1].at})
}

// TestClosesLogged: closed connections are counted by kind of peer and reason, and each is logged once.
func TestClosesLogged(t *testing.T) {
	l, _, id := requestSent(t, "read")
	l.Step(0, ConnClosed{Conn: id, Reason: PeerReset})
	var out bytes.Buffer
	captureLog(t, &out)
	l.logCloses()
	require.Contains(t, out.String(), "event=closes server_peer-reset=1\n")
	out.Reset()
	l.logCloses()
	require.Empty(t, out.String())
}

// TestCloseReasonWords: each close reason has a word of its own.
func TestCloseReasonWords(t *testing.T) {
	seen := map[string]bool{}
	for reason := range closeReasonCount {
		require.False(t, seen[reason.String()], reason)
		seen[reason.String()] = true
	}
	require.Len(t, seen, int(closeReasonCount))
}

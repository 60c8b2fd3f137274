package limiter

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/logging"
)

// captureLog writes the log to the given writer for the rest of the test.
func captureLog(t *testing.T, to io.Writer) {
	t.Helper()
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(logging.NewHandler(to)))
}

// TestHints: errors of discovery and the counter are logged with a hint for the operator.
func TestHints(t *testing.T) {
	for _, c := range []struct {
		name, event, answer string
		conn                ConnID
		err                 hint.Error
	}{
		{"throttled list request", "event=list-throttled status=503 ",
			"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", discoveryConn,
			&discovery.ThrottledError{Status: 503}},
		{"list not found", "event=list-refused ", "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", discoveryConn,
			&discovery.StatusError{Status: 404}},
		{"list without a generation", "event=list-refused ", httpAnswer("{}"), discoveryConn,
			&discovery.ListRefusedError{Key: "generation", Why: "missing"}},
		{"not HTTP", "event=list-refused ", "ok 5\r\n", discoveryConn, &discovery.MalformedError{Why: "it is not HTTP/1"}},
		{"counter call refused", "event=counter-refused name=5 amount=1 ", "error\r\n", counterConnID,
			&counterwire.RejectedError{Name: 5, Amount: 1}},
		{"ping answer to a counter call", "event=counter-line ", "pong\r\n", counterConnID, &counterwire.MismatchError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := newTestLimiter(t)
			l.AddToCounter(5, 1, second)
			var out bytes.Buffer
			captureLog(t, &out)
			w.receive(l, second/100, c.conn, c.answer)
			require.Contains(t, out.String(), c.event+hint.Line(c.err)+"\n")
			require.Contains(t, out.String(), c.err.Hint())
		})
	}
}

// TestRestoreEmptyList: a configured list without servers does not make the limiter ready, and the complete list is
// requested from discovery.
func TestRestoreEmptyList(t *testing.T) {
	l, _ := newTestLimiter(t)
	l.discovery.versionKnown = false
	require.NoError(t, l.discovery.restore([]byte(`{"generation":0,"reset":true,"instances":null}`)))
	require.False(t, l.discovery.versionKnown)
	require.ErrorContains(t, l.discovery.restore([]byte(`{"instances":[]}`)), "generation")
}

package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestBehindUnreadBytes guards against attempts for a client that may have left behind bytes that are not read.
func TestRequestBehindUnreadBytes(t *testing.T) {
	unread := map[ConnID]int64{clientConn: second / 10}
	t.Run("it has just come", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.unreadFor = unread
		w.receive(l, 0, clientConn, command("j", "write", "480"))
		require.Contains(t, w.wrote[clientConn], "-BUSY")
		require.Empty(t, l.requests.byID)
	})
	t.Run("its attempt is about to be written", func(t *testing.T) {
		l, w, id := requestDialling(t, "write")
		w.unreadFor = unread
		l.Step(0, Connected{Conn: id})
		require.Empty(t, w.wrote[id])
		require.Contains(t, w.wrote[clientConn], "-BUSY")
		require.Empty(t, l.requests.byID)
		require.Equal(t, 1, l.stats.inputErrors.unreadRequests)
	})
	t.Run("they are read a moment later", func(t *testing.T) {
		l, w, id := requestDialling(t, "write")
		w.unreadFor = map[ConnID]int64{clientConn: second / 100}
		l.Step(0, Connected{Conn: id})
		require.NotEmpty(t, w.wrote[id])
	})
}

package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseInSmallChunks guards against a list in small chunks that is read from its start again with each piece: the
// cost on the reducer's goroutine would grow with the square of its size.
func TestResponseInSmallChunks(t *testing.T) {
	const pieceBytes, chunkBytes = 1400, 8
	content := `{"generation":7,"instances":[` + strings.Repeat(" ", 640<<10) + `]}`
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for from := 0; from < len(content); from += chunkBytes {
		part := content[from:min(len(content), from+chunkBytes)]
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	text.WriteString("0\r\n\r\n")
	all := []byte(text.String())
	began := time.Now()
	var progress Progress
	for size := pieceBytes; size < len(all); size += pieceBytes {
		_, n, err := ReadMore(all[:size], &progress)
		require.NoError(t, err)
		require.Zero(t, n)
	}
	response, n, err := ReadMore(all, &progress)
	require.NoError(t, err)
	require.Equal(t, len(all), n)
	require.Equal(t, content, string(response.Body))
	require.Less(t, time.Since(began), 500*time.Millisecond, "half a second is as late as an answer may be")
}

// TestPiecesDecodeAsWhole: wherever a response is cut, it decodes as if it had come at once, errors included.
func TestPiecesDecodeAsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range []string{
		"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\n\r\n", "0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n",
		"g\r\nabc\r\n0\r\n\r\n", "2\r\n\r\n\r\n00\r\n\r\n", "3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n", "ffffffff1\r\nabc", "\r\n",
		"5\r\n0\r\n\r\n\r\n0\r\n\r\n", "-1\r\na\r\n", "+3\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n4\r\n",
	} {
		all := []byte(head + body)
		for cut := range all {
			var progress Progress
			_, n, err := ReadMore(all[:cut], &progress)
			_, wantSize, wantErr := ReadResponse(all[:cut])
			require.Equal(t, wantErr, err, "%q", all[:cut])
			require.Equal(t, wantSize, n, "%q", all[:cut])
			if n > 0 || err != nil {
				continue
			}
			response, n, err := ReadMore(all, &progress)
			wantResponse, wantSize, wantErr := ReadResponse(all)
			require.Equal(t, wantErr, err, "%q cut at %d", body, cut)
			require.Equal(t, wantSize, n, "%q cut at %d", body, cut)
			require.Equal(t, wantResponse, response, "%q cut at %d", body, cut)
		}
	}
}

// TestTooManySmallChunks guards against a body that stays small and whose encoding fills the memory.
func TestTooManySmallChunks(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", maxEncodedBytes/6+1)
	_, _, err := ReadResponse([]byte(text))
	require.ErrorAs(t, err, new(*TooLongError))
}
